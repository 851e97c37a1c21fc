//! Ids of attempts, claims, table calls and time buckets.

hex_id!(
    /// Id of one attempt to run a request at a target. The lowest byte is the attempt number.
    AttemptId,
    "attempt id"
);
hex_id!(
    /// Id of one claim of an attempt record, chosen at random by the claiming node.
    ClaimId,
    "claim id"
);
wagtailmoor_core::number!(
    /// Id of one call to the table. A response whose call is no longer in flight is ignored.
    CallId,
    u64,
    "call id",
    ""
);
wagtailmoor_core::number!(
    /// Number of the wall-clock interval to which a record belongs. A record is deleted when its
    /// interval is old enough.
    TimeBucket,
    u32,
    "time bucket",
    ""
);

impl AttemptId {
    /// Returns the id of attempt `number` of the same request.
    pub const fn with_number(self, number: u8) -> Self {
        Self::new((self.get() & !0xff) | number as u128)
    }
}

impl CallId {
    /// Returns the id of the next call.
    pub const fn next(self) -> Self {
        Self::new(self.get() + 1)
    }
}
