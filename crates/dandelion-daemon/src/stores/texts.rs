//! Texts of results: kept on the disks of several store daemons, read from any of them.

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
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::task;
use dandelion_batch::BatchTable;
use dandelion_batch::TextStore;
use dandelion_batch::texts::Written;
use dandelion_protocol::batch::Listed;
use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use dandelion_protocol::batch::TextReply;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_route::ownership;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::StreamExt;
use futures::channel::oneshot;
use futures::stream::FuturesUnordered;

use crate::control::View;
use crate::core::Handle;
use crate::stores::partials;

/// Writes that may wait for the disk.
const QUEUE: usize = 1_024;

/// Writes that are made durable by one sync.
const BATCH: usize = 256;

/// Bytes of texts held in memory for readers that follow closely.
const CACHE_BYTES: usize = 6 * 1024 * 1024;

/// Longest wait for another daemon to keep or give texts.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// Time between two looks for texts that are missing here.
const REPAIR_PERIOD: Duration = Duration::from_millis(500);

/// Bytes of texts that are asked for at once.
const REPAIR_BYTES: u64 = 512 * 1024;

struct Write {
    entries: Vec<TextEntry>,
    done: oneshot::Sender<bool>,
}

#[derive(Debug, Default)]
struct Cache {
    texts: HashMap<TextKey, Arc<str>>,
    order: VecDeque<TextKey>,
    bytes: usize,
}

impl Cache {
    fn put(&mut self, entry: &TextEntry) {
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
    store: Arc<Mutex<TextStore>>,
    writes: Sender<Write>,
}

/// Texts as one daemon sees them; on a daemon without a store folder it stays empty.
#[derive(Debug, Default)]
pub struct Texts {
    disk: OnceLock<Disk>,
    cache: Mutex<Cache>,
    /// Positions of each job up to which no text is missing here.
    checked: Mutex<BTreeMap<String, usize>>,
}

fn lock(store: &Mutex<TextStore>) -> MutexGuard<'_, TextStore> {
    store.lock().expect("no holder of this lock panics")
}

impl Texts {
    /// Opens the folder and starts the thread that writes to it.
    pub fn open(&self, folder: &Path) -> io::Result<()> {
        let store = Arc::new(Mutex::new(TextStore::open(folder)?));
        let (writes, queue) = async_channel::bounded(QUEUE);
        let written = Arc::clone(&store);
        thread::spawn(move || write_all(&written, &queue));
        let _first = self.disk.set(Disk { store, writes });
        Ok(())
    }

    fn cache(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().expect("no holder of this lock panics")
    }

    /// Keeps texts on this daemon's disk and returns whether they are durable.
    pub async fn keep(&self, entries: Vec<TextEntry>) -> bool {
        let Some(disk) = self.disk.get() else {
            return false;
        };
        let (done, kept) = oneshot::channel();
        if disk.writes.send(Write { entries, done }).await.is_err() {
            return false;
        }
        kept.await.unwrap_or(false)
    }

    fn has(&self, key: &TextKey) -> bool {
        let disk = self.disk.get();
        disk.is_some_and(|disk| lock(&disk.store).has(key))
    }

    /// Reads a text from memory or from this daemon's disk.
    pub fn read(&self, key: &TextKey) -> Option<String> {
        if let Some(text) = self.cache().texts.get(key) {
            return Some(text.to_string());
        }
        let disk = self.disk.get()?;
        let read = lock(&disk.store).read(key);
        read.unwrap_or_else(|error| {
            event!(Event::StorageFailed, error = error);
            None
        })
    }

    /// Returns the names of a job's texts on this daemon's disk, by item and digest.
    pub fn keys_of(&self, job: &str) -> Vec<TextKey> {
        let disk = self.disk.get();
        disk.map_or_else(Vec::new, |disk| {
            lock(&disk.store).of_job(job).cloned().collect()
        })
    }

    /// Forgets the texts of a job.
    pub fn forget(&self, job: &str) {
        if let Some(disk) = self.disk.get()
            && let Err(error) = lock(&disk.store).forget(job)
        {
            event!(Event::StorageFailed, error = error);
        }
    }
}

/// Writes what is queued, many writes with one sync, until the process ends.
fn write_all(store: &Mutex<TextStore>, queue: &Receiver<Write>) {
    while let Ok(first) = queue.recv_blocking() {
        let mut batch = vec![first];
        while batch.len() < BATCH {
            match queue.try_recv() {
                Ok(write) => batch.push(write),
                Err(_) => break,
            }
        }
        let kept = write_batch(store, &batch).inspect_err(|error| {
            event!(Event::StorageFailed, error = error);
        });
        for write in batch {
            // The one who asked may have given up.
            let _gone = write.done.send(kept.is_ok());
        }
    }
}

fn write_batch(store: &Mutex<TextStore>, batch: &[Write]) -> io::Result<()> {
    let written: io::Result<Vec<Written>> = {
        let mut store = lock(store);
        let entries = batch.iter().map(|write| store.write(&write.entries));
        entries.collect()
    };
    let written = written?;
    for records in &written {
        records.sync()?;
    }
    let mut store = lock(store);
    for records in written {
        store.commit(records);
    }
    Ok(())
}

/// Returns the name of a result's text, if it has one.
pub fn key_of(job: &str, result: &Listed) -> Option<TextKey> {
    Some(TextKey {
        job: job.to_owned(),
        item: result.id.clone(),
        digest: result.text?.digest,
    })
}

/// Answers a call of another store daemon.
pub async fn answer_texts(core: &Handle, call: TextCall) -> TextReply {
    let texts = &core.stores.texts;
    match call {
        TextCall::Complete => TextReply::Kept(missing(core).is_empty()),
        TextCall::KeepPartial { job, partial } => {
            TextReply::Kept(partials::keep_here(core, job, partial).await)
        }
        TextCall::ReadPartials(job) => TextReply::Partials(partials::held_here(core, &job)),
        TextCall::Keep(entries) => TextReply::Kept(texts.keep(entries).await),
        TextCall::Read(keys) => {
            let found = keys.into_iter().filter_map(|key| {
                let text = texts.read(&key)?;
                Some(TextEntry { key, text })
            });
            TextReply::Read(found.collect())
        }
    }
}

/// Returns the daemons that hold the texts of a job: as many as are needed and one more, in
/// different zones as far as possible.
pub fn holders(view: &View, job: &str, copies: usize) -> Vec<DaemonId> {
    let mut rest: Vec<&Member> = view.stores().collect();
    let ids: Vec<&DaemonId> = rest.iter().map(|m| &m.id).collect();
    let count = ids.len();
    let ranked = ownership::top(job.as_bytes(), ids, count);
    let rank = |member: &Member| ranked.iter().position(|id| **id == member.id);
    rest.sort_by_key(|member| rank(member));
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() <= copies && !rest.is_empty() {
        let used = |zone: &ZoneId| chosen.iter().filter(|c| c.zone == *zone).count();
        let at = (0..rest.len()).min_by_key(|at| (used(&rest[*at].zone), *at));
        let Some(at) = at else { break };
        chosen.push(rest.remove(at));
    }
    chosen.into_iter().map(|m| m.id.clone()).collect()
}

/// Keeps a text on as many disks as must outlive a loss; returns whether they all have it. The
/// remaining holders are still written to.
pub async fn spread(core: &Handle, entry: TextEntry) -> bool {
    let copies = core.settings.gateway.tolerate + 1;
    let view = core.control.view();
    let holders = holders(&view, &entry.key.job, copies);
    core.stores.texts.cache().put(&entry);
    let (enough, done) = oneshot::channel();
    let core = core.clone();
    task::spawn(async move {
        let mut writes: FuturesUnordered<_> = holders
            .into_iter()
            .map(|holder| keep_at(core.clone(), holder, entry.clone()))
            .collect();
        let mut kept = 0;
        let mut enough = Some(enough);
        while let Some(written) = writes.next().await {
            kept += usize::from(written);
            if kept >= copies
                && let Some(enough) = enough.take()
            {
                // The one who asked may be gone.
                let _gone = enough.send(());
            }
        }
    });
    done.await.is_ok()
}

async fn keep_at(core: Handle, holder: DaemonId, entry: TextEntry) -> bool {
    let entries = vec![entry];
    if holder == core.identity.daemon {
        return core.stores.texts.keep(entries).await;
    }
    let Some(mesh) = core.mesh() else {
        return false;
    };
    let call = CallBody::Texts(TextCall::Keep(entries));
    let answer = mesh.call(&holder, call, CALL_LIMIT).await;
    matches!(answer, Ok(ReplyBody::Texts(TextReply::Kept(true))))
}

/// Returns all texts, from here or from other store daemons; nothing if one cannot be had now.
pub async fn collect(core: &Handle, keys: &[TextKey]) -> Option<Vec<String>> {
    let texts = &core.stores.texts;
    let mut found: HashMap<&TextKey, String> = HashMap::new();
    found.extend(keys.iter().filter_map(|key| Some((key, texts.read(key)?))));
    let missing: Vec<TextKey> = keys
        .iter()
        .filter(|k| !found.contains_key(k))
        .cloned()
        .collect();
    if !missing.is_empty() {
        let fetched = fetch(core, missing).await;
        for entry in fetched {
            texts.cache().put(&entry);
            if let Some(key) = keys.iter().find(|key| **key == entry.key) {
                found.insert(key, entry.text);
            }
        }
    }
    keys.iter().map(|key| found.remove(key)).collect()
}

/// Asks other store daemons for texts, one after the other, until all are found.
async fn fetch(core: &Handle, mut missing: Vec<TextKey>) -> Vec<TextEntry> {
    let view = core.control.view();
    let stores = view.members.iter().filter(|m| m.role == Role::Store);
    let others = stores.filter(|m| m.id != core.identity.daemon);
    let mut found = Vec::new();
    for store in others {
        let Some(mesh) = core.mesh() else {
            break;
        };
        let call = CallBody::Texts(TextCall::Read(missing.clone()));
        if let Ok(ReplyBody::Texts(TextReply::Read(entries))) =
            mesh.call(&store.id, call, CALL_LIMIT).await
        {
            missing.retain(|key| !entries.iter().any(|entry| entry.key == *key));
            found.extend(entries);
        }
        if missing.is_empty() {
            break;
        }
    }
    found
}

/// Returns whether every other store daemon that stays holds all texts that it should.
pub async fn are_spread(core: &Handle) -> bool {
    let view = core.control.view();
    for store in view.stores().filter(|m| m.id != core.identity.daemon) {
        let Some(mesh) = core.mesh() else {
            return false;
        };
        let call = CallBody::Texts(TextCall::Complete);
        let answer = mesh.call(&store.id, call, CALL_LIMIT).await;
        if !matches!(answer, Ok(ReplyBody::Texts(TextReply::Kept(true)))) {
            return false;
        }
    }
    missing(core).is_empty()
}

/// Fetches texts that should be here and are not, and forgets those of jobs that are gone, until
/// the process ends.
pub async fn run_repair(core: Handle) {
    loop {
        task::sleep(REPAIR_PERIOD).await;
        forget_gone(&core);
        loop {
            let missing = missing(&core);
            if missing.is_empty() {
                break;
            }
            let wanted = missing.len();
            let entries = fetch(&core, missing).await;
            let complete = entries.len() == wanted;
            if entries.is_empty() || !core.stores.texts.keep(entries).await || !complete {
                break;
            }
        }
    }
}

/// Returns listed texts that this daemon should hold and lacks, as many as are asked for at once.
fn missing(core: &Handle) -> Vec<TextKey> {
    let copies = core.settings.gateway.tolerate + 1;
    let view = core.control.view();
    let texts = &core.stores.texts;
    let own = &core.identity.daemon;
    let mut checked = texts.checked.lock().expect("no holder panics");
    let mut missing = Vec::new();
    let mut bytes = 0;
    let replica = core.stores.replica();
    replica.and_then(|r| {
        r.read::<BatchTable, _, _>(|table| {
            for (job, stored) in table.jobs() {
                let from = checked.get(job).copied().unwrap_or(0);
                if from >= stored.results.len() || !holders(&view, job, copies).contains(own) {
                    continue;
                }
                let mut whole = true;
                for (at, result) in stored.results.iter().enumerate().skip(from) {
                    let key = key_of(job, result);
                    let lacks = key.filter(|key| !texts.has(key));
                    whole &= lacks.is_none();
                    if whole {
                        checked.insert(job.clone(), at + 1);
                    }
                    missing.extend(lacks);
                    bytes += result.text.map_or(0, |text| text.length);
                    if !whole && bytes >= REPAIR_BYTES {
                        return;
                    }
                }
            }
        })
    });
    missing
}

fn forget_gone(core: &Handle) {
    let texts = &core.stores.texts;
    let mut checked = texts.checked.lock().expect("no holder panics");
    let known: Vec<String> = checked.keys().cloned().collect();
    let replica = core.stores.replica();
    let gone = replica.and_then(|r| {
        r.read::<BatchTable, _, _>(|table| {
            let gone = known
                .into_iter()
                .filter(|job| !table.jobs().contains_key(job));
            gone.collect::<Vec<_>>()
        })
    });
    for job in gone.unwrap_or_default() {
        checked.remove(&job);
        texts.forget(&job);
        core.stores.partials.forget(&job);
    }
}
