//! Request fingerprints.

use wagtailmoor_core::CustomerId;
use xxhash_rust::xxh3::Xxh3Builder;

/// Length of the body prefix that a fingerprint covers. These bytes are already buffered when the
/// head is forwarded, and hashing them takes less than a microsecond.
const BODY_PREFIX_BYTES: usize = 1024;

hex_id!(
    /// Hash of the customer, method, path and body prefix of a request.
    Fingerprint,
    "fingerprint"
);

impl Fingerprint {
    /// Seed shared by all nodes of a site, which must compute the same fingerprints.
    pub const SITE_SEED: u64 = 0x7761_6774_6169_6c6d;

    /// Computes the fingerprint of a request.
    ///
    /// All nodes use the same seed. It is kept secret from clients, so that they cannot craft a
    /// request whose fingerprint collides with that of another request.
    pub fn of(
        seed: u64,
        customer: Option<&CustomerId>,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Self {
        let mut hash = Xxh3Builder::new().with_seed(seed).build();
        let prefix = &body[..body.len().min(BODY_PREFIX_BYTES)];
        let customer = customer.map_or("", CustomerId::as_str);
        for part in [customer.as_bytes(), method.as_bytes(), path.as_bytes(), prefix] {
            // Length prefixes distinguish requests whose concatenated parts are equal.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self::new(hash.digest128())
    }
}
