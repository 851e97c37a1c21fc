//! The HTTP front end: parses client requests, forwards them to targets and streams the responses.
//!
//! All routing, admission and retry decisions are made by the [`Gateway`] implementation.

mod answer_body;
mod attempt;
mod body;
mod checked_stream;
mod dialect;
mod early_answers;
mod exchange;
mod gateway;
mod head_check;
mod headers;
mod own_dialect;
mod pool;
mod refusal;
mod server;
mod target_body;
mod target_request;
mod tracked;

pub use answer_body::AnswerBody;
pub use dialect::{AttemptHead, Dialect};
pub use gateway::{Assigned, Call, Gateway, RequestHead};
pub use headers::{Credential, credential, single};
pub use own_dialect::OwnDialect;
pub use refusal::Refusal;
pub use server::{FrontLimits, Server};
