//! Checksummed frames: magic bytes, sequence number, length, CRC-32, payload. Numbers are
//! little-endian; the checksum covers sequence number, length and payload.

use crc32fast::Hasher;

/// First bytes of every frame.
const FRAME_MAGIC: [u8; 4] = *b"\xd1FR\x0a";

/// Size of a frame before its payload, in bytes.
pub const FRAME_HEADER_BYTES: usize = 20;

/// A frame read from bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Sequence number within the file, from 0.
    pub sequence: u64,
    /// Content, verified by the checksum.
    pub payload: &'a [u8],
}

impl Frame<'_> {
    /// Returns the size of the frame in bytes, header included.
    pub fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len()
    }
}

fn checksum(sequence: u64, payload: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes one frame.
pub fn write_frame(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&FRAME_MAGIC);
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&checksum(sequence, payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Decodes the frame at the start of `bytes`; `None` if it is incomplete or its checksum differs.
pub fn read_frame(bytes: &[u8]) -> Option<Frame<'_>> {
    let rest = bytes.strip_prefix(&FRAME_MAGIC)?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let sequence = u64::from_le_bytes(*sequence);
    let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
    let fits = checksum(sequence, payload) == u32::from_le_bytes(*sum);
    fits.then_some(Frame { sequence, payload })
}

/// Returns whether a valid frame with a sequence number above `sequence` starts anywhere in
/// `bytes`. If so, an unreadable frame before it is damage and not a torn write.
pub fn has_later_frame(bytes: &[u8], sequence: u64) -> bool {
    let starts = (0..bytes.len()).filter(|at| bytes[*at..].starts_with(&FRAME_MAGIC));
    starts
        .filter_map(|at| read_frame(&bytes[at..]))
        .any(|frame| frame.sequence > sequence)
}

/// Encodes the header of a file: magic bytes that tell its kind, and the format version.
pub fn write_file_header(magic: [u8; 6], version: u16) -> Vec<u8> {
    let mut bytes = magic.to_vec();
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes
}

/// Decodes the header of a file and returns the format version and the bytes after the header.
pub fn read_file_header(magic: [u8; 6], bytes: &[u8]) -> Option<(u16, &[u8])> {
    let rest = bytes.strip_prefix(&magic)?;
    let (version, rest) = rest.split_first_chunk::<2>()?;
    Some((u16::from_le_bytes(*version), rest))
}

/// Size of a file's header, in bytes.
pub const FILE_HEADER_BYTES: usize = 8;
