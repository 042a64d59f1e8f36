//! Settings of the swap planner.

use dandelion_protocol::time::Millis;

/// Limits and timeouts of a swap planner.
#[derive(Debug, Clone, Copy)]
pub struct SwapSettings {
    /// Maximum number of concurrent fetches from the store.
    pub store_permits: usize,
    /// Maximum number of concurrent fetches that an engine serves to peers; 0 if engines cannot.
    pub peer_fanout: usize,
    /// Share of a zone's engines that may swap concurrently, in thousandths; at least one may.
    pub swap_permille: usize,
    /// Time after which a fetch counts as failed.
    pub fetch_timeout: Millis,
    /// Time after which a swap counts as failed unless the engine reports the version.
    pub swap_timeout: Millis,
    /// Failures since the last reported swap or publication after which an engine is quarantined.
    pub max_failures: u32,
    /// Time for which a quarantined engine gets no orders.
    pub quarantine: Millis,
    /// Delay before a failed fetch or swap is tried again.
    pub backoff: Millis,
}

impl Default for SwapSettings {
    fn default() -> Self {
        Self {
            store_permits: 32,
            peer_fanout: 4,
            swap_permille: 250,
            fetch_timeout: Millis::from_secs(30),
            swap_timeout: Millis::from_secs(20),
            max_failures: 3,
            quarantine: Millis::from_secs(60),
            backoff: Millis(500),
        }
    }
}
