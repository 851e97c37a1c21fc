//! The leader as a node knows it.

use std::net::SocketAddr;

/// The leader as a node knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderView {
    /// Whether this node itself leads.
    pub is_self: bool,
    /// Address at which other nodes reach the leader; `None` if no leader is known.
    pub address: Option<SocketAddr>,
}
