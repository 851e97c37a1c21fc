//! Log of executions, and of requests and connections that violate a target's limits or rules.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use wagtailmoor_history::{Ending, Execution, Violation};

/// Executions of all targets of a process, in the order of their starts, and the violations.
#[derive(Default)]
pub struct ExecutionLog {
    executions: RefCell<Vec<Execution>>,
    violations: RefCell<Vec<Violation>>,
}

impl ExecutionLog {
    /// Returns up to `limit` executions, starting at the index `from`.
    pub fn executions(&self, from: u64, limit: usize) -> Vec<Execution> {
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        self.executions.borrow().iter().skip(from).take(limit).cloned().collect()
    }

    /// Returns the number of executions, running ones included.
    pub fn len(&self) -> usize {
        self.executions.borrow().len()
    }

    /// Returns whether no execution has started.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the violations in the order in which they were found.
    pub fn violations(&self) -> Vec<Violation> {
        self.violations.borrow().clone()
    }

    /// Writes all executions as JSON lines and returns their number.
    pub fn write_file(&self, path: &Path) -> io::Result<usize> {
        let mut file = BufWriter::new(File::create(path)?);
        for execution in self.executions.borrow().iter() {
            serde_json::to_writer(&mut file, execution)?;
            file.write_all(b"\n")?;
        }
        file.flush()?;
        Ok(self.len())
    }

    pub(crate) fn begin(&self, mut execution: Execution) -> u64 {
        let mut executions = self.executions.borrow_mut();
        let index = executions.len() as u64;
        execution.index = index;
        executions.push(execution);
        index
    }

    pub(crate) fn end(&self, index: u64, end_us: u64, ending: Ending) {
        let position = usize::try_from(index).unwrap_or(usize::MAX);
        if let Some(execution) = self.executions.borrow_mut().get_mut(position) {
            execution.end_us = Some(end_us);
            execution.ending = ending;
        }
    }

    pub(crate) fn record_violation(&self, violation: Violation) {
        log::warn!("event=violation target={} kind={}", violation.target, violation.kind);
        self.violations.borrow_mut().push(violation);
    }
}
