//! The `tarpc` service between entry processes, also used by the operators' command line.
//!
//! `tarpc` requires `Send` futures, but the state of a process is not `Send`. The server side
//! therefore only passes each call through a channel to the event loop that owns the state.

mod client;
mod message;
mod server;
mod service;

pub use client::{CallError, PeerClient};
pub use message::{HeatReport, NodeState, OwnerReport, RouteReply, ZoneView};
pub use server::{PeerCall, ReplySender, listen};
pub use service::Unavailable;
