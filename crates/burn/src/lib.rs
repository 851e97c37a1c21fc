//! Service-level objectives per customer: error budgets, burn rates and alerts.
//!
//! The input is statsd text with the time at which it arrived, the output a report. The crate opens
//! no file or socket and reads no clock.

mod alert;
mod alert_rule;
mod budget;
mod budget_share;
mod burn_rate;
mod counts;
mod indicator;
mod input_summary;
mod line_error;
mod malformed_line;
mod metric_aggregator;
mod objectives;
mod page;
mod reason_class;
mod report;
mod request_class;
mod request_tags;
mod row;
mod series;
mod severity;
mod statsd_line;
mod subject;
mod table;
mod timeline_point;
mod unix_millis;
mod window;
mod window_burn;

pub use alert::Alert;
pub use alert_rule::AlertRule;
pub use budget::Budget;
pub use budget_share::BudgetShare;
pub use burn_rate::BurnRate;
pub use counts::Counts;
pub use indicator::Indicator;
pub use input_summary::InputSummary;
pub use line_error::LineError;
pub use malformed_line::MalformedLine;
pub use metric_aggregator::MetricAggregator;
pub use objectives::Objectives;
pub use page::{PageError, report_page};
pub use reason_class::ReasonClass;
pub use report::Report;
pub use request_class::RequestClass;
pub use request_tags::RequestTags;
pub use row::Row;
pub use series::Series;
pub use severity::Severity;
pub use statsd_line::StatsdLine;
pub use subject::Subject;
pub use table::report_table;
pub use timeline_point::TimelinePoint;
pub use unix_millis::UnixMillis;
pub use window::Window;
pub use window_burn::WindowBurn;
