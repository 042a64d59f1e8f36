//! Switches by which tests turn single safety rules off, to show that the invariants notice.

/// A safety rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Votes are given although an old leader's lease may still run.
    SkipPromise,
    /// Votes are given again within one term.
    DoubleVote,
    /// Candidates with a shorter log are accepted.
    IgnoreLog,
    /// Messages of older terms are taken as current.
    IgnoreTerm,
}
