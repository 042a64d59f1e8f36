//! Texts on this daemon's disk, the newest also in memory.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;
use dandelion_batch::TextStore;
use dandelion_batch::texts::Written;
use dandelion_lock::PatientLock;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::channel::oneshot;

/// Writes that may wait for the disk.
const QUEUE: usize = 1_024;

/// Writes that are made durable by one sync.
const BATCH: usize = 256;

/// Bytes of texts held in memory for readers that follow closely.
const CACHE_BYTES: usize = 6 * 1024 * 1024;

/// What the writing thread does.
enum Work {
    Write(Write),
    /// Forget the texts of a job.
    Forget(String),
}

struct Write {
    entries: Vec<TextEntry>,
    done: oneshot::Sender<bool>,
}

#[derive(Debug, Default)]
pub(super) struct Cache {
    texts: HashMap<TextKey, Arc<str>>,
    order: VecDeque<TextKey>,
    bytes: usize,
}

impl Cache {
    pub(super) fn put(&mut self, entry: &TextEntry) {
        let text: Arc<str> = entry.text.as_str().into();
        self.bytes += text.len();
        if let Some(former) = self.texts.insert(entry.key.clone(), text) {
            self.bytes -= former.len();
            return;
        }
        self.order.push_back(entry.key.clone());
        while self.bytes > CACHE_BYTES {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(text) = self.texts.remove(&oldest) {
                self.bytes -= text.len();
            }
        }
    }
}

#[derive(Debug)]
struct Disk {
    store: Arc<PatientLock<TextStore>>,
    work: Sender<Work>,
}

/// Texts as one daemon sees them; on a daemon without a store folder it stays empty.
#[derive(Debug, Default)]
pub struct Texts {
    disk: OnceLock<Disk>,
    cache: Mutex<Cache>,
    /// Positions of each job up to which no text is missing here.
    pub(super) checked: Mutex<BTreeMap<String, usize>>,
}

impl Texts {
    /// Opens the folder and starts the thread that writes to it.
    pub fn open(&self, folder: &Path) -> io::Result<()> {
        let store = Arc::new(PatientLock::new(TextStore::open(folder)?));
        let (work, queue) = async_channel::bounded(QUEUE);
        let written = Arc::clone(&store);
        thread::spawn(move || work_all(&written, &queue));
        let _first = self.disk.set(Disk { store, work });
        Ok(())
    }

    pub(super) fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().expect("no holder of this lock panics")
    }

    /// Keeps texts on this daemon's disk and returns whether they are durable.
    pub async fn keep(&self, entries: Vec<TextEntry>) -> bool {
        let Some(disk) = self.disk.get() else {
            return false;
        };
        let (done, kept) = oneshot::channel();
        if disk
            .work
            .send(Work::Write(Write { entries, done }))
            .await
            .is_err()
        {
            return false;
        }
        kept.await.unwrap_or(false)
    }

    /// Returns whether this daemon's disk holds a text; one that is stalled does not tell.
    pub(super) fn holds(&self, key: &TextKey) -> Option<bool> {
        let disk = self.disk.get()?;
        disk.store.look(|store| store.has(key))
    }

    /// Reads a text from memory or from this daemon's disk.
    pub fn read(&self, key: &TextKey) -> Option<String> {
        if let Some(text) = self.cache().texts.get(key) {
            return Some(text.to_string());
        }
        let disk = self.disk.get()?;
        let read = disk.store.look(|store| store.read(key))?;
        read.unwrap_or_else(|error| {
            event!(Event::StorageFailed, error = error);
            None
        })
    }

    /// Returns the names of a job's texts on this daemon's disk, by item and digest.
    pub fn keys_of(&self, job: &str) -> Vec<TextKey> {
        let of_job = |store: &TextStore| store.of_job(job).cloned().collect();
        let disk = self.disk.get();
        disk.and_then(|disk| disk.store.look(of_job))
            .unwrap_or_else(|| {
                log::warn!("the disk is stalled; what it holds of batch job {job} is not used");
                Vec::new()
            })
    }

    /// Has the texts of a job forgotten, without waiting for the disk. One that finds the queue full
    /// is made good once the job is gone from the table.
    pub fn forget(&self, job: &str) {
        if let Some(disk) = self.disk.get()
            && disk.work.try_send(Work::Forget(job.to_owned())).is_err()
        {
            log::warn!("the queue of writes is full; texts of batch job {job} are forgotten later");
        }
    }
}

/// Does what is queued, many writes with one sync, until the process ends.
fn work_all(store: &PatientLock<TextStore>, queue: &Receiver<Work>) {
    while let Ok(first) = queue.recv_blocking() {
        let mut next = Some(first);
        let mut batch = Vec::new();
        let mut gone = Vec::new();
        while let Some(work) = next {
            match work {
                Work::Write(write) => batch.push(write),
                Work::Forget(job) => gone.push(job),
            }
            let full = batch.len() + gone.len() >= BATCH;
            next = (!full).then(|| queue.try_recv().ok()).flatten();
        }
        let kept = write_batch(store, &batch).inspect_err(|error| {
            event!(Event::StorageFailed, error = error);
        });
        for write in batch {
            // The one who asked may have given up.
            let _gone = write.done.send(kept.is_ok());
        }
        for job in gone {
            if let Err(error) = store.hold().forget(&job) {
                event!(Event::StorageFailed, error = error);
            }
        }
    }
}

fn write_batch(store: &PatientLock<TextStore>, batch: &[Write]) -> io::Result<()> {
    let written: io::Result<Vec<Written>> = {
        let mut store = store.hold();
        let entries = batch.iter().map(|write| store.write(&write.entries));
        entries.collect()
    };
    let written = written?;
    for records in &written {
        records.sync()?;
    }
    let mut store = store.hold();
    for records in written {
        store.commit(records);
    }
    Ok(())
}
