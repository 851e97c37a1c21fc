//! Open-loop load generator with fault injection, which records a history and writes a report.
//!
//! Arrivals are planned from a seed before the run and do not wait for responses; latency is
//! measured from the planned start. All tasks run on one tokio current-thread runtime inside a
//! `LocalSet`.

mod balance;
mod clock;
mod connection_pool;
mod control_client;
mod customer;
mod direct_comparison;
mod exchange;
mod html_report;
mod key_chooser;
mod plan;
mod quantiles;
mod rate_refusals;
mod report;
mod response_reader;
mod run_facts;
mod runner;
mod scenario;
mod second_stats;
mod step;
mod table;
mod timeline;
mod unavailability;
mod workload;

pub use balance::Balance;
pub use customer::Customer;
pub use direct_comparison::{DirectComparison, DirectSettings, compare_direct};
pub use html_report::{PlotError, report_page};
pub use plan::{PlannedRequest, plan};
pub use quantiles::Quantiles;
pub use rate_refusals::RateRefusals;
pub use report::{EndingCount, Report, RequestStats};
pub use run_facts::RunFacts;
pub use runner::{RunEndpoints, RunResult, run};
pub use scenario::{Scenario, ScenarioError};
pub use second_stats::SecondStats;
pub use step::{Step, ZoneOrTarget};
pub use table::{checks_table, compare_table, direct_table, report_table};
pub use timeline::StepResult;
pub use unavailability::Unavailability;
pub use workload::{CustomerShare, KeySettings, Workload};
