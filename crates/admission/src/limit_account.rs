//! The tokens of one customer, as the issuer knows them.

use std::collections::VecDeque;

use wagtailmoor_core::{Instant, NodeId, SortedVec};

/// Tokens of a customer at one node.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    /// Upper bound of the tokens that the node has: unused, in its reserve and in its window.
    tokens: u32,
    /// Upper bound of those that requests may still take.
    unused: u32,
    /// Upper bound of those in its reserve.
    reserve: u32,
}

/// The tokens of one customer, as the issuer knows them.
///
/// The tokens in [`outstanding`](Self::outstanding) are never fewer than those that nodes and
/// former processes of nodes can have. The issuer grants only from the rest.
#[derive(Debug)]
pub(crate) struct LimitAccount {
    /// Requests that the customer may send at once, refilled at its rate. Decides how fast tokens
    /// are granted, and may be negative.
    pub(crate) level: f64,
    pub(crate) updated: Instant,
    holdings: SortedVec<NodeId, Holding>,
    /// Sum of the holdings.
    held: u64,
    unused: u64,
    reserve: u64,
    /// Tokens of former processes, each with the end of its window.
    retired: VecDeque<(Instant, u32)>,
    /// Tokens that nodes had when this issuer first heard of them.
    first_stated: u64,
}

impl LimitAccount {
    pub(crate) fn new(now: Instant, level: f64) -> Self {
        Self {
            level,
            updated: now,
            holdings: SortedVec::new(),
            held: 0,
            unused: 0,
            reserve: 0,
            retired: VecDeque::new(),
            first_stated: 0,
        }
    }

    /// Returns the tokens that nodes and their former processes may have. Each of `nodes` nodes has
    /// `base` tokens without a grant.
    pub(crate) fn outstanding(&self, nodes: u32, base: u32) -> u64 {
        let base = u64::from(base);
        let ungranted = |holding: &Holding| base.saturating_sub(u64::from(holding.tokens));
        let of_holders: u64 = self.holdings.values().map(ungranted).sum();
        let others = u64::from(nodes).saturating_sub(self.holdings.len() as u64);
        self.held + self.retired() + of_holders + others * base
    }

    /// Returns the tokens of former processes.
    pub(crate) fn retired(&self) -> u64 {
        self.retired.iter().map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the tokens that nodes had when this issuer first heard of them.
    pub(crate) fn first_stated(&self) -> u64 {
        self.first_stated
    }

    /// Returns the tokens that nodes may have.
    pub(crate) fn held(&self) -> u64 {
        self.held
    }

    /// Records tokens of processes that had ended before the term of this issuer.
    pub(crate) fn add_retired(&mut self, until: Instant, tokens: u32) {
        self.retired.push_back((until, tokens));
    }

    /// Returns the tokens in the reserves of all nodes.
    pub(crate) fn reserve(&self) -> u64 {
        self.reserve
    }

    /// Returns the tokens at all nodes that requests may still take.
    pub(crate) fn unused(&self) -> u64 {
        self.unused
    }

    /// Returns whether a node may have tokens.
    pub(crate) fn has_tokens_at(&self, node: &NodeId) -> bool {
        self.holdings.contains_key(node)
    }

    /// Returns the tokens at a node that requests may still take.
    pub(crate) fn unused_at(&self, node: &NodeId) -> u32 {
        self.holdings.get(node).map_or(0, |holding| holding.unused)
    }

    /// Records the tokens that a node stated; `is_first` if this issuer had not heard of it.
    pub(crate) fn record(
        &mut self,
        node: &NodeId,
        unused: u32,
        reserve: u32,
        recent: u32,
        is_first: bool,
    ) {
        let tokens = unused.saturating_add(reserve).saturating_add(recent);
        self.set(node, Holding { tokens, unused, reserve });
        if is_first {
            self.first_stated += u64::from(tokens);
        }
    }

    /// Records that the process of a node has ended. The requests in its last report leave the window
    /// at `stated_until`, those that it may have sent since at `until`.
    pub(crate) fn retire(&mut self, node: &NodeId, stated_until: Instant, until: Instant) {
        if let Some(Holding { tokens, unused, reserve }) = self.holdings.get(node).copied() {
            let usable = unused.saturating_add(reserve).min(tokens);
            self.retired.push_back((stated_until, tokens - usable));
            self.retired.push_back((until, usable));
            self.set(node, Holding::default());
        }
    }

    /// Grants tokens to a node: for requests, and for its reserve. They count as granted although the
    /// reply may be lost.
    pub(crate) fn grant(&mut self, node: &NodeId, unused: u32, reserved: u32) {
        let tokens = unused.saturating_add(reserved);
        let holding = self.holdings.get(node).copied().unwrap_or_default();
        self.set(
            node,
            Holding {
                tokens: holding.tokens.saturating_add(tokens),
                unused: holding.unused.saturating_add(unused),
                reserve: holding.reserve.saturating_add(reserved),
            },
        );
    }

    /// Limits the tokens of a node that has no more than an equal share by now.
    pub(crate) fn limit(&mut self, node: &NodeId, share: u32) {
        if let Some(Holding { tokens, unused, reserve }) = self.holdings.get(node).copied() {
            let limited = Holding {
                tokens: tokens.min(share),
                unused: unused.min(share),
                reserve: reserve.min(share),
            };
            self.set(node, limited);
        }
    }

    /// Forgets former processes whose last requests have left the window.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.retired.retain(|(until, _)| now < *until);
    }

    fn set(&mut self, node: &NodeId, holding: Holding) {
        let known = self.holdings.get(node).copied().unwrap_or_default();
        self.held = self.held - u64::from(known.tokens) + u64::from(holding.tokens);
        self.unused = self.unused - u64::from(known.unused) + u64::from(holding.unused);
        self.reserve = self.reserve - u64::from(known.reserve) + u64::from(holding.reserve);
        match holding.tokens {
            0 => drop(self.holdings.remove(node)),
            _ => drop(self.holdings.insert(node.clone(), holding)),
        }
    }
}
