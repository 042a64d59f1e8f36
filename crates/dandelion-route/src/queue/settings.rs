//! Settings of one queue.

use dandelion_protocol::ids::ServiceId;

/// Requests that may wait at one owner for one service, unless set otherwise.
pub const MAX_QUEUED: usize = 4096;

/// Settings of the queue of one service at one owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueSettings {
    /// Service whose requests the queue holds.
    pub service: ServiceId,
    /// Most requests that may wait; beyond it, requests are refused.
    pub max_queued: usize,
    /// Isolated trials of suspects that may run at once, each on an upstream of its own.
    pub max_trials: usize,
}

impl QueueSettings {
    /// Returns the default settings for `service`.
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            max_queued: MAX_QUEUED,
            max_trials: 1,
        }
    }
}
