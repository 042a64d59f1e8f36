//! Idle connections by address, in shards with a lock each.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::hash::RandomState;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_std::net::TcpStream;
use futures::FutureExt;

use crate::lock::lock;

const SHARDS: usize = 16;

/// Requests after which a connection is closed instead of reused, so that what it has carried takes
/// two kilobytes at most.
const MAX_CARRIED: usize = 256;

/// A clean connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    channel: Channel,
    since: Instant,
}

impl Idle {
    fn is_stale(&self, times: IdleTimes) -> bool {
        let time = match self.channel.peer {
            Some(_) => times.asked,
            None => times.any,
        };
        self.since.elapsed() >= time
    }
}

/// Times after which an idle connection is no longer reused.
#[derive(Debug, Clone, Copy)]
pub struct IdleTimes {
    pub any: Duration,
    /// For connections whose other end was asked who it is.
    pub asked: Duration,
}

/// A connection, which process is known to be at its other end, and what it has carried.
#[derive(Debug, Clone)]
pub struct Channel {
    pub stream: TcpStream,
    /// Key of the process; none if it was not asked.
    pub peer: Option<u64>,
    /// Requests that were sent on it.
    pub carried: Carried,
}

/// Ids of the requests that a connection has carried, as hashes. An upstream may send an answer twice,
/// the second time before the answer to a later request; its id tells the two apart only if no id
/// comes twice on a connection.
#[derive(Debug, Clone, Default)]
pub struct Carried(Vec<u64>);

impl Carried {
    /// Records the id of a request that is about to be written.
    pub fn push(&mut self, id: &str) {
        self.0.push(hash_of(id));
    }

    /// Returns whether a request with this id may have been sent on the connection. Two ids with one
    /// hash only cost a connection.
    pub fn has(&self, id: &str) -> bool {
        self.0.contains(&hash_of(id))
    }

    fn is_full(&self) -> bool {
        self.0.len() >= MAX_CARRIED
    }
}

fn hash_of(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
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
    /// once per idle time.
    fn sweep(&mut self, times: IdleTimes) {
        if self.last_sweep.elapsed() < times.any {
            return;
        }
        self.last_sweep = Instant::now();
        for list in self.idle.values_mut() {
            list.retain(|idle| !idle.is_stale(times));
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
    times: IdleTimes,
}

impl Pool {
    pub fn new(per_address: usize, times: IdleTimes) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| Shard::new()).collect(),
            hasher: RandomState::new(),
            per_address,
            times,
        }
    }

    /// Takes a connection that is not stale, not closed and has no unsolicited bytes waiting; only one
    /// to the process `peer` if that is named, and none that has carried a request with this id.
    pub fn acquire(
        &self,
        address: SocketAddr,
        peer: Option<u64>,
        id: Option<&str>,
    ) -> Option<Channel> {
        loop {
            let idle = {
                let mut shard = lock(self.shard(address));
                let list = shard.idle.get_mut(&address)?;
                let fits = |idle: &Idle| {
                    let channel = &idle.channel;
                    let is_new = id.is_none_or(|id| !channel.carried.has(id));
                    is_new && (peer.is_none() || channel.peer == peer)
                };
                let at = list.iter().rposition(fits)?;
                list.remove(at)
            };
            if !idle.is_stale(self.times) && is_clean(&idle.channel.stream) {
                return Some(idle.channel);
            }
        }
    }

    /// Stores a clean connection for reuse. Drops it if the address has enough of them, or if it has
    /// carried as many requests as are recorded.
    pub fn release(&self, address: SocketAddr, channel: Channel) {
        if channel.carried.is_full() {
            return;
        }
        let mut shard = lock(self.shard(address));
        shard.sweep(self.times);
        let list = shard.idle.entry(address).or_default();
        if list.len() < self.per_address {
            let since = Instant::now();
            list.push(Idle { channel, since });
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
