//! A target that holds ranges on a clock of its own.

use std::time::Duration;

use wagtailmoor_core::{Epoch, Incarnation, Instant, ShardKey, TargetId};
use wagtailmoor_ranges::{Holder, KeyRange};

/// A hold as the target believes it.
#[derive(Clone, Debug)]
struct Hold {
    range: KeyRange,
    epoch: Epoch,
    until: Instant,
    /// Whether the grant was sent to an earlier process of the target, before the registration of
    /// this one arrived.
    stray: bool,
}

/// A key as its target holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Held {
    pub(crate) holder: Holder,
    pub(crate) epoch: Epoch,
    pub(crate) stray: bool,
}

/// A target that holds ranges on a clock of its own.
#[derive(Clone, Debug)]
pub(crate) struct FakeTarget {
    pub(crate) holder: Holder,
    pub(crate) up: bool,
    /// Its entry in the registry, which lags behind crashes and restarts.
    pub(crate) listed: Option<Holder>,
    /// When the entry follows.
    pub(crate) lists_at: Instant,
    /// Whether its last restart was at another address; another process has the one before.
    pub(crate) moved: bool,
    pub(crate) leaving: bool,
    /// Calls from granters do not pass until here.
    pub(crate) cut_until: Instant,
    /// Whether the cut refuses connections instead of dropping packets.
    pub(crate) cut_refuses: bool,
    /// The registry does not list it until here, though it lives.
    pub(crate) unlisted_until: Instant,
    /// Its clock runs slow by this many parts per thousand.
    pub(crate) slow_per_1000: u32,
    holds: Vec<Hold>,
    seen: Vec<(KeyRange, Epoch)>,
}

impl FakeTarget {
    pub(crate) fn new(number: usize, slow_per_1000: u32) -> Self {
        let target: TargetId = format!("t{number}").parse().unwrap();
        Self {
            listed: Some(Holder { target: target.clone(), incarnation: Incarnation::new(1) }),
            lists_at: Instant::default(),
            moved: false,
            holder: Holder { target, incarnation: Incarnation::new(1) },
            up: true,
            leaving: false,
            cut_until: Instant::default(),
            cut_refuses: false,
            unlisted_until: Instant::default(),
            slow_per_1000,
            holds: Vec::new(),
            seen: Vec::new(),
        }
    }

    /// Ends the process; its holds and what it has seen are gone, and its entry lapses later.
    pub(crate) fn crash(&mut self, lapses_at: Instant) {
        self.up = false;
        self.lists_at = lapses_at;
        self.holds.clear();
        self.seen.clear();
    }

    /// Starts the process again under its id; it registers a moment later.
    pub(crate) fn restart(&mut self, registers_at: Instant, moved: bool) {
        self.up = true;
        self.leaving = false;
        self.lists_at = registers_at;
        self.moved = moved;
        self.holder.incarnation = Incarnation::new(self.holder.incarnation.get() + 1);
    }

    /// Brings its entry in the registry up to date.
    pub(crate) fn follow_registry(&mut self, now: Instant) {
        if now >= self.lists_at {
            self.listed = self.up.then(|| self.holder.clone());
        }
    }

    /// Returns whether orders to a holder reach the present process. Orders name the target and not
    /// its process, so a process at the same address takes those that were meant for the one before.
    pub(crate) fn takes_orders_to(&self, holder: &Holder) -> bool {
        self.holder == *holder || !self.moved
    }

    /// Takes a grant; its time counts from its arrival. Returns whether it was taken.
    pub(crate) fn grant(
        &mut self,
        arrived: Instant,
        named: &Holder,
        range: KeyRange,
        epoch: Epoch,
        hold: Duration,
    ) -> bool {
        let shares = |known: &KeyRange| known.intersection(range).is_some();
        if self.seen.iter().any(|(known, seen)| shares(known) && *seen > epoch) {
            return false;
        }
        self.seen.push((range, epoch));
        let until = arrived + hold + hold * self.slow_per_1000 / 1_000;
        self.cut_out(range);
        let stray = self.holder != *named;
        self.holds.push(Hold { range, epoch, until, stray });
        true
    }

    /// Gives a range up.
    pub(crate) fn release(&mut self, range: KeyRange, epoch: Epoch) {
        self.seen.push((range, epoch));
        self.cut_out(range);
    }

    /// Returns how the target holds a key.
    pub(crate) fn holds(&self, now: Instant, key: ShardKey) -> Option<Held> {
        let held = self.holds.iter().find(|hold| hold.range.contains(key) && now < hold.until);
        let Hold { epoch, stray, .. } = *held.filter(|_| self.up)?;
        Some(Held { holder: self.holder.clone(), epoch, stray })
    }

    fn cut_out(&mut self, range: KeyRange) {
        let holds = std::mem::take(&mut self.holds);
        self.holds = holds
            .into_iter()
            .flat_map(|hold| {
                let parts = match hold.range.intersection(range) {
                    None => [Some(hold.range), None],
                    Some(_) => [hold.range.below(range), hold.range.above(range)],
                };
                parts.into_iter().flatten().map(move |range| Hold { range, ..hold.clone() })
            })
            .collect();
    }
}
