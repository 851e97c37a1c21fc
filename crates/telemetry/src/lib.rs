//! Log events and metrics.

mod event;
mod line_writer;
mod logging;
mod metered_stream;
mod metrics;
mod traffic_meter;

pub use event::Event;
pub use line_writer::dropped_lines;
pub use logging::{init_logging, init_stdout_logging};
pub use metered_stream::MeteredStream;
pub use metrics::{Metrics, MetricsError, RequestSample};
pub use traffic_meter::TrafficMeter;
