//! Settings of a coordinator.

use dandelion_protocol::time::Millis;

/// Period of [`crate::coordinator::Event::Tick`].
pub const TICK: Millis = Millis(250);

/// Timeouts, limits and policies of a coordinator.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Length of a trainer's lease, set by every pull and renewal.
    pub lease: Millis,
    /// Longest wait of a pull for complete groups.
    pub max_wait: Millis,
    /// Interval at which an unanswered proposal is sent again.
    pub resend_interval: Millis,
    /// Wait for the second holder of a batch, after which it is frozen with one.
    pub replicate_timeout: Millis,
    /// Time without a token after which an attempt counts as stalled.
    pub stall_timeout: Millis,
    /// Failed attempts for one sample after which its group is given up.
    pub max_attempts: u32,
    /// Tokens reserved in the ledger at a time, in thousandths of the budget.
    pub reserve_permille: u64,
    /// Share of all tokens that cancelled attempts may waste, in thousandths; above it no sample
    /// gets a second attempt.
    pub waste_permille: u64,
    /// Quantile of observed sample times, in thousandths, after which a sample is late.
    pub late_permille: u32,
    /// Samples that must be observed before any sample counts as late.
    pub min_observed: u32,
    /// Whether slow samples get a second attempt on another engine.
    pub hedge: bool,
    /// Whether a step starts only once the one before is complete; a baseline for comparisons.
    pub barrier: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Millis::from_secs(60),
            max_wait: Millis::from_secs(30),
            resend_interval: Millis::from_secs(2),
            replicate_timeout: Millis::from_secs(2),
            stall_timeout: Millis::from_secs(15),
            max_attempts: 8,
            reserve_permille: 20,
            waste_permille: 60,
            late_permille: 900,
            min_observed: 32,
            hedge: true,
            barrier: false,
        }
    }
}
