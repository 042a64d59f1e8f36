//! Result bodies on disk: durability over restarts, damaged records, removal of jobs.

use std::fs;
use std::path::Path;

use dandelion_batch::TextStore;
use dandelion_batch::texts::digest;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextKey;
use quickcheck::quickcheck;

fn entry(job: &str, item: &str, text: &str) -> TextEntry {
    TextEntry {
        key: TextKey {
            job: job.to_owned(),
            item: item.to_owned(),
            digest: digest(text),
        },
        text: text.to_owned(),
    }
}

fn store_durably(store: &mut TextStore, entries: &[TextEntry]) {
    let written = store.write(entries).unwrap();
    written.sync().unwrap();
    store.commit(written);
}

/// Writes of several requests wait for a disk that takes 5 ms a sync: one sync must serve them all.
#[test]
fn batch_syncs_once() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let item = |n: usize| entry("j1", &n.to_string(), &"x".repeat(10_000));
    let requests: Vec<[TextEntry; 1]> = (0..192).map(|n| [item(n)]).collect();
    let written = store.write(requests.iter().flatten()).unwrap();
    assert_eq!(written.syncs(), 1);
    written.sync().unwrap();
    store.commit(written);
    assert_eq!(store.len(), 192);
}

fn files(folder: &Path) -> Vec<std::path::PathBuf> {
    let mut files: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    files.sort();
    files
}

#[test]
fn survives_restart() {
    let folder = tempfile::tempdir().unwrap();
    let entries = [entry("j1", "a", "one\ntwo"), entry("j1", "b", "")];
    {
        let mut store = TextStore::open(folder.path()).unwrap();
        store_durably(&mut store, &entries);
        store_durably(&mut store, &[entry("j2", "a", "three")]);
    }
    let mut store = TextStore::open(folder.path()).unwrap();
    assert_eq!(store.len(), 3);
    for entry in &entries {
        assert_eq!(
            store.read(&entry.key).unwrap().as_deref(),
            Some(entry.text.as_str())
        );
    }
    store_durably(&mut store, &[entry("j3", "c", "four")]);
    let store = TextStore::open(folder.path()).unwrap();
    assert_eq!(store.len(), 4);
}

/// Two runs of an item produced different bodies: the key selects the listed one.
#[test]
fn runs_of_one_item() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let (first, second) = (entry("j", "a", "first run"), entry("j", "a", "second run"));
    store_durably(&mut store, std::slice::from_ref(&first));
    store_durably(&mut store, std::slice::from_ref(&second));
    assert_eq!(store.read(&first.key).unwrap().unwrap(), "first run");
    assert_eq!(store.read(&second.key).unwrap().unwrap(), "second run");
}

#[test]
fn unsynced_not_stored() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let stored = entry("j", "a", "text");
    let written = store.write(std::slice::from_ref(&stored)).unwrap();
    assert!(!store.has(&stored.key));
    written.sync().unwrap();
    store.commit(written);
    assert!(store.has(&stored.key));
}

/// A write that a crash cut short at any length: earlier records survive, and later ones are found
/// after the next restart.
#[test]
fn torn_tail() {
    fn prop(cut: usize) -> bool {
        let folder = tempfile::tempdir().unwrap();
        let complete = entry("j", "a", "a whole text");
        let mut store = TextStore::open(folder.path()).unwrap();
        store_durably(&mut store, std::slice::from_ref(&complete));
        let path = files(folder.path()).pop().unwrap();
        let first = fs::metadata(&path).unwrap().len();
        store_durably(&mut store, &[entry("j", "b", "a text that is torn")]);
        let all = fs::metadata(&path).unwrap().len();
        drop(store);
        let length = first + cut as u64 % (all - first);
        fs::OpenOptions::new()
            .write(true)
            .open(&path)
            .unwrap()
            .set_len(length)
            .unwrap();
        let mut store = TextStore::open(folder.path()).unwrap();
        let survived = store.len() == 1 && store.has(&complete.key);
        store_durably(&mut store, &[entry("j", "c", "later")]);
        let store = TextStore::open(folder.path()).unwrap();
        survived && store.len() == 2
    }
    quickcheck(prop as fn(usize) -> bool);
}

#[test]
fn corrupt_record() {
    let folder = tempfile::tempdir().unwrap();
    let stored = entry("j", "a", "a text with a spoilt byte");
    let mut store = TextStore::open(folder.path()).unwrap();
    store_durably(&mut store, std::slice::from_ref(&stored));
    let path = files(folder.path()).pop().unwrap();
    let mut bytes = fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert_eq!(store.read(&stored.key).unwrap(), None);
    let store = TextStore::open(folder.path()).unwrap();
    assert!(store.is_empty());
}

#[test]
fn empty_segments_deleted() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let large = "x".repeat(3 * 1024 * 1024);
    for item in ["a", "b", "c", "d"] {
        store_durably(&mut store, &[entry("old", item, &large)]);
    }
    store_durably(&mut store, &[entry("new", "a", "kept")]);
    let before = files(folder.path()).len();
    store.forget("old").unwrap();
    assert_eq!(store.len(), 1);
    assert!(files(folder.path()).len() < before);
    assert!(store.has(&entry("new", "a", "kept").key));
}

/// Partial outputs of an item are stored with the number of their last event as digest, so that the
/// last key is the longest output, also after a restart.
#[test]
fn longest_output_last() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    for (last, text) in [(3, "abc"), (12, "abcdefghijkl"), (7, "abcdefg")] {
        let mut partial = entry("j", "a", text);
        partial.key.digest = last;
        store_durably(&mut store, &[partial]);
    }
    store_durably(&mut store, &[entry("other", "a", "x")]);
    let store = TextStore::open(folder.path()).unwrap();
    let digests: Vec<u64> = store.of_job("j").map(|key| key.digest).collect();
    assert_eq!(digests, [3, 7, 12]);
}

/// A body whose record stands in two segments, after a write that failed and was repeated, was lost
/// with the segment that counted none of it.
#[test]
fn record_in_two_segments() {
    let folder = tempfile::tempdir().unwrap();
    let kept = entry("j1", "a", "kept");
    {
        let mut store = TextStore::open(folder.path()).unwrap();
        store_durably(&mut store, std::slice::from_ref(&kept));
    }
    let first = files(folder.path()).remove(0);
    fs::copy(&first, folder.path().join("texts-00000001")).unwrap();
    {
        let mut store = TextStore::open(folder.path()).unwrap();
        assert_eq!(store.len(), 1);
        store.forget("another").unwrap();
        assert_eq!(store.read(&kept.key).unwrap().as_deref(), Some("kept"));
    }
    let mut store = TextStore::open(folder.path()).unwrap();
    assert_eq!(store.read(&kept.key).unwrap().as_deref(), Some("kept"));
    store.forget("j1").unwrap();
    assert_eq!(files(folder.path()), Vec::<std::path::PathBuf>::new());
}
