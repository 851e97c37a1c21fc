//! In-memory history of a run, and its file format.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::{ClientRequest, CustomerLimit, Execution, Record, Violation, Withdrawal};

/// All records of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Rate limits of the customers.
    pub customers: Vec<CustomerLimit>,
    /// Requests recorded by clients.
    pub requests: Vec<ClientRequest>,
    /// Executions recorded by targets.
    pub executions: Vec<Execution>,
    /// Protocol violations recorded by targets.
    pub violations: Vec<Violation>,
    /// Withdrawals of zones and targets from service.
    pub withdrawals: Vec<Withdrawal>,
}

/// Error while reading a history file.
#[derive(Debug, Snafu)]
pub enum HistoryError {
    /// I/O error.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the history file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A line is not a valid [`Record`].
    #[snafu(display("{}: line {line}: {source}", path.display()))]
    Parse {
        /// Path of the history file.
        path: PathBuf,
        /// Line number, counted from 1.
        line: usize,
        /// Underlying JSON error.
        source: serde_json::Error,
    },
}

impl History {
    /// Appends a record to the list of its type.
    pub fn push(&mut self, record: Record) {
        match record {
            Record::Customer(customer) => self.customers.push(customer),
            Record::Request(request) => self.requests.push(request),
            Record::Execution(execution) => self.executions.push(execution),
            Record::Violation(violation) => self.violations.push(violation),
            Record::Withdrawal(withdrawal) => self.withdrawals.push(withdrawal),
        }
    }

    /// Reads a history file; fails on the first invalid line.
    pub fn read(path: &Path) -> Result<Self, HistoryError> {
        let file = File::open(path).context(ReadSnafu { path })?;
        let mut history = Self::default();
        for (index, line) in BufReader::new(file).lines().enumerate() {
            let line = line.context(ReadSnafu { path })?;
            let record = serde_json::from_str(&line);
            history.push(record.context(ParseSnafu { path, line: index + 1 })?);
        }
        Ok(history)
    }

    /// Writes a history file with one JSON object per line.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        for record in self.records() {
            serde_json::to_writer(&mut file, &record)?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }

    fn records(&self) -> impl Iterator<Item = Record> {
        let customers = self.customers.iter().cloned().map(Record::Customer);
        let requests = self.requests.iter().cloned().map(Record::Request);
        let executions = self.executions.iter().cloned().map(Record::Execution);
        let violations = self.violations.iter().cloned().map(Record::Violation);
        let withdrawals = self.withdrawals.iter().cloned().map(Record::Withdrawal);
        customers.chain(requests).chain(executions).chain(violations).chain(withdrawals)
    }
}
