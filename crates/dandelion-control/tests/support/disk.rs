//! A disk in memory that can lose or tear everything that was not synced.

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
    made: u64,
    rng: SmallRng,
    /// Operations until the one at which the process dies.
    fuse: Option<u64>,
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
            made: 0,
            rng: SmallRng::seed_from_u64(seed),
            fuse: None,
            full: false,
            skip_sync: false,
            operations: 0,
        })))
    }

    /// Lets the process die at the given operation from now, having done a part of it.
    pub fn light_fuse(&self, operations: u64) {
        self.0.borrow_mut().fuse = Some(operations);
    }

    pub fn put_out_fuse(&self) {
        self.0.borrow_mut().fuse = None;
    }

    pub fn set_full(&self, full: bool) {
        self.0.borrow_mut().full = full;
    }

    /// Turns every sync into nothing: the mutation that the invariants must notice.
    pub fn skip_syncs(&self) {
        self.0.borrow_mut().skip_sync = true;
    }

    pub fn operations(&self) -> u64 {
        self.0.borrow().operations
    }

    /// Loses what was not synced; the end of a file may be torn.
    pub fn crash(&self) {
        let state = &mut *self.0.borrow_mut();
        state.fuse = None;
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

    /// Loses the whole disk.
    pub fn wipe(&self) {
        let state = &mut *self.0.borrow_mut();
        state.fuse = None;
        state.names.clear();
        state.durable_names.clear();
        state.inodes.clear();
    }

    /// Changes one byte, synced or not.
    pub fn flip(&self, file: &str, offset: usize) {
        let state = &mut *self.0.borrow_mut();
        let inode = state.names[file];
        state.inodes.get_mut(&inode).unwrap().content[offset] ^= 0x40;
    }

    /// Cuts bytes off the end of a file.
    pub fn chop(&self, file: &str, bytes: usize) {
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
    /// Counts an operation and returns whether the process dies at it.
    fn burn(&mut self) -> bool {
        self.operations += 1;
        match &mut self.fuse {
            Some(0) => true,
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        }
    }

    fn check(&mut self) -> io::Result<()> {
        if self.burn() {
            return Err(io::Error::other("the process died"));
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
        state.made += 1;
        state.inodes.insert(state.made, Inode::default());
        state.names.insert(file.to_owned(), state.made);
        Ok(())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let state = &mut *self.0.borrow_mut();
        let dies = state.burn();
        let part = state.rng.random_range(0..=bytes.len());
        let full = state.full;
        let inode = state.inode(file)?;
        if dies || full {
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
