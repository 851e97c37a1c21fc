//! A range that its holder is asked to give up.

use wagtailmoor_core::{Epoch, Instant};

use crate::Holder;

/// A range that its holder is asked to give up.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Release {
    /// The process that is asked: the holder, or the process of its target that came after it.
    pub(crate) from: Holder,
    /// Epoch under which it is asked.
    pub(crate) epoch: Epoch,
    /// Who is to own the range next, if that is decided.
    pub(crate) to: Option<Holder>,
    /// When it is asked again.
    pub(crate) ask_at: Instant,
    /// Whether an answer is awaited.
    pub(crate) in_flight: bool,
}

impl Release {
    /// Creates a release that is due at once.
    pub(crate) fn new(now: Instant, from: Holder, epoch: Epoch, to: Option<Holder>) -> Self {
        Self { from, epoch, to, ask_at: now, in_flight: false }
    }
}
