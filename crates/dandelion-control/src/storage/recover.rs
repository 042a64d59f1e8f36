//! The state that a replica recovers from its data folder.

use crate::raft::Entry;
use crate::raft::HardState;
use crate::raft::ReplicaId;
use crate::raft::Snapshot;
use crate::storage::error::StorageError;
use crate::storage::log_file::LOG_FILE;
use crate::storage::log_file::LogHead;

/// State recovered when the storage is opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the data folder.
    pub replica: ReplicaId,
    /// Latest hard state that was synced.
    pub hard: HardState,
    /// Latest snapshot; `None` before the first one.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Recovered {
    /// Combines a log and a snapshot. The snapshot is newer than the log's base if the process died
    /// after writing the snapshot and before replacing the log; the entries after it are then kept
    /// if the log matches it.
    pub fn combine(head: LogHead, snapshot: Option<Snapshot>) -> Result<Self, StorageError> {
        let at = snapshot.as_ref().map(|s| s.at).unwrap_or_default();
        if at.index < head.base.index {
            let reason = "its snapshot is missing or older than the log";
            return Err(StorageError::damaged(LOG_FILE, 0, reason));
        }
        let covered = (at.index - head.base.index) as usize;
        let matches = match covered.checked_sub(1) {
            None => head.base == at,
            Some(last) => head.entries.get(last).is_some_and(|e| e.at == at),
        };
        let entries = if matches {
            head.entries.into_iter().skip(covered).collect()
        } else {
            Vec::new()
        };
        Ok(Self {
            replica: head.replica,
            hard: head.hard,
            snapshot,
            entries,
        })
    }
}
