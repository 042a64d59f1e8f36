//! Decides which client may hold more memory and whose body is dropped. Handles the load of many
//! clients that fill the memory and stay. Has no clock: progress is measured by the caller.

use std::collections::BTreeMap;

/// Bytes that each body may always hold, so that short requests are served whatever others hold.
pub const SHORT_BYTES: usize = 64 * 1024;

/// What held bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Bodies of which nothing was passed on; only these are dropped.
    Arriving,
    /// Bodies of requests that are handled.
    Handled,
    /// Requests received while an answer is in progress.
    Pipelined,
    /// Answers that were not read yet.
    Answers,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [
        Self::Arriving,
        Self::Handled,
        Self::Pipelined,
        Self::Answers,
    ];

    /// Returns the name under which the kind appears in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Arriving => "arriving",
            Self::Handled => "handled",
            Self::Pipelined => "pipelined",
            Self::Answers => "answers",
        }
    }
}

/// Identifies a holder of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(u64);

/// Decision on a holder that needs more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// The bytes are accounted.
    Granted,
    /// Nothing has changed; free this holder's memory and ask again.
    Evict(HolderId),
    /// Nothing has changed; the asking holder gets no more.
    Refused,
}

#[derive(Debug)]
struct Holder {
    kind: Kind,
    bytes: usize,
    size: usize,
}

/// Bytes by holder, and their sum.
#[derive(Debug)]
pub struct Ledger {
    budget: usize,
    used: usize,
    next: u64,
    holders: BTreeMap<HolderId, Holder>,
}

impl Ledger {
    /// Makes an empty ledger for `budget` bytes.
    pub fn open(budget: usize) -> Self {
        Self {
            budget,
            used: 0,
            next: 0,
            holders: BTreeMap::new(),
        }
    }

    /// Adds a holder of nothing. `size` is the size that a body has or may have at the end.
    pub fn add(&mut self, kind: Kind, size: usize) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            kind,
            bytes: 0,
            size: size.max(1),
        };
        self.holders.insert(id, holder);
        id
    }

    /// Adds a holder of `bytes`, unless the budget has no room for them.
    pub fn reserve(&mut self, kind: Kind, bytes: usize) -> Option<HolderId> {
        if self.used.saturating_add(bytes) > self.budget {
            return None;
        }
        let id = self.add(kind, bytes);
        self.set(id, bytes);
        Some(id)
    }

    /// Decides whether a holder may have `bytes` in all. `recent` gives the bytes that a body
    /// received lately: the one with the fewest relative to its size is dropped first.
    pub fn grow<F>(&mut self, id: HolderId, bytes: usize, recent: F) -> Growth
    where
        F: Fn(HolderId) -> u64,
    {
        let Some(holder) = self.holders.get(&id) else {
            return Growth::Refused;
        };
        let (held, kind) = (holder.bytes, holder.kind);
        let missing = bytes.saturating_sub(held);
        if missing == 0 || self.used.saturating_add(missing) <= self.budget {
            self.set(id, bytes.max(held));
            return Growth::Granted;
        }
        if kind == Kind::Pipelined {
            return Growth::Refused;
        }
        let is_kept = bytes <= SHORT_BYTES || kind != Kind::Arriving;
        match self.slowest(recent) {
            Some(slowest) if slowest != id => Growth::Evict(slowest),
            _ if is_kept => {
                self.set(id, bytes);
                Growth::Granted
            }
            _ => Growth::Refused,
        }
    }

    /// Returns the arriving body beyond [`SHORT_BYTES`] with the least progress relative to its size.
    fn slowest<F>(&self, recent: F) -> Option<HolderId>
    where
        F: Fn(HolderId) -> u64,
    {
        let arriving = |h: &Holder| h.kind == Kind::Arriving && h.bytes > SHORT_BYTES;
        let long = self.holders.iter().filter(|(_, h)| arriving(h));
        let progress = |id: HolderId, h: &Holder| (u128::from(recent(id)) << 32) / h.size as u128;
        long.min_by_key(|(id, h)| progress(**id, h))
            .map(|(id, _)| *id)
    }

    /// Sets what a holder has, without a decision.
    pub fn set(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used = self.used - holder.bytes + bytes;
            holder.bytes = bytes;
        }
    }

    /// Marks an arrived body as handled, so that it is not dropped any more.
    pub fn set_handled(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.kind = Kind::Handled;
        }
    }

    /// Removes a holder and what it has.
    pub fn remove(&mut self, id: HolderId) {
        self.set(id, 0);
        self.holders.remove(&id);
    }

    /// Returns the bytes of all holders.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the bytes of the holders of a kind.
    pub fn used_by(&self, kind: Kind) -> usize {
        let holders = self.holders.values().filter(|h| h.kind == kind);
        holders.map(|h| h.bytes).sum()
    }

    /// Returns whether at least half of the budget is used.
    pub fn is_half_full(&self) -> bool {
        self.used >= self.budget.div_ceil(2)
    }
}
