//! The storage interface of a replica and its implementation on files.

use std::io;
use std::path::Path;

use crate::raft::Entry;
use crate::raft::HardState;
use crate::raft::Position;
use crate::raft::ReplicaId;
use crate::raft::Snapshot;
use crate::storage::disk::Disk;
use crate::storage::disk::FolderDisk;
use crate::storage::error::StorageError;
use crate::storage::log_file;
use crate::storage::log_file::BatchRef;
use crate::storage::log_file::LOG_FILE;
use crate::storage::log_file::LOG_TEMP;
use crate::storage::log_file::LogHead;
use crate::storage::recover::Recovered;
use crate::storage::snapshot_file;
use crate::storage::snapshot_file::SNAPSHOT_FILE;
use crate::storage::snapshot_file::SNAPSHOT_TEMP;

/// Durable storage of one replica. After an error it must be opened again.
pub trait Storage {
    /// Takes the state found at opening; later calls return only the identity.
    fn recover(&mut self) -> Recovered;

    /// Appends a batch to the log and syncs it once.
    fn write(&mut self, hard: Option<HardState>, entries: &[Entry]) -> Result<(), StorageError>;

    /// Syncs a snapshot and replaces the log by `entries`, which follow the snapshot.
    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        hard: HardState,
        entries: &[Entry],
    ) -> Result<(), StorageError>;

    /// Returns the size of the log file in bytes.
    fn log_bytes(&self) -> u64;

    /// Reads the state again after an error, for [`Storage::recover`], and writes it anew: a failed
    /// sync may have left in memory only what was read.
    fn reopen(&mut self) -> Result<(), StorageError>;
}

/// Storage in files on a [`Disk`].
#[derive(Debug)]
pub struct DiskStorage<D> {
    disk: D,
    recovered: Recovered,
    next_sequence: u64,
    length: u64,
    /// Position before the first entry of the log that was read.
    base: Position,
    failure: Option<StorageError>,
}

/// Storage in a folder of the file system.
pub type FileStorage = DiskStorage<FolderDisk>;

impl FileStorage {
    /// Opens a data folder. An empty one gets `fresh` as its identity, which must be random.
    pub fn open(folder: &Path, fresh: ReplicaId) -> Result<Self, StorageError> {
        Self::open_disk(FolderDisk::open(folder)?, fresh)
    }
}

impl<D> DiskStorage<D>
where
    D: Disk,
{
    /// Opens storage on a disk. An empty one gets `fresh` as its identity, which must be random.
    pub fn open_disk(disk: D, fresh: ReplicaId) -> Result<Self, StorageError> {
        let mut storage = Self {
            disk,
            recovered: Recovered {
                replica: fresh,
                ..Recovered::default()
            },
            next_sequence: 1,
            length: 0,
            base: Position::default(),
            failure: None,
        };
        if storage.load()? {
            storage.finish_snapshot()?;
        } else {
            storage.replace_log(Position::default(), HardState::default(), &[])?;
        }
        Ok(storage)
    }

    /// Reads snapshot and log, and cuts a torn tail off. Returns false if there is no log yet.
    fn load(&mut self) -> Result<bool, StorageError> {
        let snapshot = read_file(&mut self.disk, SNAPSHOT_FILE)?;
        let snapshot = snapshot
            .map(|bytes| snapshot_file::read_snapshot(&bytes))
            .transpose()?;
        let Some(bytes) = read_file(&mut self.disk, LOG_FILE)? else {
            if snapshot.is_some() {
                let reason = "the log is missing beside a snapshot";
                return Err(StorageError::damaged(LOG_FILE, 0, reason));
            }
            return Ok(false);
        };
        let content = log_file::read_log(&bytes)?;
        if content.torn {
            let truncated = self.disk.truncate(LOG_FILE, content.length);
            truncated
                .and_then(|()| self.disk.sync(LOG_FILE))
                .map_err(|e| StorageError::from_io(LOG_FILE, &e))?;
        }
        self.next_sequence = content.next_sequence;
        self.length = content.length;
        self.base = content.head.base;
        self.recovered = Recovered::combine(content.head, snapshot)?;
        Ok(true)
    }

    /// Replaces the log if the process died after writing a snapshot and before replacing the log.
    fn finish_snapshot(&mut self) -> Result<(), StorageError> {
        if self.snapshot_position() == self.base {
            return Ok(());
        }
        self.rewrite_log()
    }

    fn snapshot_position(&self) -> Position {
        let snapshot = self.recovered.snapshot.as_ref();
        snapshot.map(|s| s.at).unwrap_or_default()
    }

    /// Writes a log of what was recovered.
    fn rewrite_log(&mut self) -> Result<(), StorageError> {
        let entries = self.recovered.entries.clone();
        self.replace_log(self.snapshot_position(), self.recovered.hard, &entries)
    }

    /// Returns the disk without further writes, as after a crash.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Borrows the disk.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    fn replace_log(
        &mut self,
        base: Position,
        hard: HardState,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        let head = LogHead {
            replica: self.recovered.replica,
            hard,
            base,
            entries: entries.to_vec(),
        };
        let bytes = log_file::write_log(&head)?;
        self.replace_file(LOG_TEMP, LOG_FILE, &bytes)?;
        self.next_sequence = 1;
        self.length = bytes.len() as u64;
        Ok(())
    }

    fn replace_file(&mut self, temp: &str, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let disk = &mut self.disk;
        let done = disk
            .create(temp)
            .and_then(|()| disk.append(temp, bytes))
            .and_then(|()| disk.sync(temp))
            .and_then(|()| disk.rename(temp, file))
            .and_then(|()| disk.sync_folder());
        self.record_failure(file, done)
    }

    /// Converts an I/O error on `file` and remembers it, so that all later writes fail.
    fn record_failure(&mut self, file: &str, done: io::Result<()>) -> Result<(), StorageError> {
        done.map_err(|error| {
            let failure = StorageError::from_io(file, &error);
            self.failure = Some(failure.clone());
            failure
        })
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        self.failure.clone().map_or(Ok(()), Err)
    }
}

impl<D> Storage for DiskStorage<D>
where
    D: Disk,
{
    fn recover(&mut self) -> Recovered {
        let replica = self.recovered.replica;
        let rest = Recovered {
            replica,
            ..Recovered::default()
        };
        std::mem::replace(&mut self.recovered, rest)
    }

    fn write(&mut self, hard: Option<HardState>, entries: &[Entry]) -> Result<(), StorageError> {
        self.check_usable()?;
        let bytes = log_file::write_batch(self.next_sequence, BatchRef { hard, entries })?;
        let disk = &mut self.disk;
        let done = disk
            .append(LOG_FILE, &bytes)
            .and_then(|()| disk.sync(LOG_FILE));
        self.record_failure(LOG_FILE, done)?;
        self.next_sequence += 1;
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        hard: HardState,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        let bytes = snapshot_file::write_snapshot(snapshot)?;
        self.replace_file(SNAPSHOT_TEMP, SNAPSHOT_FILE, &bytes)?;
        self.replace_log(snapshot.at, hard, entries)
    }

    fn log_bytes(&self) -> u64 {
        self.length
    }

    fn reopen(&mut self) -> Result<(), StorageError> {
        self.failure = None;
        self.load()?;
        if let Some(snapshot) = &self.recovered.snapshot {
            let bytes = snapshot_file::write_snapshot(snapshot)?;
            self.replace_file(SNAPSHOT_TEMP, SNAPSHOT_FILE, &bytes)?;
        }
        self.rewrite_log()
    }
}

fn read_file<D>(disk: &mut D, file: &str) -> Result<Option<Vec<u8>>, StorageError>
where
    D: Disk,
{
    disk.read(file).map_err(|e| StorageError::from_io(file, &e))
}
