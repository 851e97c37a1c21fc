//! Handling of single requests: load balancing, retries, hedging, crash detection, attempt records
//!
//! This crate consists of state machines that take the current time and an input and return
//! outputs. They do no I/O, read no clock and take random numbers only from a generator that the
//! caller passes in.
//!
//! A request passes through these steps:
//!
//! 1. A non-idempotent request claims its attempt record with [`RecordKeeper::claim`].
//! 2. [`CrashLedger::refuses`] rejects a request that is known to crash targets.
//! 3. [`RequestPlan`] runs the request over one or more attempts. For each [`PlanOutput::Choose`]
//!    the caller chooses a target from a [`TargetTable`].
//! 4. The [`Verdict`] is reported to the client and, for a claimed record, to
//!    [`RecordKeeper::finish`].

#[macro_use]
mod macros;

mod answered_set;
mod attempt;
mod attempt_record;
mod attempts;
mod balancing_policy;
mod crash_ledger;
mod crash_settings;
mod failure;
mod fingerprint;
mod ids;
mod in_flight;
mod latency_quantile;
mod least_connections;
mod load_report;
mod member;
mod observation;
mod permits;
mod plan_input;
mod plan_output;
mod plan_request;
mod plan_settings;
mod power_of_two;
mod random;
mod record_cleaner;
mod record_entries;
mod record_entry;
mod record_io;
mod record_keeper;
mod record_key;
mod record_queue;
mod record_settings;
mod request_plan;
mod retry_budget;
mod round_robin;
mod slow_start;
mod subset;
mod suspect;
mod suspect_update;
mod table_calls;
mod table_health;
mod target;
mod target_latency;
mod target_settings;
mod target_table;
mod unanswered_requests;
mod verdict;

pub use attempt::AttemptState;
pub use attempt_record::{AttemptRecord, RecordState, StoredRecord};
pub use balancing_policy::{BalancingPolicy, Candidate};
pub use crash_ledger::CrashLedger;
pub use crash_settings::CrashSettings;
pub use fingerprint::Fingerprint;
pub use ids::{AttemptId, CallId, ClaimId, TimeBucket};
pub use in_flight::InFlight;
pub use latency_quantile::LatencyQuantile;
pub use least_connections::LeastConnections;
pub use load_report::{LoadReport, ReportedState};
pub use member::{Member, MemberState};
pub use observation::Observation;
pub use permits::Permits;
pub use plan_input::{PlanInput, ResponseHead};
pub use plan_output::PlanOutput;
pub use plan_request::PlanRequest;
pub use plan_settings::{BodyTimeout, PlanSettings};
pub use power_of_two::PowerOfTwo;
pub use random::Random;
pub use record_cleaner::{CleanOutput, RecordCleaner};
pub use record_io::{ReadResult, RecordOutput, RecordRefusal, RecordWrite, WriteResult};
pub use record_keeper::RecordKeeper;
pub use record_key::{RecordKey, RequestHash};
pub use record_settings::RecordSettings;
pub use request_plan::RequestPlan;
pub use retry_budget::RetryBudget;
pub use round_robin::RoundRobin;
pub use slow_start::ColdCause;
pub use subset::subset;
pub use suspect::{LossReport, SuspectReport};
pub use suspect_update::{LedgerVersion, SuspectUpdate};
pub use target_settings::TargetSettings;
pub use target_table::{ChoiceRequest, ChosenTarget, TargetTable};
pub use unanswered_requests::UnansweredRequests;
pub use verdict::{Ending, Verdict};
