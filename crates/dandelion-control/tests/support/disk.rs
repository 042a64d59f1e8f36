//! An in-memory disk whose crashes lose or tear data that was not synced.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use dandelion_control::storage::Disk;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

#[derive(Debug, Clone, Default)]
struct Inode {
    content: Vec<u8>,
    durable: usize,
}

#[derive(Debug)]
struct State {
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    inodes: BTreeMap<u64, Inode>,
    last_inode: u64,
    rng: SmallRng,
    /// Operations before the one at which the process crashes.
    crash_countdown: Option<u64>,
    full: bool,
    skip_sync: bool,
    operations: u64,
}

/// A simulated disk; clones share it.
#[derive(Debug, Clone)]
pub struct SimDisk(Rc<RefCell<State>>);

impl SimDisk {
    pub fn new(seed: u64) -> Self {
        Self(Rc::new(RefCell::new(State {
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            inodes: BTreeMap::new(),
            last_inode: 0,
            rng: SmallRng::seed_from_u64(seed),
            crash_countdown: None,
            full: false,
            skip_sync: false,
            operations: 0,
        })))
    }

    /// Crashes the process after `operations` more operations, partway through the next one.
    pub fn crash_after(&self, operations: u64) {
        self.0.borrow_mut().crash_countdown = Some(operations);
    }

    pub fn cancel_crash(&self) {
        self.0.borrow_mut().crash_countdown = None;
    }

    pub fn set_full(&self, full: bool) {
        self.0.borrow_mut().full = full;
    }

    /// Makes every sync ineffective: a mutation that the invariants must detect.
    pub fn skip_syncs(&self) {
        self.0.borrow_mut().skip_sync = true;
    }

    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    /// Loses data that was not synced; a random part of it may remain, with its last byte damaged.
    pub fn crash(&self) {
        let state = &mut *self.0.borrow_mut();
        state.crash_countdown = None;
        state.names = state.durable_names.clone();
        for inode in state.inodes.values_mut() {
            let unsynced = inode.content.len() - inode.durable;
            let kept = inode.durable + state.rng.random_range(0..=unsynced);
            inode.content.truncate(kept);
            if kept > inode.durable && state.rng.random_bool(0.3) {
                let last = kept - 1;
                inode.content[last] ^= 0x55;
            }
            inode.durable = kept;
        }
    }

    /// Deletes everything, as if the disk were replaced.
    pub fn wipe(&self) {
        let state = &mut *self.0.borrow_mut();
        state.crash_countdown = None;
        state.names.clear();
        state.durable_names.clear();
        state.inodes.clear();
    }

    /// Flips one bit of the byte at `offset`, synced or not.
    pub fn flip_bit(&self, file: &str, offset: usize) {
        let state = &mut *self.0.borrow_mut();
        let inode = state.names[file];
        state.inodes.get_mut(&inode).unwrap().content[offset] ^= 0x40;
    }

    /// Removes bytes from the end of a file.
    pub fn truncate_tail(&self, file: &str, bytes: usize) {
        let state = &mut *self.0.borrow_mut();
        let inode = state.names[file];
        let inode = state.inodes.get_mut(&inode).unwrap();
        let left = inode.content.len() - bytes;
        inode.content.truncate(left);
        inode.durable = left;
    }

    pub fn length(&self, file: &str) -> usize {
        let state = self.0.borrow();
        state.inodes[&state.names[file]].content.len()
    }
}

impl State {
    /// Counts an operation and returns whether the process crashes at it.
    fn count_operation(&mut self) -> bool {
        self.operations += 1;
        match &mut self.crash_countdown {
            Some(0) => true,
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }

    fn check(&mut self) -> io::Result<()> {
        if self.count_operation() {
            return Err(io::Error::other("the process crashed"));
        }
        Ok(())
    }

    fn inode(&mut self, file: &str) -> io::Result<&mut Inode> {
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        let id = self.names.get(file).copied().ok_or_else(missing)?;
        self.inodes.get_mut(&id).ok_or_else(missing)
    }
}

impl Disk for SimDisk {
    fn name(&self) -> String {
        "simulated".to_owned()
    }

    fn read(&mut self, file: &str) -> io::Result<Option<Vec<u8>>> {
        let state = &mut *self.0.borrow_mut();
        if !state.names.contains_key(file) {
            return Ok(None);
        }
        Ok(Some(state.inode(file)?.content.clone()))
    }

    fn create(&mut self, file: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.check()?;
        state.last_inode += 1;
        state.inodes.insert(state.last_inode, Inode::default());
        state.names.insert(file.to_owned(), state.last_inode);
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let crashes = state.count_operation();
        let part = state.rng.random_range(0..=bytes.len());
        let full = state.full;
        let inode = state.inode(file)?;
        if crashes || full {
            inode.content.extend_from_slice(&bytes[..part]);
            let kind = if full {
                io::ErrorKind::StorageFull
            } else {
                io::ErrorKind::Other
            };
            return Err(io::Error::from(kind));
        }
        inode.content.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, file: &str, length: u64) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.check()?;
        let inode = state.inode(file)?;
        inode.content.truncate(length as usize);
        inode.durable = inode.durable.min(length as usize);
        Ok(())
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.check()?;
        if !state.skip_sync {
            let inode = state.inode(file)?;
            inode.durable = inode.content.len();
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.check()?;
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        let inode = state.names.remove(from).ok_or_else(missing)?;
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        state.check()?;
        if !state.skip_sync {
            state.durable_names = state.names.clone();
        }
        let used = |id: &u64| {
            state.names.values().any(|n| n == id) || state.durable_names.values().any(|n| n == id)
        };
        let kept = state
            .inodes
            .keys()
            .copied()
            .filter(used)
            .collect::<Vec<_>>();
        state.inodes.retain(|id, _| kept.contains(id));
        Ok(())
    }
}
