//! Injected faults, which show that the checks can fail.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// `BytesSent` is not reported to the plan.
    RetryAfterBytes,
    /// A non-idempotent request is run without a claim.
    RunWithoutRecord,
    /// A request whose claim was refused as unavailable is run.
    RunWhenUnavailable,
    /// An unknown outcome is recorded as not-run.
    RecordUnknownAsNotRun,
    /// A 503 marked not-run is trusted, although targets run some of the requests they refuse.
    BelieveUntrusted,
    /// A response delivered to the wrong request is accepted by it.
    ReuseCrossed,
    /// The in-flight guard of an attempt is leaked.
    ForgetGuard,
    /// Retries and hedges are not limited by a budget.
    NoBudget,
    /// Requests that crash targets are not refused.
    IgnoreLedger,
    /// Observations of cold targets are not reported to the target table.
    HideCold,
}
