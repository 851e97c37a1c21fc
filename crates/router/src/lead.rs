//! Who leads, as a node knows it.

use std::net::SocketAddr;

/// Who leads, as a node knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lead {
    /// Whether this node leads.
    pub own: bool,
    /// Where the leader is reached.
    pub address: Option<SocketAddr>,
}
