//! The HTTP front end: parses client requests, forwards them to targets and streams the responses.
//!
//! All routing, admission and retry decisions are made by the [`Gateway`] implementation.

mod attempt;
mod body;
mod checked_stream;
mod config_basis;
mod connection_close;
mod dialect;
mod exchange;
mod gateway;
mod head_check;
mod headers;
mod native_dialect;
mod pipelined_requests;
mod pool;
mod refusal;
mod remainder_limits;
mod remainders;
mod response_body;
mod response_buffers;
mod server;
mod target_body;
mod target_request;
mod target_stream;
mod tracked_plan;
mod transfer;

pub use config_basis::ConfigBasis;
pub use dialect::{AttemptHead, Dialect};
pub use gateway::{AssignedTarget, Call, Gateway, RequestHead};
pub use headers::{Credential, credential, single_value};
pub use native_dialect::NativeDialect;
pub use refusal::{HeadDecision, Refusal};
pub use remainder_limits::RemainderLimits;
pub use response_body::ResponseBody;
pub use server::{FrontLimits, Server};
