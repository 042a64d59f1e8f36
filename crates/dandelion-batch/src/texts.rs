//! Texts of results on one disk: segments of checksummed records, with an index in memory.
//!
//! Results are many times larger than what is replicated of them, so they stay out of the
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

/// Bytes before the key of a record: lengths of job, item and text, digest of the text, checksum.
const HEAD_BYTES: usize = 24;

/// Bytes of the head before the checksum.
const SUMMED_BYTES: usize = 20;

/// Size at which a segment is closed, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Longest record that is read, in bytes.
const MAX_RECORD: u64 = 64 * 1024 * 1024;

/// Prefix of the segments' names.
const PREFIX: &str = "texts-";

#[derive(Debug, Clone, Copy)]
struct Place {
    segment: u64,
    /// Where the record starts.
    at: u64,
    /// Bytes of the whole record.
    length: u64,
}

#[derive(Debug)]
struct Segment {
    file: Arc<File>,
    length: u64,
    live: usize,
}

/// Returns the digest of a text.
pub fn digest(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}

/// Texts in one folder. Nothing is durable before its segment was synced.
#[derive(Debug)]
pub struct TextStore {
    folder: PathBuf,
    index: BTreeMap<TextKey, Place>,
    segments: BTreeMap<u64, Segment>,
    current: u64,
}

/// Records that were written and must be synced before they count.
#[derive(Debug)]
pub struct Written {
    places: Vec<(TextKey, Place)>,
    files: Vec<Arc<File>>,
}

impl Written {
    /// Makes the records durable; it takes as long as the disk needs.
    pub fn sync(&self) -> io::Result<()> {
        self.files.iter().try_for_each(|file| file.sync_data())
    }
}

impl TextStore {
    /// Opens a folder and reads which texts it holds. A record that is not whole ends its segment:
    /// it was never acknowledged.
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
            store.scan(number)?;
        }
        store.current = store.segments.last_key_value().map_or(0, |(n, _)| n + 1);
        Ok(store)
    }

    /// Returns the number of texts held.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether no text is held.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns whether a text is held and durable.
    pub fn has(&self, key: &TextKey) -> bool {
        self.index.contains_key(key)
    }

    /// Writes records; they count once [`Written::sync`] and [`Self::commit`] are done.
    pub fn write(&mut self, entries: &[TextEntry]) -> io::Result<Written> {
        let mut written = Written {
            places: Vec::new(),
            files: Vec::new(),
        };
        for entry in entries {
            if self.has(&entry.key) {
                continue;
            }
            let place = self.append(&encode(entry))?;
            let file = Arc::clone(&self.segments[&place.segment].file);
            if !written.files.iter().any(|known| Arc::ptr_eq(known, &file)) {
                written.files.push(file);
            }
            written.places.push((entry.key.clone(), place));
        }
        Ok(written)
    }

    /// Takes records into the index that were synced.
    pub fn commit(&mut self, written: Written) {
        for (key, place) in written.places {
            if let Some(segment) = self.segments.get_mut(&place.segment) {
                segment.live += usize::from(self.index.insert(key, place).is_none());
            }
        }
    }

    /// Reads a text, or nothing if it is not held whole.
    pub fn read(&self, key: &TextKey) -> io::Result<Option<String>> {
        let Some(place) = self.index.get(key) else {
            return Ok(None);
        };
        let Some(segment) = self.segments.get(&place.segment) else {
            return Ok(None);
        };
        let mut record = vec![0; place.length as usize];
        segment.file.read_exact_at(&mut record, place.at)?;
        let found = decode(&record).filter(|entry| entry.key == *key);
        Ok(found.map(|entry| entry.text))
    }

    /// Iterates over the texts of a job, by item and digest.
    pub fn of_job<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a TextKey> {
        self.index.keys().filter(move |key| key.job == job)
    }

    /// Forgets the texts of a job, and removes segments that hold no other.
    pub fn forget(&mut self, job: &str) -> io::Result<()> {
        let of_job = |key: &TextKey| key.job == job;
        let gone: Vec<TextKey> = self.index.keys().filter(|k| of_job(k)).cloned().collect();
        for key in gone {
            let place = self.index.remove(&key);
            let segment = place.and_then(|p| self.segments.get_mut(&p.segment));
            if let Some(segment) = segment {
                segment.live = segment.live.saturating_sub(1);
            }
        }
        let empty = |(number, segment): (&u64, &Segment)| {
            (segment.live == 0 && *number != self.current).then_some(*number)
        };
        let empty: Vec<u64> = self.segments.iter().filter_map(empty).collect();
        for number in empty {
            self.segments.remove(&number);
            fs::remove_file(self.path(number))?;
        }
        Ok(())
    }

    fn path(&self, number: u64) -> PathBuf {
        self.folder.join(format!("{PREFIX}{number:08}"))
    }

    fn append(&mut self, record: &[u8]) -> io::Result<Place> {
        let full = |segment: &Segment| segment.length >= SEGMENT_BYTES;
        if self.segments.get(&self.current).is_some_and(full) {
            self.current += 1;
        }
        let number = self.current;
        if !self.segments.contains_key(&number) {
            let segment = self.create(number)?;
            self.segments.insert(number, segment);
        }
        let Some(segment) = self.segments.get_mut(&number) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let place = Place {
            segment: number,
            at: segment.length,
            length: record.len() as u64,
        };
        if let Err(error) = (&*segment.file).write_all(record) {
            // What follows an unfinished record could not be read again.
            self.current += 1;
            return Err(error);
        }
        segment.length += record.len() as u64;
        Ok(place)
    }

    fn create(&self, number: u64) -> io::Result<Segment> {
        let mut options = OpenOptions::new();
        let file = options.create(true).append(true).read(true);
        Ok(Segment {
            file: Arc::new(file.open(self.path(number))?),
            length: 0,
            live: 0,
        })
    }

    fn scan(&mut self, number: u64) -> io::Result<()> {
        let file = OpenOptions::new().read(true).open(self.path(number))?;
        let size = file.metadata()?.len();
        let file = Arc::new(file);
        let mut reader = BufReader::new(&*file);
        let mut at = 0;
        let mut live = 0;
        while let Some((key, length)) = next_record(&mut reader, size - at)? {
            let place = Place {
                segment: number,
                at,
                length,
            };
            at += length;
            live += usize::from(self.index.insert(key, place).is_none());
        }
        let segment = Segment {
            file: Arc::clone(&file),
            length: at,
            live,
        };
        self.segments.insert(number, segment);
        Ok(())
    }
}

/// Reads the next record's key and length; nothing at the end or if the record is not whole.
fn next_record<R>(reader: &mut R, left: u64) -> io::Result<Option<(TextKey, u64)>>
where
    R: Read,
{
    let mut head = [0; HEAD_BYTES];
    if left < HEAD_BYTES as u64 {
        return Ok(None);
    }
    reader.read_exact(&mut head)?;
    let length = HEAD_BYTES as u64 + lengths(&head).iter().sum::<u64>();
    if length > left || length > MAX_RECORD {
        return Ok(None);
    }
    let mut record = head.to_vec();
    record.resize(length as usize, 0);
    reader.read_exact(&mut record[HEAD_BYTES..])?;
    Ok(decode(&record).map(|entry| (entry.key, length)))
}

fn lengths(head: &[u8]) -> [u64; 3] {
    let number = |at: usize| {
        let bytes = head.get(at..at + 4).and_then(|b| b.try_into().ok());
        u64::from(u32::from_le_bytes(bytes.unwrap_or_default()))
    };
    [number(0), number(4), number(8)]
}

fn encode(entry: &TextEntry) -> Vec<u8> {
    let parts = [&entry.key.job, &entry.key.item, &entry.text].map(String::as_bytes);
    let mut record = Vec::with_capacity(HEAD_BYTES + parts.iter().map(|p| p.len()).sum::<usize>());
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
    let head = record.get(..HEAD_BYTES)?;
    let mut rest = &record[HEAD_BYTES..];
    let mut parts: [&[u8]; 3] = [&[]; 3];
    for (part, length) in parts.iter_mut().zip(lengths(head)) {
        (*part, rest) = rest.split_at_checked(length as usize)?;
    }
    let digest = u64::from_le_bytes(head[12..SUMMED_BYTES].try_into().ok()?);
    let sum = u32::from_le_bytes(head[SUMMED_BYTES..].try_into().ok()?);
    if !rest.is_empty() || sum != checksum(&head[..SUMMED_BYTES], parts) {
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

fn checksum(head: &[u8], parts: [&[u8]; 3]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(head);
    for part in parts {
        hasher.update(part);
    }
    hasher.finalize()
}
