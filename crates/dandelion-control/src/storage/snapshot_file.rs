//! The snapshot file: one checksummed frame, written under a temporary name and then renamed.

use dandelion_protocol::codec;

use crate::raft::Snapshot;
use crate::storage::error::StorageError;
use crate::storage::frame;

/// Name of the snapshot file.
pub const SNAPSHOT_FILE: &str = "snapshot";

/// Name under which a new snapshot is written before it is renamed to [`SNAPSHOT_FILE`].
pub const SNAPSHOT_TEMP: &str = "snapshot.new";

/// Format version of the snapshot file; exported snapshots have the same format.
pub const SNAPSHOT_VERSION: u16 = 1;

const SNAPSHOT_MAGIC: [u8; 6] = *b"DNDSNP";

/// Encodes a snapshot file.
pub fn write_snapshot(snapshot: &Snapshot) -> Result<Vec<u8>, StorageError> {
    let payload = codec::encode(snapshot)
        .map_err(|e| StorageError::damaged(SNAPSHOT_FILE, 0, &e.to_string()))?;
    let mut bytes = frame::write_file_header(SNAPSHOT_MAGIC, SNAPSHOT_VERSION);
    bytes.extend_from_slice(&frame::write_frame(0, &payload));
    Ok(bytes)
}

/// Decodes a snapshot file; an incomplete or damaged one is an error.
pub fn read_snapshot(bytes: &[u8]) -> Result<Snapshot, StorageError> {
    let damaged = |offset, reason: &str| StorageError::damaged(SNAPSHOT_FILE, offset, reason);
    let start = frame::read_file_header(SNAPSHOT_MAGIC, bytes);
    let (version, rest) = start.ok_or_else(|| damaged(0, "the header is not a snapshot header"))?;
    if version != SNAPSHOT_VERSION {
        return Err(StorageError::Format {
            file: SNAPSHOT_FILE.to_owned(),
            found: version,
            known: SNAPSHOT_VERSION,
        });
    }
    let found = frame::read_frame(rest);
    let found =
        found.ok_or_else(|| damaged(frame::FILE_HEADER_BYTES, "it does not match its checksum"))?;
    codec::decode(found.payload).map_err(|e| damaged(frame::FILE_HEADER_BYTES, &e.to_string()))
}
