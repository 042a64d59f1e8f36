//! The account of a process: buffers of arriving bodies, and the connections of all listeners.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;

use dandelion_protocol::time::Millis;
use thiserror::Error;

use crate::clock;
use crate::http::memory::ledger::Growth;
use crate::http::memory::ledger::HolderId;
use crate::http::memory::ledger::Kind;
use crate::http::memory::ledger::Ledger;
use crate::http::memory::rate::RateWindow;
use crate::http::shared_body::SharedBody;
use crate::lock::lock;
use crate::signal::Signal;
use crate::signal::Trigger;

/// Smallest capacity of a body's buffer.
const FIRST_BYTES: usize = 4 * 1024;
/// Size of all segments of a body after its first one.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Most free segments that are kept. With one growing buffer for each body, memory freed by many
/// threads stayed with the process: 12 to 24 MB at a budget of 8 MiB.
const FREE_SEGMENTS: usize = 64;

/// The memory that clients may use is full, or was needed for a body that makes more progress.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the memory for clients' requests is full")]
pub struct Full;

/// Limits on connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most connections of all listeners together.
    pub total: usize,
    /// Most connections from one IP number; 0 means no limit.
    pub per_peer: usize,
}

/// What clients use at the moment, and what was refused since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Usage {
    /// Bytes by kind, in the order of [`Kind::ALL`].
    pub bytes: [usize; 4],
    /// Open connections.
    pub connections: usize,
    /// Refusals since the start, by reason.
    pub refused: BTreeMap<&'static str, u64>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    budget: usize,
    /// Segments that were used by bodies and are empty.
    free: Vec<Vec<u8>>,
    bodies: BTreeMap<HolderId, Arc<Slot>>,
    peers: HashMap<IpAddr, usize>,
    connections: usize,
    refused: BTreeMap<&'static str, u64>,
}

/// Account of the memory and connections of a process; copies share it. The lock of the state is
/// taken before that of a body, never after it.
#[derive(Debug, Clone)]
pub struct ClientMemory {
    limits: ConnectionLimits,
    state: Arc<Mutex<State>>,
}

/// Buffer of one arriving body.
#[derive(Debug)]
struct Slot {
    content: Mutex<Content>,
    dropped: Trigger,
}

#[derive(Debug)]
struct Content {
    /// The first segment grows to [`SEGMENT_BYTES`], so that short bodies take little; the others
    /// have that size from the start.
    segments: Vec<Vec<u8>>,
    capacity: usize,
    length: usize,
    is_dropped: bool,
    rate: RateWindow,
}

impl ClientMemory {
    /// Makes an account of `budget` bytes.
    pub fn new(budget: usize, limits: ConnectionLimits) -> Self {
        let state = State {
            ledger: Ledger::open(budget),
            budget,
            free: Vec::new(),
            bodies: BTreeMap::new(),
            peers: HashMap::new(),
            connections: 0,
            refused: BTreeMap::new(),
        };
        Self {
            limits,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Counts a connection; returns the reason if it is one too many.
    pub fn connect(&self, peer: IpAddr) -> Result<OpenConnection, &'static str> {
        let mut state = lock(&self.state);
        let of_peer = state.peers.get(&peer).copied().unwrap_or(0);
        let reason = if state.connections >= self.limits.total {
            "connections"
        } else if self.limits.per_peer > 0 && of_peer >= self.limits.per_peer {
            "peer_connections"
        } else {
            state.connections += 1;
            state.peers.insert(peer, of_peer + 1);
            let memory = self.clone();
            return Ok(OpenConnection { memory, peer });
        };
        *state.refused.entry(reason).or_default() += 1;
        Err(reason)
    }

    /// Opens the buffer of a body that has `size` bytes, or at most that many.
    pub fn body(&self, size: usize, window: Millis) -> BodyShare {
        let (dropped, signal) = Signal::new();
        let content = Content {
            segments: vec![Vec::new()],
            capacity: 0,
            length: 0,
            is_dropped: false,
            rate: RateWindow::open(window, clock::boot_now()),
        };
        let slot = Arc::new(Slot {
            content: Mutex::new(content),
            dropped,
        });
        let mut state = lock(&self.state);
        let id = state.ledger.add(Kind::Arriving, size);
        state.bodies.insert(id, Arc::clone(&slot));
        let memory = self.clone();
        BodyShare {
            held: Held { memory, id },
            slot,
            size,
            dropped: signal,
        }
    }

    /// Adds a holder of bytes that are not in a body's buffer.
    pub fn hold(&self, kind: Kind) -> Held {
        let id = lock(&self.state).ledger.add(kind, 1);
        let memory = self.clone();
        Held { memory, id }
    }

    /// Accounts bytes that a handler needs for a request besides its body, if there is room. Nothing is
    /// dropped for them.
    pub fn reserve(&self, bytes: usize) -> Result<Held, Full> {
        let reserved = lock(&self.state).ledger.reserve(Kind::Handled, bytes);
        let id = reserved.ok_or(Full)?;
        let memory = self.clone();
        Ok(Held { memory, id })
    }

    /// Returns whether bodies must sustain the minimum rate: half of the bytes or of the connections
    /// is used.
    pub fn is_pressed(&self) -> bool {
        let state = lock(&self.state);
        state.ledger.is_half_full() || state.connections >= self.limits.total.div_ceil(2)
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: &'static str) {
        *lock(&self.state).refused.entry(reason).or_default() += 1;
    }

    /// Returns what clients use.
    pub fn usage(&self) -> Usage {
        let state = lock(&self.state);
        Usage {
            bytes: Kind::ALL.map(|kind| state.ledger.used_by(kind)),
            connections: state.connections,
            refused: state.refused.clone(),
        }
    }

    /// Accounts `bytes` in all, and returns `segments` empty segments for them.
    fn grow(&self, id: HolderId, bytes: usize, segments: usize) -> Result<Vec<Vec<u8>>, Full> {
        let now = clock::boot_now();
        let mut guard = lock(&self.state);
        let state = &mut *guard;
        loop {
            let bodies = &state.bodies;
            let recent = |id| {
                let slot: Option<&Arc<Slot>> = bodies.get(&id);
                slot.map_or(0, |slot| lock(&slot.content).rate.recent(now))
            };
            match state.ledger.grow(id, bytes, recent) {
                Growth::Granted => {
                    let new = || Vec::with_capacity(SEGMENT_BYTES);
                    let segment = |_| state.free.pop().unwrap_or_else(new);
                    return Ok((0..segments).map(segment).collect());
                }
                Growth::Refused => return Err(Full),
                Growth::Evict(other) => {
                    state.ledger.set(other, 0);
                    if let Some(slot) = state.bodies.remove(&other) {
                        state.recycle(slot.drop_bytes());
                    }
                }
            }
        }
    }
}

impl State {
    /// Keeps whole segments for other bodies while there is room in the budget.
    fn recycle(&mut self, segments: Vec<Vec<u8>>) {
        for mut segment in segments {
            let kept = self.ledger.used() + (self.free.len() + 1) * SEGMENT_BYTES;
            let has_room = self.free.len() < FREE_SEGMENTS && kept <= self.budget;
            if has_room && segment.capacity() == SEGMENT_BYTES {
                segment.clear();
                self.free.push(segment);
            }
        }
    }
}

impl Slot {
    fn drop_bytes(&self) -> Vec<Vec<u8>> {
        let mut content = lock(&self.content);
        content.is_dropped = true;
        self.dropped.raise();
        std::mem::take(&mut content.segments)
    }
}

impl Content {
    /// Adds segments, and grows the first one.
    fn extend(&mut self, segments: Vec<Vec<u8>>, capacity: usize) {
        self.segments.extend(segments);
        self.capacity = capacity;
        if let Some(first) = self.segments.first_mut() {
            first.reserve_exact(capacity.min(SEGMENT_BYTES).saturating_sub(first.len()));
        }
    }

    /// Appends bytes for which there is room.
    fn append(&mut self, piece: &[u8]) {
        let mut rest = piece;
        let first = self.length / SEGMENT_BYTES;
        for segment in self.segments.iter_mut().skip(first) {
            let count = rest.len().min(SEGMENT_BYTES - segment.len());
            segment.extend_from_slice(&rest[..count]);
            rest = &rest[count..];
            if rest.is_empty() {
                break;
            }
        }
        self.length += piece.len();
    }
}

/// An open connection, counted until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    memory: ClientMemory,
    peer: IpAddr,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.memory.state);
        state.connections -= 1;
        if let Some(count) = state.peers.get_mut(&self.peer) {
            *count -= 1;
            if *count == 0 {
                state.peers.remove(&self.peer);
            }
        }
    }
}

/// Accounted bytes, released when this is dropped.
#[derive(Debug)]
pub struct Held {
    memory: ClientMemory,
    id: HolderId,
}

impl Held {
    /// Accounts `bytes` in all, if there is room.
    pub fn grow_to(&self, bytes: usize) -> Result<(), Full> {
        self.memory.grow(self.id, bytes, 0).map(|_none| ())
    }

    /// Returns segments for use by other bodies.
    pub(in crate::http) fn recycle(&self, segments: Vec<Vec<u8>>) {
        lock(&self.memory.state).recycle(segments);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut state = lock(&self.memory.state);
        state.ledger.remove(self.id);
        if let Some(slot) = state.bodies.remove(&self.id) {
            let segments = std::mem::take(&mut lock(&slot.content).segments);
            state.recycle(segments);
        }
    }
}

/// Buffer of an arriving body. The account may drop its bytes at any time before it is taken.
#[derive(Debug)]
pub struct BodyShare {
    held: Held,
    slot: Arc<Slot>,
    size: usize,
    dropped: Signal,
}

impl BodyShare {
    /// Appends bytes that have arrived.
    pub fn push(&self, piece: &[u8]) -> Result<(), Full> {
        let (needed, former) = {
            let content = lock(&self.slot.content);
            (content.length + piece.len(), content.capacity)
        };
        if needed > former {
            let capacity = next_capacity(former, needed, self.size);
            let segments = segments_of(capacity) - segments_of(former).max(1);
            let segments = self.held.memory.grow(self.held.id, capacity, segments)?;
            lock(&self.slot.content).extend(segments, capacity);
        }
        let mut content = lock(&self.slot.content);
        if content.is_dropped {
            return Err(Full);
        }
        content.append(piece);
        content.rate.record(clock::boot_now(), piece.len());
        Ok(())
    }

    /// Waits until the account has dropped the bytes.
    pub async fn dropped(&self) {
        self.dropped.raised().await;
    }

    /// Returns whether the body came too slowly over the latest window.
    pub fn is_slow(&self, rate: u64) -> bool {
        lock(&self.slot.content)
            .rate
            .is_below(clock::boot_now(), rate)
    }

    /// Takes the complete body, which is not dropped any more. Its bytes count until the last copy is
    /// dropped.
    pub fn take(self) -> Result<SharedBody, Full> {
        let mut state = lock(&self.held.memory.state);
        let mut content = lock(&self.slot.content);
        if content.is_dropped {
            return Err(Full);
        }
        state.ledger.set_handled(self.held.id);
        state.bodies.remove(&self.held.id);
        let parts = std::mem::take(&mut content.segments);
        drop(content);
        drop(state);
        Ok(SharedBody::counted(parts, Arc::new(self.held)))
    }
}

/// Returns the capacity of a body's buffer that needs more: doubled up to a segment, then whole
/// segments.
fn next_capacity(former: usize, needed: usize, size: usize) -> usize {
    if needed > SEGMENT_BYTES {
        return segments_of(needed) * SEGMENT_BYTES;
    }
    let doubled = (2 * former).max(FIRST_BYTES).min(size);
    doubled.max(needed).min(SEGMENT_BYTES)
}

fn segments_of(bytes: usize) -> usize {
    bytes.div_ceil(SEGMENT_BYTES)
}
