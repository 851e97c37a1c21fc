//! Files of recorded metrics.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Result, Write};
use std::path::Path;

use wagtailmoor_burn::{MetricAggregator, UnixMillis};

/// Reads a recording and counts its lines.
pub(crate) fn read(path: &Path, aggregator: &mut MetricAggregator) -> Result<()> {
    let mut reader = BufReader::new(File::open(path)?);
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line)? > 0 {
        let text = String::from_utf8_lossy(&line);
        let text = text.trim_end_matches(['\r', '\n']);
        if !text.is_empty() {
            aggregator.add_recorded_line(text);
        }
        line.clear();
    }
    Ok(())
}

/// A recording opened for writing.
#[derive(Debug)]
pub(crate) struct Recording {
    file: File,
}

impl Recording {
    /// Opens a recording for appending; creates the file if it does not exist.
    pub(crate) fn open(path: &Path) -> Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { file })
    }

    /// Appends the lines of a datagram in one write, so that an interruption truncates no line.
    pub(crate) fn append_datagram(&mut self, at: UnixMillis, datagram: &str) -> Result<()> {
        let lines = datagram.lines().filter(|line| !line.is_empty());
        let text: String = lines.map(|line| format!("{at} {line}\n")).collect();
        self.file.write_all(text.as_bytes())
    }
}
