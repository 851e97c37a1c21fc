//! Distributed limits (customer rates enforced by credits, concurrency at targets by permits) and
//! limits local to one node (fair queue, retry budget, token bucket).
//!
//! Every type is a state machine without I/O. The caller passes in the time and incoming messages,
//! and sends the messages that are returned. Issuers run in the controller of a zone, only while it
//! has authority; holders run in every entry process.

mod acquire_result;
mod admission;
mod credit;
mod credit_account;
mod credit_batch;
mod credit_holder;
mod credit_issuer;
mod credit_reply;
mod credit_request;
mod credit_settings;
mod credit_terms;
mod customer_credits;
mod drift;
mod fair_flow;
mod fair_queue;
mod issuer;
mod issuer_client;
mod issuer_term;
mod permit;
mod permit_holder;
mod permit_issuer;
mod permit_limit;
mod permit_pool;
mod permit_reply;
mod permit_request;
mod permit_settings;
mod push_result;
mod queue_limits;
mod replay_filter;
mod resource_id;
mod resource_permits;
mod retry_budget;
mod slow_start_settings;
mod tag;
mod ticket;
mod token_bucket;
mod wait_ticket;

pub use acquire_result::AcquireResult;
pub use admission::{Admission, Refusal};
pub use credit::Credit;
pub use credit_holder::CreditHolder;
pub use credit_issuer::CreditIssuer;
pub use credit_reply::{CreditGrant, CreditReply};
pub use credit_request::{CreditRequest, CreditRequestEntry, Settlement};
pub use credit_settings::CreditSettings;
pub use credit_terms::{CreditTerms, DEFAULT_STATIC_SHARE, zone_share};
pub use fair_queue::{FairQueue, Popped};
pub use issuer::Issuer;
pub use issuer_term::IssuerTerm;
pub use permit::Permit;
pub use permit_holder::PermitHolder;
pub use permit_issuer::{PermitIssuer, recall_bound};
pub use permit_limit::PermitLimit;
pub use permit_reply::{PermitChange, PermitGrant, PermitReply};
pub use permit_request::{PermitRequest, PermitRequestEntry};
pub use permit_settings::PermitSettings;
pub use push_result::PushResult;
pub use queue_limits::QueueLimits;
pub use resource_id::{ResourceId, ResourceKind};
pub use retry_budget::RetryBudget;
pub use slow_start_settings::SlowStartSettings;
pub use tag::Tag;
pub use ticket::Ticket;
pub use token_bucket::TokenBucket;
pub use wait_ticket::WaitTicket;
