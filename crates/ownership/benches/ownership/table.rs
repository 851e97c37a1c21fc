//! Tables in plain text.

/// Prints a table with right-aligned columns.
pub(crate) fn print(title: &str, head: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].len());
        cells.chain([head[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let padded = cells.zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  "));
    };
    println!("\n{title}");
    line(&mut head.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}

/// Returns the given percentile of sorted values.
pub(crate) fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * percent / 100).copied().unwrap_or_default()
}
