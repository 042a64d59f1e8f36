//! Texts (result bodies and unfinished outputs) on this daemon's disk, the newest also cached in
//! memory.

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
use dandelion_lock::TimedReadMutex;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::channel::oneshot;

use crate::stores::texts::shortage::Missing;

/// Tasks that can be queued for the disk.
const TASK_CAPACITY: usize = 1_024;

/// Most tasks that are done with one sync.
const MAX_BATCH: usize = 256;

/// Bytes of texts cached in memory for readers that poll for new results.
const CACHE_BYTES: usize = 6 * 1024 * 1024;

/// A task of the thread that writes to the disk.
enum DiskTask {
    Write(Write),
    /// Delete the texts of a job.
    Delete(String),
}

/// Entries to write as one unit; `done` receives whether they are durable.
struct Write {
    entries: Vec<TextEntry>,
    done: oneshot::Sender<bool>,
}

/// The newest texts, evicted in the order of their insertion.
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
    store: Arc<TimedReadMutex<TextStore>>,
    tasks: Sender<DiskTask>,
}

/// Texts in one folder of this daemon, with a cache. Without a store folder it stays empty.
#[derive(Debug, Default)]
pub struct Texts {
    disk: OnceLock<Disk>,
    cache: Mutex<Cache>,
    /// For each job, the position in its results before which no body is missing on this disk.
    pub(super) verified: Mutex<BTreeMap<String, usize>>,
    missing: Mutex<Missing>,
}

impl Texts {
    /// Opens the folder and starts the thread that writes to it, unless it is open already.
    pub fn open(&self, folder: &Path) -> io::Result<()> {
        if self.disk.get().is_some() {
            return Ok(());
        }
        let store = Arc::new(TimedReadMutex::new(TextStore::open(folder)?));
        let (tasks, queue) = async_channel::bounded(TASK_CAPACITY);
        let written = Arc::clone(&store);
        thread::spawn(move || run_writer(&written, &queue));
        let _first = self.disk.set(Disk { store, tasks });
        Ok(())
    }

    /// Returns the texts that this daemon should have and has not, as of the latest search.
    pub fn missing(&self) -> Missing {
        *self.missing.lock().expect("no holder of this lock panics")
    }

    pub(super) fn set_missing(&self, missing: Missing) {
        *self.missing.lock().expect("no holder of this lock panics") = missing;
    }

    pub(super) fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().expect("no holder of this lock panics")
    }

    /// Writes texts to this daemon's disk and returns whether they are durable.
    pub async fn write(&self, entries: Vec<TextEntry>) -> bool {
        let Some(disk) = self.disk.get() else {
            return false;
        };
        let (done, durable) = oneshot::channel();
        if disk
            .tasks
            .send(DiskTask::Write(Write { entries, done }))
            .await
            .is_err()
        {
            return false;
        }
        durable.await.unwrap_or(false)
    }

    /// Returns whether this daemon's disk has a text, or nothing if the disk is stalled.
    pub(super) fn holds(&self, key: &TextKey) -> Option<bool> {
        let disk = self.disk.get()?;
        disk.store.try_read(|store| store.has(key))
    }

    /// Reads a text from the cache or from this daemon's disk.
    pub fn read(&self, key: &TextKey) -> Option<String> {
        if let Some(text) = self.cache().texts.get(key) {
            return Some(text.to_string());
        }
        let disk = self.disk.get()?;
        let read = disk.store.try_read(|store| store.read(key))?;
        read.unwrap_or_else(|error| {
            event!(Event::StorageFailed, error = error);
            None
        })
    }

    /// Returns the keys of a job's texts on this daemon's disk, sorted by item and digest.
    pub fn job_keys(&self, job: &str) -> Vec<TextKey> {
        let of_job = |store: &TextStore| store.of_job(job).cloned().collect();
        let disk = self.disk.get();
        disk.and_then(|disk| disk.store.try_read(of_job))
            .unwrap_or_else(|| {
                log::warn!("the disk is stalled; what it holds of batch job {job} is not used");
                Vec::new()
            })
    }

    /// Queues the deletion of a job's texts. A deletion that finds the queue full is dropped; the
    /// repair task queues another one when the job is removed from the table.
    pub fn delete_job(&self, job: &str) {
        if let Some(disk) = self.disk.get()
            && disk
                .tasks
                .try_send(DiskTask::Delete(job.to_owned()))
                .is_err()
        {
            log::warn!(
                "the queue of the disk is full; the texts of batch job {job} are deleted later"
            );
        }
    }
}

/// Executes queued tasks until the process ends, with one sync for many writes.
fn run_writer(store: &TimedReadMutex<TextStore>, queue: &Receiver<DiskTask>) {
    while let Ok(first) = queue.recv_blocking() {
        let mut next = Some(first);
        let mut batch = Vec::new();
        let mut deleted = Vec::new();
        while let Some(task) = next {
            match task {
                DiskTask::Write(write) => batch.push(write),
                DiskTask::Delete(job) => deleted.push(job),
            }
            let full = batch.len() + deleted.len() >= MAX_BATCH;
            next = (!full).then(|| queue.try_recv().ok()).flatten();
        }
        let durable = write_batch(store, &batch).inspect_err(|error| {
            event!(Event::StorageFailed, error = error);
        });
        for write in batch {
            // The requester may have given up.
            let _gone = write.done.send(durable.is_ok());
        }
        for job in deleted {
            if let Err(error) = store.lock().forget(&job) {
                event!(Event::StorageFailed, error = error);
            }
        }
    }
}

fn write_batch(store: &TimedReadMutex<TextStore>, batch: &[Write]) -> io::Result<()> {
    let entries = batch.iter().flat_map(|write| &write.entries);
    let written = store.lock().write(entries)?;
    written.sync()?;
    store.lock().commit(written);
    Ok(())
}
