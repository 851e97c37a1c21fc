//! Wake-ups between tasks.

use std::rc::Rc;

use tokio::sync::Notify;

/// Wake-ups between tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Signals {
    /// A target may have a free slot.
    pub(crate) capacity: Rc<Notify>,
    /// Credits arrived.
    pub(crate) credits: Rc<Notify>,
    /// A request waits for credit.
    pub(crate) credit_demand: Rc<Notify>,
    /// Permits arrived.
    pub(crate) permits: Rc<Notify>,
    /// A request waits for a permit.
    pub(crate) permit_demand: Rc<Notify>,
    /// Routes changed.
    pub(crate) routes: Rc<Notify>,
    /// A target refused a request as not its owner, so the routes must be pulled.
    pub(crate) route_demand: Rc<Notify>,
    /// The record keeper's next timer may have changed.
    pub(crate) records: Rc<Notify>,
    /// A peer has a newer configuration.
    pub(crate) changes: Rc<Notify>,
}
