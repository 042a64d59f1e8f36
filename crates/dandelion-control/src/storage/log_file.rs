//! The log file: a head frame with identity and entries carried over from the previous file, then
//! one frame for each batch written.

use dandelion_protocol::codec;
use serde::Deserialize;
use serde::Serialize;

use crate::raft::Entry;
use crate::raft::HardState;
use crate::raft::Position;
use crate::raft::ReplicaId;
use crate::storage::error::StorageError;
use crate::storage::frame;

/// Name of the log file.
pub const LOG_FILE: &str = "log";

/// Name under which a new log file is written before it is renamed to [`LOG_FILE`].
pub const LOG_TEMP: &str = "log.new";

/// Format version of the log file.
pub const LOG_VERSION: u16 = 1;

const LOG_MAGIC: [u8; 6] = *b"DNDLOG";

/// Content of the first frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogHead {
    /// Identity of the data folder.
    pub replica: ReplicaId,
    /// Hard state when the file was written.
    pub hard: HardState,
    /// Position before the first entry; the snapshot's, once there is one.
    pub base: Position,
    /// Entries after `base`, carried over from the previous file.
    pub entries: Vec<Entry>,
}

/// Content of a batch frame, borrowed for encoding.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct BatchRef<'a> {
    /// Hard state, if it changed.
    #[serde(rename = "h", skip_serializing_if = "Option::is_none")]
    pub hard: Option<HardState>,
    /// Appended entries; each replaces everything stored from its index on.
    #[serde(rename = "e", skip_serializing_if = "<[Entry]>::is_empty")]
    pub entries: &'a [Entry],
}

/// Content of a batch frame.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Batch {
    /// Hard state, if it changed.
    #[serde(rename = "h", default)]
    pub hard: Option<HardState>,
    /// Appended entries; each replaces everything stored from its index on.
    #[serde(rename = "e", default)]
    pub entries: Vec<Entry>,
}

/// Decoded content of a log file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogContent {
    /// The head frame with all batches applied to it.
    pub head: LogHead,
    /// Sequence number of the next frame.
    pub next_sequence: u64,
    /// Size up to the end of the last complete frame, in bytes.
    pub length: u64,
    /// Whether an incomplete frame follows, left by a crash during a write.
    pub torn: bool,
}

/// Encodes a new log file with its head frame only.
pub fn write_log(head: &LogHead) -> Result<Vec<u8>, StorageError> {
    let mut bytes = frame::write_file_header(LOG_MAGIC, LOG_VERSION);
    let payload = codec::encode(head).map_err(|e| unreadable(0, &e))?;
    bytes.extend_from_slice(&frame::write_frame(0, &payload));
    Ok(bytes)
}

/// Encodes one batch frame.
pub fn write_batch(sequence: u64, batch: BatchRef<'_>) -> Result<Vec<u8>, StorageError> {
    let payload = codec::encode(&batch).map_err(|e| unreadable(0, &e))?;
    Ok(frame::write_frame(sequence, &payload))
}

/// Decodes a log file. A torn last frame is skipped; any other damage is an error.
pub fn read_log(bytes: &[u8]) -> Result<LogContent, StorageError> {
    let start = frame::read_file_header(LOG_MAGIC, bytes);
    let (version, rest) = start
        .ok_or_else(|| StorageError::damaged(LOG_FILE, 0, "the header is not a log header"))?;
    if version != LOG_VERSION {
        return Err(StorageError::Format {
            file: LOG_FILE.to_owned(),
            found: version,
            known: LOG_VERSION,
        });
    }
    let first = frame::read_frame(rest).filter(|frame| frame.sequence == 0);
    let first = first.ok_or_else(|| {
        StorageError::damaged(
            LOG_FILE,
            frame::FILE_HEADER_BYTES,
            "the head frame is incomplete or damaged",
        )
    })?;
    let head =
        codec::decode(first.payload).map_err(|e| unreadable(frame::FILE_HEADER_BYTES, &e))?;
    let content = LogContent {
        head,
        next_sequence: 1,
        length: (frame::FILE_HEADER_BYTES + first.size()) as u64,
        torn: false,
    };
    read_batches(bytes, content)
}

fn read_batches(bytes: &[u8], mut content: LogContent) -> Result<LogContent, StorageError> {
    loop {
        let at = content.length as usize;
        let rest = &bytes[at..];
        if rest.is_empty() {
            return Ok(content);
        }
        let Some(found) = frame::read_frame(rest) else {
            if frame::has_later_frame(rest, content.next_sequence) {
                return Err(StorageError::damaged(
                    LOG_FILE,
                    at,
                    "a frame before the last one does not match its checksum",
                ));
            }
            content.torn = true;
            return Ok(content);
        };
        if found.sequence != content.next_sequence {
            return Err(StorageError::damaged(LOG_FILE, at, "a frame is missing"));
        }
        let batch = codec::decode(found.payload).map_err(|e| unreadable(at, &e))?;
        apply_batch(&mut content.head, batch, at)?;
        content.next_sequence += 1;
        content.length += found.size() as u64;
    }
}

fn apply_batch(head: &mut LogHead, batch: Batch, offset: usize) -> Result<(), StorageError> {
    if let Some(hard) = batch.hard {
        head.hard = hard;
    }
    for entry in batch.entries {
        let kept = entry.at.index.checked_sub(head.base.index + 1);
        let fits = kept.is_some_and(|kept| kept <= head.entries.len() as u64);
        let Some(kept) = kept.filter(|_| fits) else {
            return Err(StorageError::damaged(
                LOG_FILE,
                offset,
                "an entry is missing",
            ));
        };
        head.entries.truncate(kept as usize);
        head.entries.push(entry);
    }
    Ok(())
}

fn unreadable(offset: usize, error: &codec::CodecError) -> StorageError {
    StorageError::damaged(LOG_FILE, offset, &error.to_string())
}
