//! Scenarios of load and injected faults.

use std::fs;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde_saphyr::{Location, Spanned};
use snafu::{ResultExt, Snafu};
use wagtailmoor_core::Requests;

use crate::{Customer, Step, Workload};

/// A scenario, as read from a YAML file: customers, their workloads and a timeline of steps.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Seed of the random choice of arrivals, customers and keys.
    #[serde(default)]
    pub seed: u64,
    /// Period in which requests are planned.
    pub duration_ms: Spanned<u64>,
    /// Maximum number of planned requests; later ones are dropped.
    pub max_requests: Requests,
    /// Maximum number of requests in progress; further ones are not sent and count as overflow.
    #[serde(default = "default_in_progress")]
    pub max_in_progress: Requests,
    /// Maximum number of connections in use to each entry process.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Customers that send requests.
    pub customers: Vec<Customer>,
    /// Workloads; at least one.
    pub workloads: Vec<Workload>,
    /// Timeline steps, in any order.
    #[serde(default)]
    pub timeline: Vec<Step>,
}

/// Error while reading a scenario.
#[derive(Debug, Snafu)]
pub enum ScenarioError {
    /// I/O error.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// Path of the scenario file.
        path: PathBuf,
        /// Underlying I/O error.
        source: std::io::Error,
    },
    /// The content of the file is not a valid scenario.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// Path of the scenario file.
        path: PathBuf,
        /// Underlying YAML error, with line and field.
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    /// A field has an invalid value, alone or with another field.
    #[snafu(display("{}: line {line}: {field}: {message}", path.display()))]
    Invalid {
        /// Path of the scenario file.
        path: PathBuf,
        /// Line number, counted from 1.
        line: u64,
        /// Field, with the sections that contain it.
        field: String,
        /// Why the value is invalid.
        message: String,
    },
}

/// Details of [`ScenarioError::Invalid`] without the path.
pub(crate) struct InvalidField {
    pub(crate) location: Location,
    pub(crate) field: String,
    pub(crate) message: String,
}

impl Scenario {
    /// Reads a scenario file.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::parse(&text, path)
    }

    /// Parses and validates a scenario; errors name `path`.
    pub fn parse(text: &str, path: &Path) -> Result<Self, ScenarioError> {
        let scenario: Self = serde_saphyr::from_str(text).context(ParseSnafu { path })?;
        scenario.validate().map_err(|InvalidField { location, field, message }| {
            let line = location.line();
            ScenarioError::Invalid { path: path.to_owned(), line, field, message }
        })?;
        Ok(scenario)
    }

    /// Returns the index of a customer.
    pub(crate) fn customer_index(&self, name: &str) -> Option<usize> {
        self.customers.iter().position(|customer| customer.customer.as_str() == name)
    }

    fn validate(&self) -> Result<(), InvalidField> {
        if self.duration_ms.value == 0 || self.workloads.is_empty() {
            return Err(InvalidField {
                location: self.duration_ms.defined,
                field: "duration_ms".to_owned(),
                message: "a scenario needs a duration above zero and at least one workload"
                    .to_owned(),
            });
        }
        self.workloads.iter().try_for_each(|workload| workload.validate(self))?;
        self.timeline.iter().try_for_each(|step| step.validate(self.duration_ms.value))
    }
}

fn default_in_progress() -> Requests {
    Requests::new(5_000)
}

fn default_connections() -> u32 {
    64
}
