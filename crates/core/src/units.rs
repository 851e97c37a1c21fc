//! Sizes, rates and shares.

number!(
    /// A rate in requests per second.
    RequestsPerSecond,
    u32,
    "rate",
    "/s"
);
number!(
    /// A count of requests.
    Requests,
    u32,
    "request count",
    ""
);
number!(
    /// A size in bytes.
    ByteCount,
    u64,
    "byte count",
    "B"
);
number!(
    /// Relative share of a customer or target under contention.
    Weight,
    u32,
    "weight",
    ""
);
number!(
    /// A share in millionths.
    PartsPerMillion,
    u32,
    "share",
    "ppm"
);

number!(
    /// Priority of a request; zero is the most urgent.
    Priority,
    u8,
    "priority",
    ""
);

impl Priority {
    /// Priority of all requests on a site that does not distinguish priorities.
    pub const NEUTRAL: Self = Self::new(0);
}

impl PartsPerMillion {
    /// The full share, 100 %.
    pub const ONE: Self = Self::new(1_000_000);

    /// Converts a share from 0.0 to 1.0; fractions of a millionth are cut off.
    pub fn from_share(share: f64) -> Self {
        // The conversion from a float saturates at the limits of u32.
        Self::new((share * f64::from(Self::ONE.get())) as u32)
    }

    /// Returns this share of an amount.
    pub fn of(self, amount: f64) -> f64 {
        amount * f64::from(self.get()) / f64::from(Self::ONE.get())
    }
}
