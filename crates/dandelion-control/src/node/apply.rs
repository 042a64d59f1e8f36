//! Applies committed entries; restores, writes and exports snapshots.

use std::sync::Arc;

use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;

use crate::feed::TableChange;
use crate::node::control::ControlNode;
use crate::node::event::NodeAction;
use crate::raft::Payload;
use crate::storage::Storage;
use crate::storage::StorageError;
use crate::storage::restore;
use crate::storage::snapshot_file::SNAPSHOT_FILE;

/// Number of entries before a snapshot that stay in memory, for replicas that lag a little.
pub const KEPT_ENTRIES: u64 = 2048;

impl<S> ControlNode<S>
where
    S: Storage,
{
    /// Restores the tables from the replica's latest snapshot, if it has one.
    pub(super) fn restore_tables(&mut self) -> Result<(), StorageError> {
        let snapshot = self.replica.snapshot();
        let revision = Revision(snapshot.at.index);
        if revision == Revision(0) {
            return Ok(());
        }
        let unreadable =
            |error: codec::CodecError| StorageError::damaged(SNAPSHOT_FILE, 0, &error.to_string());
        let image = codec::decode(&snapshot.data).map_err(unreadable)?;
        self.tables.restore(&image).map_err(unreadable)?;
        self.tables.skip_to(revision);
        self.recent_changes.reset(revision);
        Ok(())
    }

    pub(super) fn restore_installed(&mut self) -> Result<(), StorageError> {
        if self.replica.take_installed().is_some() {
            self.restore_tables()?;
        }
        Ok(())
    }

    pub(super) fn apply_committed(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let first = self.tables.revision().0 + 1;
        let commit = self.replica.commit();
        for index in first..=commit {
            self.apply_entry(index, actions);
        }
        if commit >= first {
            let revision = self.tables.revision();
            actions.push(NodeAction::Applied { revision });
            self.push_changes(now, actions);
        }
    }

    fn apply_entry(&mut self, index: u64, actions: &mut Vec<NodeAction>) {
        let revision = Revision(index);
        let entry = self.replica.log().get(index);
        let proposal = match entry.map(|entry| &entry.payload) {
            Some(Payload::Change(bytes)) => codec::decode::<Proposal>(bytes).ok(),
            _ => None,
        };
        let Some(proposal) = proposal else {
            self.tables.skip_to(revision);
            return;
        };
        let answer = self.tables.apply(revision, &proposal);
        self.last_timestamp = self.last_timestamp.max(proposal.at);
        if let Some(ticket) = self.pending.remove(&index) {
            let result = Ok(answer);
            actions.push(NodeAction::Answer { ticket, result });
        }
        let table = proposal.table.as_str();
        let changed = self.tables.last_change(table).map(|c| c.revision);
        if changed == Some(revision) && self.tables.is_distributed(table) {
            self.recent_changes.push(TableChange { revision, proposal });
        }
    }

    /// Writes a snapshot and a log file without the entries that it covers, once the log file
    /// exceeds the size set by [`compact_bytes`](crate::node::NodeSettings::compact_bytes).
    pub(super) fn compact(&mut self) -> Result<(), StorageError> {
        let held = self.replica.snapshot().data.len() as u64;
        let due = self.settings.compact_bytes + 2 * held;
        let applied = self.tables.revision().0;
        let newer = applied > self.replica.snapshot().at.index;
        if self.storage.log_bytes() <= due || !newer {
            return Ok(());
        }
        let data = self.image()?;
        let snapshot = self.replica.compact(applied, data, KEPT_ENTRIES);
        let kept = self.replica.log().slice(applied + 1, u64::MAX);
        let hard = self.replica.hard_state();
        // The new log file includes the entries appended since the last sync.
        self.storage
            .save_snapshot(&Arc::clone(&snapshot), hard, &kept)
    }

    fn image(&self) -> Result<Vec<u8>, StorageError> {
        let image = self.tables.to_bytes();
        image.map_err(|e| StorageError::damaged(SNAPSHOT_FILE, 0, &e.to_string()))
    }

    /// Encodes the applied state as a snapshot for export.
    pub fn export(&self) -> Result<Vec<u8>, StorageError> {
        let mut snapshot = self.replica.snapshot().clone();
        let index = self.tables.revision().0;
        if let Some(at) = self.replica.log().position(index) {
            snapshot.at = at;
            snapshot.members = self.replica.membership_at(index).clone();
        }
        snapshot.data = self.image()?;
        restore::export_snapshot(&snapshot)
    }

    /// Encodes the empty tables of a new group, at revision 1.
    pub(super) fn empty_image() -> Option<Vec<u8>> {
        let mut tables = TableSet::open_all();
        tables.skip_to(Revision(1));
        tables.to_bytes().ok()
    }
}
