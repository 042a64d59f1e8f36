//! Result bodies on one disk: segment files of checksummed records, with an index in memory.
//!
//! Bodies are many times larger than the replicated part of a result, so they stay out of the
//! replicated log and out of memory.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use xxhash_rust::xxh3::xxh3_64;

/// Size of a record's header: lengths of job, item and body, digest of the body, checksum.
const HEADER_BYTES: usize = 24;

/// Size of the part of the header that the checksum covers.
const CHECKED_BYTES: usize = 20;

/// Size from which no further record is appended to a segment, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Maximum size of a record that a scan accepts, in bytes.
const MAX_RECORD: u64 = 64 * 1024 * 1024;

/// Prefix of segment file names, before the number of the segment.
const PREFIX: &str = "texts-";

#[derive(Debug, Clone, Copy)]
struct Location {
    segment: u64,
    /// Offset of the record in its segment.
    offset: u64,
    /// Length of the complete record in bytes.
    length: u64,
}

#[derive(Debug)]
struct Segment {
    file: Arc<File>,
    length: u64,
    /// Number of its records in the index.
    live: usize,
}

/// Returns the digest of a body. It is part of the body's key, since runs of one item can produce
/// different bodies.
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Result bodies in one folder. A record is durable only once its segment is synced.
#[derive(Debug)]
pub struct TextStore {
    folder: PathBuf,
    index: BTreeMap<TextKey, Location>,
    segments: BTreeMap<u64, Segment>,
    /// Number of the segment to which records are appended.
    current: u64,
}

/// Records that are written but neither synced nor indexed yet.
#[derive(Debug)]
pub struct Written {
    records: Vec<(TextKey, Location)>,
    files: Vec<Arc<File>>,
}

impl Written {
    /// Returns the number of syncs that make the records durable.
    pub fn syncs(&self) -> usize {
        self.files.len()
    }

    /// Makes the records durable; blocks until the disk is done.
    pub fn sync(&self) -> io::Result<()> {
        self.files.iter().try_for_each(|file| file.sync_data())
    }
}

impl TextStore {
    /// Opens a folder and indexes its segments. An incomplete or damaged record ends its segment;
    /// an incomplete one was never acknowledged.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        let mut store = Self {
            folder: folder.to_owned(),
            index: BTreeMap::new(),
            segments: BTreeMap::new(),
            current: 0,
        };
        let mut numbers = Vec::new();
        for entry in fs::read_dir(folder)? {
            let name = entry?.file_name();
            let number = name.to_str().and_then(|n| n.strip_prefix(PREFIX));
            numbers.extend(number.and_then(|n| n.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        for number in numbers {
            store.scan_segment(number)?;
        }
        store.current = store.segments.last_key_value().map_or(0, |(n, _)| n + 1);
        Ok(store)
    }

    /// Returns the number of indexed bodies.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no body is indexed.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns whether a body is stored durably.
    pub fn has(&self, key: &TextKey) -> bool {
        self.index.contains_key(key)
    }

    /// Appends the entries that are not stored yet. They count as stored after [`Written::sync`]
    /// and [`Self::commit`]. What is written together is synced together: a sync takes as long for
    /// many entries as for one.
    pub fn write<'a, E>(&mut self, entries: E) -> io::Result<Written>
    where
        E: IntoIterator<Item = &'a TextEntry>,
    {
        let mut written = Written {
            records: Vec::new(),
            files: Vec::new(),
        };
        for entry in entries {
            if self.has(&entry.key) {
                continue;
            }
            let location = self.append(&encode(entry))?;
            let file = Arc::clone(&self.segments[&location.segment].file);
            if !written.files.iter().any(|f| Arc::ptr_eq(f, &file)) {
                written.files.push(file);
            }
            written.records.push((entry.key.clone(), location));
        }
        Ok(written)
    }

    /// Adds synced records to the index.
    pub fn commit(&mut self, written: Written) {
        for (key, location) in written.records {
            self.insert(key, location);
        }
    }

    /// Adds a record to the index in the place of an earlier one of its key, and counts both for their
    /// segments.
    fn insert(&mut self, key: TextKey, location: Location) {
        let Some(segment) = self.segments.get_mut(&location.segment) else {
            return;
        };
        segment.live += 1;
        if let Some(former) = self.index.insert(key, location) {
            self.discount(former);
        }
    }

    fn discount(&mut self, location: Location) {
        if let Some(segment) = self.segments.get_mut(&location.segment) {
            segment.live = segment.live.saturating_sub(1);
        }
    }

    /// Reads a body; returns `None` if it is not stored or its record is damaged.
    pub fn read(&self, key: &TextKey) -> io::Result<Option<String>> {
        let Some(location) = self.index.get(key) else {
            return Ok(None);
        };
        let Some(segment) = self.segments.get(&location.segment) else {
            return Ok(None);
        };
        let mut record = vec![0; location.length as usize];
        segment.file.read_exact_at(&mut record, location.offset)?;
        let found = decode(&record).filter(|entry| entry.key == *key);
        Ok(found.map(|entry| entry.text))
    }

    /// Iterates over the keys of a job's bodies, ordered by item and digest.
    pub fn of_job<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a TextKey> {
        self.index.keys().filter(move |key| key.job == job)
    }

    /// Removes the bodies of a job from the index, and deletes closed segments that have no indexed
    /// record.
    pub fn forget(&mut self, job: &str) -> io::Result<()> {
        let of_job = |key: &TextKey| key.job == job;
        let keys: Vec<TextKey> = self.index.keys().filter(|k| of_job(k)).cloned().collect();
        for key in keys {
            if let Some(location) = self.index.remove(&key) {
                self.discount(location);
            }
        }
        let empty = |(number, segment): (&u64, &Segment)| {
            (segment.live == 0 && *number != self.current).then_some(*number)
        };
        let empty: Vec<u64> = self.segments.iter().filter_map(empty).collect();
        for number in empty {
            self.segments.remove(&number);
            fs::remove_file(self.segment_path(number))?;
        }
        Ok(())
    }

    fn segment_path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{PREFIX}{number:08}"))
    }

    fn append(&mut self, record: &[u8]) -> io::Result<Location> {
        let full = |segment: &Segment| segment.length >= SEGMENT_BYTES;
        if self.segments.get(&self.current).is_some_and(full) {
            self.current += 1;
        }
        let number = self.current;
        if !self.segments.contains_key(&number) {
            let segment = self.create_segment(number)?;
            self.segments.insert(number, segment);
        }
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let location = Location {
            segment: number,
            offset: segment.length,
            length: record.len() as u64,
        };
        if let Err(error) = (&*segment.file).write_all(record) {
            // A scan stops at an incomplete record, so nothing may be appended after it.
            let is_cut = segment.file.set_len(segment.length);
            if is_cut.is_err() {
                self.current += 1;
            }
            return Err(error);
        }
        segment.length += record.len() as u64;
        Ok(location)
    }

    fn create_segment(&self, number: u64) -> io::Result<Segment> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).read(true);
        Ok(Segment {
            file: Arc::new(file.open(self.segment_path(number))?),
            length: 0,
            live: 0,
        })
    }

    fn scan_segment(&mut self, number: u64) -> io::Result<()> {
        let file = OpenOptions::new()
            .read(true)
            .open(self.segment_path(number))?;
        let size = file.metadata()?.len();
        let file = Arc::new(file);
        let mut reader = BufReader::new(&*file);
        let mut offset = 0;
        let mut records = Vec::new();
        while let Some((key, length)) = next_record(&mut reader, size - offset)? {
            let location = Location {
                segment: number,
                offset,
                length,
            };
            offset += length;
            records.push((key, location));
        }
        let segment = Segment {
            file: Arc::clone(&file),
            length: offset,
            live: 0,
        };
        self.segments.insert(number, segment);
        for (key, location) in records {
            self.insert(key, location);
        }
        Ok(())
    }
}

/// Reads the key and length of the next record; returns `None` at the end of the segment or if the
/// record is incomplete or damaged.
fn next_record<R>(reader: &mut R, remaining: u64) -> io::Result<Option<(TextKey, u64)>>
where
    R: Read,
{
    let mut header = [0; HEADER_BYTES];
    if remaining < HEADER_BYTES as u64 {
        return Ok(None);
    }
    reader.read_exact(&mut header)?;
    let length = HEADER_BYTES as u64 + lengths(&header).iter().sum::<u64>();
    if length > remaining || length > MAX_RECORD {
        return Ok(None);
    }
    let mut record = header.to_vec();
    record.resize(length as usize, 0);
    reader.read_exact(&mut record[HEADER_BYTES..])?;
    Ok(decode(&record).map(|entry| (entry.key, length)))
}

fn lengths(header: &[u8]) -> [u64; 3] {
    let number = |at: usize| {
        let bytes = header.get(at..at + 4).and_then(|b| b.try_into().ok());
        u64::from(u32::from_le_bytes(bytes.unwrap_or_default()))
    };
    [number(0), number(4), number(8)]
}

fn encode(entry: &TextEntry) -> Vec<u8> {
    let parts = [&entry.key.job, &entry.key.item, &entry.text].map(String::as_bytes);
    let mut record =
        Vec::with_capacity(HEADER_BYTES + parts.iter().map(|p| p.len()).sum::<usize>());
    for part in parts {
        record.extend_from_slice(&(part.len() as u32).to_le_bytes());
    }
    record.extend_from_slice(&entry.key.digest.to_le_bytes());
    record.extend_from_slice(&checksum(&record, parts).to_le_bytes());
    for part in parts {
        record.extend_from_slice(part);
    }
    record
}

fn decode(record: &[u8]) -> Option<TextEntry> {
    let header = record.get(..HEADER_BYTES)?;
    let mut rest = &record[HEADER_BYTES..];
    let mut parts: [&[u8]; 3] = [&[]; 3];
    for (part, length) in parts.iter_mut().zip(lengths(header)) {
        (*part, rest) = rest.split_at_checked(length as usize)?;
    }
    let digest = u64::from_le_bytes(header[12..CHECKED_BYTES].try_into().ok()?);
    let sum = u32::from_le_bytes(header[CHECKED_BYTES..].try_into().ok()?);
    if !rest.is_empty() || sum != checksum(&header[..CHECKED_BYTES], parts) {
        return None;
    }
    let text = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).ok();
    Some(TextEntry {
        key: TextKey {
            job: text(parts[0])?,
            item: text(parts[1])?,
            digest,
        },
        text: text(parts[2])?,
    })
}

fn checksum(header: &[u8], parts: [&[u8]; 3]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}
