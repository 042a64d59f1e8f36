//! Settings of the swap planner.

use dandelion_protocol::time::Millis;

/// Settings of a swap planner.
#[derive(Debug, Clone, Copy)]
pub struct SwapSettings {
    /// Fetches from the store at once.
    pub store_permits: usize,
    /// Fetches that an engine serves to peers at once; 0 if engines cannot.
    pub peer_fanout: usize,
    /// Engines of a zone that may swap at once, in thousandths; at least one may.
    pub swap_permille: usize,
    /// Time after which a fetch counts as failed.
    pub fetch_timeout: Millis,
    /// Time after which a swap that the engine does not report counts as failed.
    pub swap_timeout: Millis,
    /// Failures of one version after which an engine is set aside.
    pub max_failures: u32,
    /// Time for which an engine is set aside before it is tried again.
    pub aside: Millis,
    /// Wait before a failed fetch or swap is tried again.
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
            aside: Millis::from_secs(60),
            backoff: Millis(500),
        }
    }
}
