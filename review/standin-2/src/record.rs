//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes `record.txt` and prints the lines; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }

    /// Adds a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
