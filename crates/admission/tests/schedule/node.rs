//! A node of the modelled site, and its messages.

use wagtailmoor_admission::{
    CustomerLimits, LimitSettings, NodeAllowance, ReportTiming, UsageReport,
};
use wagtailmoor_core::{Instant, NodeId};
use wagtailmoor_site::CustomerRule;

/// How a node admitted a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Independent,
    Allowance,
    Disconnected,
}

pub(crate) struct Node {
    pub(crate) name: NodeId,
    pub(crate) limits: CustomerLimits,
    /// The process does nothing until then.
    pub(crate) idle_until: Instant,
    pub(crate) cut_until: Instant,
    /// When the node learns of the current leader.
    pub(crate) learns_at: Instant,
    pub(crate) report_at: Instant,
    /// The report without an answer so far, and when it was sent.
    pub(crate) pending: Option<(Instant, UsageReport)>,
    /// The last reply that was applied, and when its report was sent.
    pub(crate) applied: Option<(Instant, Vec<NodeAllowance>)>,
}

impl Node {
    pub(crate) fn new(number: usize, now: Instant) -> Self {
        Self {
            name: format!("node-{number}").parse().unwrap(),
            limits: CustomerLimits::new(LimitSettings::default()),
            idle_until: now,
            cut_until: now,
            learns_at: now,
            report_at: now,
            pending: None,
            applied: None,
        }
    }

    pub(crate) fn mode(&self, now: Instant, rule: &CustomerRule) -> Mode {
        match &self.applied {
            Some((sent, allowances)) if now < *sent + ReportTiming::REPLY_LIFETIME => {
                match allowances.iter().any(|allowance| allowance.customer == rule.customer) {
                    true => Mode::Allowance,
                    false => Mode::Independent,
                }
            }
            _ => Mode::Disconnected,
        }
    }
}

pub(crate) struct Report {
    pub(crate) node: usize,
    pub(crate) term: u32,
    pub(crate) sent: Instant,
    pub(crate) arrives: Instant,
    pub(crate) used: UsageReport,
}

pub(crate) struct Reply {
    pub(crate) node: usize,
    pub(crate) sent: Instant,
    pub(crate) arrives: Instant,
    pub(crate) allowances: Vec<NodeAllowance>,
    pub(crate) nodes: u32,
}
