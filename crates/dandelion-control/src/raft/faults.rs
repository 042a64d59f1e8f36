//! Fault injection: tests disable one safety rule to show that the checked invariants detect it.

/// A safety rule that is disabled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Votes are requested and granted although the lease of an earlier leader may be unexpired.
    SkipPromise,
    /// A voter grants more than one vote in a term.
    DoubleVote,
    /// Votes are granted to candidates whose log is behind the voter's.
    IgnoreLog,
    /// Messages of older terms are handled like those of the current one.
    IgnoreTerm,
    /// A new leader reports changes as in force without waiting until leases granted under the
    /// previous leader have expired.
    SkipLeaseWait,
    /// An earlier report of a feeder replaces a later one if it arrives after it.
    LateReports,
}
