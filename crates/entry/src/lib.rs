//! The event loop of an entry process.
//!
//! Everything runs on one thread. [`State`](state::State) holds all state machines in a `RefCell`
//! that is never borrowed across an await. Most other modules are tasks that feed time and messages
//! into the state machines and execute their outputs.

mod back_end;
mod change_poll;
mod configure;
mod credit_calls;
mod directory;
mod entry;
mod gateway;
mod gossip;
mod heat_reports;
mod host_poll;
mod known_controllers;
mod lease_calls;
mod load_poll;
mod ownership_calls;
mod peer_calls;
mod permit_calls;
mod record_calls;
mod route_pulls;
mod signals;
mod start;
mod state;
mod target_choice;
mod waiter;
mod zone_role;

pub use start::{EntryHandle, StartError, start};
