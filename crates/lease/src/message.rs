//! Messages between candidates.

use wagtailmoor_core::{Generation, Incarnation, NodeId, ZoneId};
use wagtailmoor_derive::{scalar, value};

use crate::StoredRow;

/// Identifies a request of one incarnation of a node.
#[scalar]
pub struct RequestId {
    /// Incarnation of the sender. A restarted sender ignores replies to requests of its previous
    /// incarnation.
    pub incarnation: Incarnation,
    /// Number of the request within the incarnation; each request has a higher one.
    pub number: u64,
}

/// A clock reading of one node. Other nodes return it to that node and do not interpret it.
#[scalar]
pub struct Stamp {
    /// Incarnation of the node whose clock was read.
    pub incarnation: Incarnation,
    /// Microseconds on the clock of that incarnation.
    pub since_start_us: u64,
}

/// Remaining tenure of a panel, counted from a stamp of the receiver, since clocks of two nodes
/// cannot be compared. No panel is installed without releases before it has passed.
#[scalar]
pub struct RemainingTenure {
    /// Generation of the panel.
    pub generation: Generation,
    /// The latest stamp that the sender has from the receiver.
    pub stamp: Stamp,
    /// Time from the receipt of the stamp to the end of the tenure that the sender knows.
    pub remaining_ms: u64,
}

/// A request of one candidate to another.
#[value]
pub struct PromiseRequest {
    /// Identifies the request in its reply.
    pub id: RequestId,
    /// Zone of the lease.
    pub zone: ZoneId,
    /// The sender.
    pub from: NodeId,
    /// Kind of the request, with its arguments.
    pub kind: RequestKind,
}

/// The kind of a [`PromiseRequest`], with its arguments.
#[value]
pub enum RequestKind {
    /// Asks for a promise at a generation.
    Promise {
        /// The newest row that the sender knows to be written.
        row: StoredRow,
        /// Generation of the panel whose members are asked.
        generation: Generation,
        /// Highest generation that the sender knows to be active.
        active: Generation,
        /// Remaining tenure of the panel, if the sender knows it and has a stamp of the receiver.
        tenure: Option<RemainingTenure>,
    },
    /// Asks the receiver to grant no further promise at a generation or below.
    Release {
        /// The row that supersedes `generation`.
        row: StoredRow,
        /// Generation to release.
        generation: Generation,
    },
    /// Asks for the newest row, sent by a restarted node.
    State,
    /// Withdraws earlier requests: the sender no longer relies on the promises.
    Withdraw,
}

/// The reply to a [`PromiseRequest`].
#[value]
pub struct PromiseReply {
    /// Id of the request.
    pub id: RequestId,
    /// Incarnation of the node that replies.
    pub incarnation: Incarnation,
    /// To be returned in the next [`RemainingTenure`] that is sent to this node.
    pub stamp: Stamp,
    /// The answer.
    pub answer: Answer,
}

/// The answer to a [`RequestKind`].
#[value]
pub enum Answer {
    /// The node grants no promise to another node before the promise duration has passed on its
    /// clock.
    Granted {
        /// Generation of the request.
        generation: Generation,
    },
    /// The node grants no further promise at this generation or below.
    Released {
        /// Highest generation released.
        generation: Generation,
    },
    /// The request was not granted.
    Refused(Refusal),
    /// The latest state that the node knows.
    State {
        /// The newest row known.
        row: Option<StoredRow>,
        /// Highest generation known to be active.
        active: Generation,
        /// Highest generation released.
        released: Generation,
    },
    /// The earlier promise to the sender, if any, has ended.
    Withdrawn,
}

/// Why a request was not granted.
#[value]
pub enum Refusal {
    /// The node has restarted and does not know the current row yet, or still waits for the
    /// promises of its previous incarnation to expire.
    NotReady,
    /// A promise to another node has not expired.
    Promised,
    /// The generation is older than one that this node knows to be active or has released.
    Superseded(StoredRow),
    /// The node is not a member of the panel.
    NotMember,
}

/// A request to the controller of another zone.
#[value]
pub struct ZoneRequest {
    /// Identifies the request in its reply.
    pub id: RequestId,
    /// Zone whose tenure the request is about.
    pub zone: ZoneId,
    /// The sender.
    pub from: NodeId,
    /// Kind of the request, with its arguments.
    pub kind: ZoneRequestKind,
}

/// The kind of a [`ZoneRequest`].
#[scalar]
pub enum ZoneRequestKind {
    /// Asks the receiver not to consent to the replacement of the panel of the sender's zone for
    /// the zone promise duration.
    Extend,
    /// Asks the receiver to consent to the replacement of the panel of a zone whose tenure has
    /// ended.
    Consent,
}

/// The reply to a [`ZoneRequest`].
#[value]
pub struct ZoneReply {
    /// Id of the request.
    pub id: RequestId,
    /// Zone that replies.
    pub by: ZoneId,
    /// Kind of the request.
    pub kind: ZoneRequestKind,
    /// Whether the request was granted.
    pub granted: bool,
}
