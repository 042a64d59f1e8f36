//! The log file: a head frame with identity and kept entries, then one frame for each batch.

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

/// Name under which a new log file is written.
pub const LOG_TEMP: &str = "log.new";

/// Format version of the log file.
pub const LOG_VERSION: u16 = 1;

const LOG_KIND: [u8; 6] = *b"DNDLOG";

/// Content of the first frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Identity of the folder.
    pub replica: ReplicaId,
    /// Hard state at the writing of the file.
    pub hard: HardState,
    /// Position before the first entry.
    pub base: Position,
    /// Entries kept from the file before.
    pub entries: Vec<Entry>,
}

/// Content of a later frame, borrowed for writing.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct BatchRef<'a> {
    /// Changed hard state.
    #[serde(rename = "h", skip_serializing_if = "Option::is_none")]
    pub hard: Option<HardState>,
    /// Entries; each replaces what was there from its index on.
    #[serde(rename = "e", skip_serializing_if = "<[Entry]>::is_empty")]
    pub entries: &'a [Entry],
}

/// Content of a later frame.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
pub struct Batch {
    /// Changed hard state.
    #[serde(rename = "h", default)]
    pub hard: Option<HardState>,
    /// Entries; each replaces what was there from its index on.
    #[serde(rename = "e", default)]
    pub entries: Vec<Entry>,
}

/// What a log file holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogContent {
    /// Identity, latest hard state, base and entries.
    pub head: Head,
    /// Sequence number of the next frame.
    pub next: u64,
    /// Bytes up to the end of the last whole frame.
    pub length: u64,
    /// Whether a torn frame follows.
    pub torn: bool,
}

/// Encodes a whole new log file.
pub fn write_log(head: &Head) -> Result<Vec<u8>, StorageError> {
    let mut bytes = frame::write_start(LOG_KIND, LOG_VERSION);
    let payload = codec::encode(head).map_err(|e| unreadable(0, &e))?;
    bytes.extend_from_slice(&frame::write_frame(0, &payload));
    Ok(bytes)
}

/// Encodes one batch.
pub fn write_batch(sequence: u64, batch: BatchRef<'_>) -> Result<Vec<u8>, StorageError> {
    let payload = codec::encode(&batch).map_err(|e| unreadable(0, &e))?;
    Ok(frame::write_frame(sequence, &payload))
}

/// Reads a log file. A torn last frame is left out; any other damage is an error.
pub fn read_log(bytes: &[u8]) -> Result<LogContent, StorageError> {
    let start = frame::read_start(LOG_KIND, bytes);
    let (version, rest) =
        start.ok_or_else(|| StorageError::damaged(LOG_FILE, 0, "the file start is not a log's"))?;
    if version != LOG_VERSION {
        return Err(StorageError::Format {
            file: LOG_FILE.to_owned(),
            found: version,
            known: LOG_VERSION,
        });
    }
    let first = frame::read_frame(rest).filter(|frame| frame.sequence == 0);
    let first = first.ok_or_else(|| {
        StorageError::damaged(LOG_FILE, frame::START_BYTES, "the head frame is not whole")
    })?;
    let head = codec::decode(first.payload).map_err(|e| unreadable(frame::START_BYTES, &e))?;
    let content = LogContent {
        head,
        next: 1,
        length: (frame::START_BYTES + first.size()) as u64,
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
            if frame::has_later_frame(rest, content.next) {
                return Err(StorageError::damaged(
                    LOG_FILE,
                    at,
                    "a frame before the last one does not match its checksum",
                ));
            }
            content.torn = true;
            return Ok(content);
        };
        if found.sequence != content.next {
            return Err(StorageError::damaged(LOG_FILE, at, "a frame is missing"));
        }
        let batch = codec::decode(found.payload).map_err(|e| unreadable(at, &e))?;
        apply_batch(&mut content.head, batch, at)?;
        content.next += 1;
        content.length += found.size() as u64;
    }
}

fn apply_batch(head: &mut Head, batch: Batch, offset: usize) -> Result<(), StorageError> {
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
