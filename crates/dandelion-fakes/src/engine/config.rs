//! Configuration of the fake engine.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::incarnations::SoftwareVersion;

use crate::announce::Identity;

/// Configuration of a fake engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Identity of the engine and the daemons that it announces itself to.
    pub identity: Identity,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Requests that run at once; further ones wait in the engine.
    pub capacity: u32,
    /// Time per token when a single request is running.
    pub token_time: Duration,
    /// Relative increase of the time per token with a full batch, scaled linearly with the fill:
    /// 1.0 doubles it.
    pub slowdown: f64,
    /// Prompt prefixes that the cache holds; the least recently used one is evicted.
    pub max_prefixes: usize,
    /// Extra delay before the first token if the prompt's prefix is not cached.
    pub prefill: Duration,
    /// Weight version loaded at startup.
    pub version: WeightVersion,
    /// Time from an acknowledged load order to the swap.
    pub load_time: Duration,
    /// Load orders that are acknowledged but then fail; counted from startup.
    pub failing_loads: u32,
    /// Whether orders with a stale fencing term are refused.
    pub checks_fencing: bool,
    /// Whether requests with `resume_from` are accepted.
    pub resumes: bool,
    /// Any prompt that contains this text crashes the engine.
    pub poison: Option<String>,
    /// Version of its software, named in announcements and events.
    pub software: SoftwareVersion,
}

impl EngineConfig {
    /// Returns the defaults: a loopback port, eight batch slots, 5 ms per token, weight version 1.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: 8,
            token_time: Duration::from_millis(5),
            slowdown: 0.5,
            max_prefixes: 32,
            prefill: Duration::ZERO,
            version: WeightVersion(1),
            load_time: Duration::from_millis(100),
            failing_loads: 0,
            checks_fencing: true,
            resumes: true,
            poison: None,
            software: SoftwareVersion("1".to_owned()),
        }
    }
}
