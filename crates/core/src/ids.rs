//! Ids of hosts, zones, customers and back ends, and numbers for slots, grants and versions.

text_id!(
    /// A host: a machine that runs entry processes.
    HostId,
    "host id"
);
text_id!(
    /// A node: one entry process.
    NodeId,
    "node id"
);
text_id!(
    /// An availability zone.
    ZoneId,
    "zone id"
);
text_id!(
    /// A region: a group of nearby availability zones.
    RegionId,
    "region id"
);
text_id!(
    /// A rack: hosts that share a switch and a power feed.
    RackId,
    "rack id"
);
text_id!(
    /// A tenant with its own rate, burst and weight.
    CustomerId,
    "customer id"
);
text_id!(
    /// A back end: a service behind the router, run by a group of targets.
    BackEndId,
    "back end id"
);
text_id!(
    /// A target: one process of a back end.
    TargetId,
    "target id"
);
text_id!(
    /// A template of settings shared by customers.
    TemplateId,
    "template id"
);
text_id!(
    /// The public name of a customer key.
    CustomerKeyId,
    "customer key id"
);

number!(
    /// A slot: a hash bucket of application keys.
    SlotId,
    u32,
    "slot id",
    ""
);
number!(
    /// Application key of a request as a number; targets own ranges of consecutive keys.
    ShardKey,
    u16,
    "shard key",
    ""
);
number!(
    /// A segment: consecutive slots that are stored in one table row.
    SegmentId,
    u32,
    "segment id",
    ""
);
number!(
    /// Identifies one write to the store, so that a later read can tell whether it took effect.
    WriteId,
    u128,
    "write id",
    ""
);
number!(
    /// Identifies one grant message to a target.
    GrantId,
    u64,
    "grant id",
    ""
);
number!(
    /// Start time of a process in milliseconds since the Unix epoch; higher after each restart.
    Incarnation,
    u64,
    "incarnation",
    ""
);
counter!(
    /// Fencing token of one assignment of a slot or hot key.
    Epoch,
    "epoch"
);
counter!(
    /// Number of a controller panel; promises for an older panel are invalid.
    Generation,
    "generation"
);
counter!(
    /// Number of configuration changes accepted so far.
    ConfigVersion,
    "configuration version"
);
counter!(
    /// Version of a table row, which increases with every write.
    RowVersion,
    "row version"
);
counter!(
    /// Number of times that the store was restored from an older copy. Row versions of different
    /// eras cannot be compared.
    StoreEra,
    "store era"
);
