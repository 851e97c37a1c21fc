//! Output of results and failures.

use serde::Serialize;
use wagtailmoor_arguments::OutputFormat;

use crate::failure::Failure;

/// Prints results and failures in the chosen format.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    format: OutputFormat,
}

impl Output {
    pub(crate) fn new(format: OutputFormat) -> Self {
        Self { format }
    }

    /// Prints a result as JSON or as the text that the given function returns.
    pub(crate) fn print<T: Serialize>(&self, result: &T, text: impl FnOnce(&T) -> String) {
        match self.format {
            OutputFormat::Json => println!(
                "{}",
                serde_json::to_string_pretty(result).expect("results are representable in JSON")
            ),
            OutputFormat::Text => println!("{}", text(result)),
        }
    }

    /// Prints a failure to standard error.
    pub(crate) fn print_failure(&self, failure: &Failure) {
        match self.format {
            OutputFormat::Json => eprintln!(
                "{}",
                serde_json::json!({"error": failure.to_string(), "exit_code": failure.exit_code()})
            ),
            OutputFormat::Text => eprintln!("error: {failure}"),
        }
    }
}

/// Formats rows as columns, each as wide as its widest cell.
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
