//! The controller lease of a zone: at most one node acts as controller, without a consensus group.
//!
//! The crate makes decisions and does no I/O. [`Candidate`] takes the current time and an input and
//! returns actions; the caller sends the messages, reads and writes the row, and owns the clock.
//!
//! Terms:
//!
//! - The *row* is the store's record of the lease, `controller/<zone>`.
//! - A *panel* is a set of up to three nodes, any of which may become controller. Each panel has a
//!   *generation*; a newer panel supersedes the older ones.
//! - A *promise* is a member's vote: for a fixed time the member grants none to another node.
//! - A *release* is a member's statement that it grants no more promises at a generation or below.
//!   A *blocking set* is any group of members without which the panel has no quorum.
//! - The *tenure* of a panel is how long it stays valid without a renewal of the row in the store.
//! - A *witness* is another zone of the region. While the store is down, the controllers of all
//!   witnesses together can extend the tenure, and one of them has to give its *consent* before the
//!   panel may be replaced without releases.
//!
//! A node is controller while it has unexpired promises from a quorum of the panel of the active
//! generation and the tenure has not ended. A generation becomes active once a blocking set of
//! every panel that it supersedes has released it. See section 7.1 of `docs/design.md`.

mod action;
mod authority;
mod campaign;
mod campaigner;
mod campaigns;
mod candidate;
mod contacts;
mod controller_span;
mod install;
mod knowledge;
mod member;
mod message;
mod panel;
mod pending_requests;
mod pending_writes;
mod recovery;
mod responder;
mod row;
mod row_reads;
mod row_view;
mod settings;
mod tenure;
mod voter;
mod witness;

pub use action::{LeaseAction, WriteOutcome, WriteResult};
pub use authority::Authority;
pub use candidate::Candidate;
pub use member::Member;
pub use message::{
    Answer, PromiseReply, PromiseRequest, Refusal, RemainingTenure, RequestId, RequestKind, Stamp,
    ZoneReply, ZoneRequest, ZoneRequestKind,
};
pub use panel::Panel;
pub use row::{ControllerRow, StoredRow};
pub use settings::LeaseSettings;
