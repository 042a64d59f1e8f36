//! Settings of a coordinator.

use dandelion_protocol::time::Millis;

/// Period of [`crate::coordinator::Event::Tick`].
pub const TICK: Millis = Millis(250);

/// Settings of a coordinator.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Length of a trainer's lease.
    pub lease: Millis,
    /// Longest wait of a pull for whole groups.
    pub max_wait: Millis,
    /// Wait before an unanswered proposal is sent again.
    pub resend: Millis,
    /// Wait for a payload's second holder before the batch goes on with one.
    pub replicate: Millis,
    /// Time without a token after which an attempt counts as stalled.
    pub stall: Millis,
    /// Attempts of one sample before its group is given up.
    pub max_attempts: u32,
    /// Tokens reserved in the ledger at once, in thousandths of the budget.
    pub chunk_permille: u64,
    /// Most tokens that losing copies may waste, in thousandths of all tokens.
    pub waste_permille: u64,
    /// Quantile of observed sample times, in thousandths, after which a sample is late.
    pub late_permille: u32,
    /// Observed samples before lateness is judged.
    pub min_observed: u32,
    /// Whether slow samples get a second attempt.
    pub hedge: bool,
    /// Whether the next step starts only once the last one is whole; for comparison only.
    pub barrier: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Millis::from_secs(60),
            max_wait: Millis::from_secs(30),
            resend: Millis::from_secs(2),
            replicate: Millis::from_secs(2),
            stall: Millis::from_secs(15),
            max_attempts: 8,
            chunk_permille: 20,
            waste_permille: 60,
            late_permille: 900,
            min_observed: 32,
            hedge: true,
            barrier: false,
        }
    }
}
