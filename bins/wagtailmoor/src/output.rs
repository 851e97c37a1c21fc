//! What is printed.

use serde::Serialize;
use wagtailmoor_arguments::OutputFormat;

use crate::failure::Failure;

/// The output of a command in the chosen form.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    format: OutputFormat,
}

impl Output {
    pub(crate) fn new(format: OutputFormat) -> Self {
        Self { format }
    }

    /// Prints a result: JSON as it is, text through the given function.
    pub(crate) fn print<T: Serialize>(&self, result: &T, text: impl FnOnce(&T) -> String) {
        match self.format {
            OutputFormat::Json => println!(
                "{}",
                serde_json::to_string_pretty(result).expect("results are representable in JSON")
            ),
            OutputFormat::Text => println!("{}", text(result)),
        }
    }

    /// Prints a failure on standard error.
    pub(crate) fn failure(&self, failure: &Failure) {
        match self.format {
            OutputFormat::Json => eprintln!(
                "{}",
                serde_json::json!({"error": failure.to_string(), "exit_code": failure.exit_code()})
            ),
            OutputFormat::Text => eprintln!("error: {failure}"),
        }
    }
}

/// Lays out rows in columns as wide as their widest cell.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: &[&str]| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_string()
    };
    let body = rows.iter().map(|row| line(&row.iter().map(String::as_str).collect::<Vec<_>>()));
    [line(header)].into_iter().chain(body).collect::<Vec<_>>().join("\n")
}
