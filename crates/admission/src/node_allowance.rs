//! Allowances and usage reports that nodes exchange with the limit issuer.

use wagtailmoor_core::{CustomerId, Generation, Incarnation, NodeId};
use wagtailmoor_derive::value;

/// Tokens that the issuer grants to a node for requests of a customer.
#[value]
pub struct NodeAllowance {
    /// Customer whose requests take the tokens.
    pub customer: CustomerId,
    /// Further tokens for requests.
    pub tokens: u32,
    /// Tokens of the node's reserve that requests may take from now on.
    pub from_reserve: u32,
    /// Further tokens for the node's reserve.
    pub reserved: u32,
    /// Tokens that the node keeps for requests to come; it returns what exceeds them.
    pub unused_max: u32,
    /// Tokens that the node keeps in its reserve; it returns what exceeds them.
    pub reserve_max: u32,
    /// Whether the node may ask for tokens before its next report is due.
    pub may_ask: bool,
    /// Requests that the customer may send at once over all nodes. Negative if it has sent more
    /// than its rate and burst for a moment.
    pub level: i32,
}

impl NodeAllowance {
    /// Returns whether the node, which stated its tokens, does the same without this allowance.
    pub(crate) fn is_needless(&self, stated: &CustomerUsage) -> bool {
        let grants = self.tokens > 0 || self.from_reserve > 0 || self.reserved > 0;
        let returns = stated.unused > self.unused_max || stated.reserve > self.reserve_max;
        !grants && !returns && self.may_ask
    }
}

/// Tokens and requests of a customer at one node.
#[value]
pub struct CustomerUsage {
    /// Customer that sent the requests.
    pub customer: CustomerId,
    /// Requests that arrived since the node's last report.
    pub arrived: u32,
    /// Requests that were admitted and not refunded since the node's last report.
    pub admitted: u32,
    /// Tokens that requests may still take, or have taken without having been sent yet.
    pub unused: u32,
    /// Tokens that requests may take only while no issuer answers.
    pub reserve: u32,
    /// Tokens of the requests that were sent within the window of the limits, and those that the node
    /// returns with this report.
    pub recent: u32,
}

/// The tokens of a customer that an issuer had granted when its term ended.
#[value]
pub struct FormerAccount {
    /// The customer.
    pub customer: CustomerId,
    /// Tokens that nodes had.
    pub held: u32,
    /// Tokens of processes that had ended.
    pub retired: u32,
}

/// The accounts of an issuer whose term has ended, for the next one.
#[value]
pub struct FormerTerm {
    /// Term of the issuer.
    pub term: Generation,
    /// All its accounts.
    pub accounts: Vec<FormerAccount>,
}

/// The customers' tokens at one node, as far as they changed by requests or much time has passed.
#[value]
pub struct LimitReport {
    /// The reporting node.
    pub node: NodeId,
    /// Its process.
    pub incarnation: Incarnation,
    /// Number of the report, counted by the process. An earlier report may arrive after a later one.
    pub sequence: u64,
    /// Whether an issuer has replied to the process.
    pub has_issuer: bool,
    /// Whether the node has no tokens of customers that are not listed. Otherwise it has at most those
    /// that it stated last and was granted since.
    pub is_full: bool,
    /// Tokens and requests by customer.
    pub customers: Vec<CustomerUsage>,
    /// Accounts of the last term of this process as issuer, if no issuer has replied since.
    pub former: Option<FormerTerm>,
}
