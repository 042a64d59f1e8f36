//! Texts on disk: kept over restarts, cut records dropped, jobs forgotten.

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

fn keep(store: &mut TextStore, entries: &[TextEntry]) {
    let written = store.write(entries).unwrap();
    written.sync().unwrap();
    store.commit(written);
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
fn over_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let entries = [entry("j1", "a", "one\ntwo"), entry("j1", "b", "")];
    {
        let mut store = TextStore::open(folder.path()).unwrap();
        keep(&mut store, &entries);
        keep(&mut store, &[entry("j2", "a", "three")]);
    }
    let mut store = TextStore::open(folder.path()).unwrap();
    assert_eq!(store.len(), 3);
    for kept in &entries {
        assert_eq!(
            store.read(&kept.key).unwrap().as_deref(),
            Some(kept.text.as_str())
        );
    }
    keep(&mut store, &[entry("j3", "c", "four")]);
    let store = TextStore::open(folder.path()).unwrap();
    assert_eq!(store.len(), 4);
}

/// Two runs of one item made different texts; the one that is listed must be the one that is read.
#[test]
fn runs_of_one_item() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let (first, second) = (entry("j", "a", "first run"), entry("j", "a", "second run"));
    keep(&mut store, std::slice::from_ref(&first));
    keep(&mut store, std::slice::from_ref(&second));
    assert_eq!(store.read(&first.key).unwrap().unwrap(), "first run");
    assert_eq!(store.read(&second.key).unwrap().unwrap(), "second run");
}

#[test]
fn unsynced_counts_not() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let kept = entry("j", "a", "text");
    let written = store.write(std::slice::from_ref(&kept)).unwrap();
    assert!(!store.has(&kept.key));
    written.sync().unwrap();
    store.commit(written);
    assert!(store.has(&kept.key));
}

#[test]
fn torn_tail() {
    fn prop(cut: usize) -> bool {
        let folder = tempfile::tempdir().unwrap();
        let whole = entry("j", "a", "a whole text");
        let mut store = TextStore::open(folder.path()).unwrap();
        keep(&mut store, std::slice::from_ref(&whole));
        let path = files(folder.path()).pop().unwrap();
        let first = fs::metadata(&path).unwrap().len();
        keep(&mut store, &[entry("j", "b", "a text that is torn")]);
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
        let held = store.len() == 1 && store.has(&whole.key);
        keep(&mut store, &[entry("j", "c", "later")]);
        let store = TextStore::open(folder.path()).unwrap();
        held && store.len() == 2
    }
    quickcheck(prop as fn(usize) -> bool);
}

#[test]
fn spoilt_record() {
    let folder = tempfile::tempdir().unwrap();
    let kept = entry("j", "a", "a text with a spoilt byte");
    let mut store = TextStore::open(folder.path()).unwrap();
    keep(&mut store, std::slice::from_ref(&kept));
    let path = files(folder.path()).pop().unwrap();
    let mut bytes = fs::read(&path).unwrap();
    let last = bytes.len() - 1;
    bytes[last] ^= 1;
    fs::write(&path, bytes).unwrap();
    assert_eq!(store.read(&kept.key).unwrap(), None);
    let store = TextStore::open(folder.path()).unwrap();
    assert!(store.is_empty());
}

#[test]
fn forgotten_segments() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    let large = "x".repeat(3 * 1024 * 1024);
    for item in ["a", "b", "c", "d"] {
        keep(&mut store, &[entry("old", item, &large)]);
    }
    keep(&mut store, &[entry("new", "a", "kept")]);
    let before = files(folder.path()).len();
    store.forget("old").unwrap();
    assert_eq!(store.len(), 1);
    assert!(files(folder.path()).len() < before);
    assert!(store.has(&entry("new", "a", "kept").key));
}

/// Unfinished outputs of an item are kept under the number of their last event: the last name is the
/// longest output, also after a restart.
#[test]
fn longest_last() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = TextStore::open(folder.path()).unwrap();
    for (last, text) in [(3, "abc"), (12, "abcdefghijkl"), (7, "abcdefg")] {
        let mut kept = entry("j", "a", text);
        kept.key.digest = last;
        keep(&mut store, &[kept]);
    }
    keep(&mut store, &[entry("other", "a", "x")]);
    let store = TextStore::open(folder.path()).unwrap();
    let names: Vec<u64> = store.of_job("j").map(|key| key.digest).collect();
    assert_eq!(names, [3, 7, 12]);
}
