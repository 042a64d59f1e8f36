//! Checksummed frames: marker, sequence number, length, CRC-32, payload.

use crc32fast::Hasher;

/// Marks the start of a frame.
const MARKER: [u8; 4] = *b"\xd1FR\x0a";

/// Bytes before the payload.
pub const HEAD_BYTES: usize = 20;

/// A frame read from bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Sequence number within the file.
    pub sequence: u64,
    /// Payload.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the size of the whole frame in bytes.
    pub fn size(&self) -> usize {
        HEAD_BYTES + self.payload.len()
    }
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Writes one frame.
pub fn write_frame(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES + payload.len());
    bytes.extend_from_slice(&MARKER);
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(sequence, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Reads the frame at the start of `bytes`, if it is whole and its checksum fits.
pub fn read_frame(bytes: &[u8]) -> Option<Frame<'_>> {
    let rest = bytes.strip_prefix(&MARKER)?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let sequence = u64::from_le_bytes(*sequence);
    let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
    let fits = checksum(sequence, payload) == u32::from_le_bytes(*sum);
    fits.then_some(Frame { sequence, payload })
}

/// Returns whether a whole frame later than `sequence` starts anywhere in `bytes`.
pub fn has_later_frame(bytes: &[u8], sequence: u64) -> bool {
    let starts = (0..bytes.len()).filter(|at| bytes[*at..].starts_with(&MARKER));
    starts
        .filter_map(|at| read_frame(&bytes[at..]))
        .any(|frame| frame.sequence > sequence)
}

/// Makes the start of a file: its kind and format version.
pub fn write_start(kind: [u8; 6], version: u16) -> Vec<u8> {
    let mut bytes = kind.to_vec();
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes
}

/// Reads the start of a file and returns its format version and the rest.
pub fn read_start(kind: [u8; 6], bytes: &[u8]) -> Option<(u16, &[u8])> {
    let rest = bytes.strip_prefix(&kind)?;
    let (version, rest) = rest.split_first_chunk::<2>()?;
    Some((u16::from_le_bytes(*version), rest))
}

/// Bytes of the start of a file.
pub const START_BYTES: usize = 8;
