//! Runs session files against the front end over loopback sockets.

mod dialect;
pub(crate) mod gateway;
pub(crate) mod runner;
pub(crate) mod wire;
