//! Keys of attempt records.

use std::fmt::{Display, Formatter, Result as FmtResult};

use wagtailmoor_core::CustomerId;
use wagtailmoor_derive::value;
use xxhash_rust::xxh3::xxh3_128;

/// Key of an attempt record: a customer and the hash of its `Idempotency-Key`.
#[value]
#[derive(PartialOrd, Ord, Hash)]
pub struct RecordKey {
    customer: CustomerId,
    hash: RequestHash,
}

hex_id!(
    /// Hash of an `Idempotency-Key`.
    RequestHash,
    "request hash"
);

impl RecordKey {
    /// Computes the key of a request. The hash is not keyed, because a customer that crafts a
    /// collision affects only its own requests.
    pub fn of(customer: &CustomerId, idempotency_key: &[u8]) -> Self {
        let hash = RequestHash::new(xxh3_128(idempotency_key));
        Self { customer: customer.clone(), hash }
    }

    /// Creates a key from its parts.
    pub fn new(customer: CustomerId, hash: RequestHash) -> Self {
        Self { customer, hash }
    }

    /// Returns the customer.
    pub fn customer(&self) -> &CustomerId {
        &self.customer
    }

    /// Returns the hash of the `Idempotency-Key`.
    pub fn hash(&self) -> RequestHash {
        self.hash
    }
}

impl Display for RecordKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}/{}", self.customer, self.hash)
    }
}
