//! Switches by which tests turn single safety rules off, to show that the invariants notice.

/// A safety rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Votes are asked for and given although an old leader's lease may still run.
    SkipPromise,
    /// Votes are given again within one term.
    DoubleVote,
    /// Candidates with a shorter log are accepted.
    IgnoreLog,
    /// Messages of older terms are taken as current.
    IgnoreTerm,
    /// A new leader forgets that leases given under the one before may still run.
    SkipSettling,
    /// A later report of a feeder is replaced by an earlier one that arrives late.
    LateReports,
}
