//! Idle connections by address, in shards with a lock each.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;
use futures::FutureExt;

use crate::lock::lock;

const SHARDS: usize = 16;

/// A clean connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// The idle connections of the addresses that hash to this shard.
#[derive(Debug)]
struct Shard {
    idle: HashMap<SocketAddr, Vec<Idle>>,
    last_sweep: Instant,
}

impl Shard {
    fn new() -> Mutex<Self> {
        Mutex::new(Self {
            idle: HashMap::new(),
            last_sweep: Instant::now(),
        })
    }

    /// Closes stale connections, also those to addresses that are no longer used. Does so at most
    /// once per `max_idle`.
    fn sweep(&mut self, max_idle: Duration) {
        if self.last_sweep.elapsed() < max_idle {
            return;
        }
        self.last_sweep = Instant::now();
        for list in self.idle.values_mut() {
            list.retain(|idle| idle.since.elapsed() < max_idle);
        }
        self.idle.retain(|_, list| !list.is_empty());
    }
}

/// Idle connections to all addresses.
#[derive(Debug)]
pub struct Pool {
    shards: Vec<Mutex<Shard>>,
    hasher: RandomState,
    per_address: usize,
    max_idle: Duration,
}

impl Pool {
    pub fn new(per_address: usize, max_idle: Duration) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::new()).collect(),
            hasher: RandomState::new(),
            per_address,
            max_idle,
        }
    }

    /// Takes a connection that is not stale, not closed and has no unsolicited bytes waiting.
    pub fn acquire(&self, address: SocketAddr) -> Option<TcpStream> {
        loop {
            let idle = lock(self.shard(address)).idle.get_mut(&address)?.pop()?;
            if idle.since.elapsed() < self.max_idle && is_clean(&idle.stream) {
                return Some(idle.stream);
            }
        }
    }

    /// Stores a clean connection for reuse, or drops it if the address has enough of them.
    pub fn release(&self, address: SocketAddr, stream: TcpStream) {
        let mut shard = lock(self.shard(address));
        shard.sweep(self.max_idle);
        let list = shard.idle.entry(address).or_default();
        if list.len() < self.per_address {
            let since = Instant::now();
            list.push(Idle { stream, since });
        }
    }

    /// Drops every idle connection to `address`.
    pub fn purge(&self, address: SocketAddr) {
        lock(self.shard(address)).idle.remove(&address);
    }

    /// Counts the idle connections to `address`.
    pub fn count(&self, address: SocketAddr) -> usize {
        let shard = lock(self.shard(address));
        shard.idle.get(&address).map_or(0, Vec::len)
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<Shard> {
        let slot = self.hasher.hash_one(address) as usize % SHARDS;
        &self.shards[slot]
    }
}

/// Returns whether nothing was received on an idle connection, neither bytes nor a close.
fn is_clean(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.peek(&mut byte).now_or_never().is_none()
}
