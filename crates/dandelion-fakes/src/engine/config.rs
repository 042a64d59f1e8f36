//! Settings of the fake engine.

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_protocol::ids::WeightVersion;

use crate::announce::Identity;

/// How a fake engine behaves.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Who it is and to whom it announces itself.
    pub identity: Identity,
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Requests in the batch; further ones wait inside.
    pub capacity: u32,
    /// Time for one token of a lone request.
    pub token_time: Duration,
    /// Relative slowdown of each token when the batch is full: 1.0 doubles the time.
    pub slowdown: f64,
    /// Prompt prefixes that the cache holds; the least recently used one goes first.
    pub cached: usize,
    /// Time before the first token of a prompt whose prefix is not cached.
    pub prefill: Duration,
    /// Weight version at the start.
    pub version: WeightVersion,
    /// Time for loading a version.
    pub load_time: Duration,
    /// Version orders that are acknowledged and then fail.
    pub failing_loads: u32,
    /// Whether orders with an old term are refused.
    pub checks_fencing: bool,
    /// Whether streams can be resumed.
    pub resumes: bool,
    /// A prompt with this text in it crashes the engine.
    pub poison: Option<String>,
}

impl EngineConfig {
    /// Makes an engine with eight places and 5 ms a token.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: 8,
            token_time: Duration::from_millis(5),
            slowdown: 0.5,
            cached: 32,
            prefill: Duration::ZERO,
            version: WeightVersion(1),
            load_time: Duration::from_millis(100),
            failing_loads: 0,
            checks_fencing: true,
            resumes: true,
            poison: None,
        }
    }
}
