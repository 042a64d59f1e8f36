//! A holder that waits for its disk.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;

use dandelion_lock::PatientLock;

#[test]
fn stalled_holder() {
    let lock = Arc::new(PatientLock::new(7));
    let (held, is_held) = channel();
    let (go, stalled) = channel::<()>();
    let holder = Arc::clone(&lock);
    let writer = thread::spawn(move || {
        let mut value = holder.hold();
        held.send(()).unwrap();
        // The disk answers only when the reader has given up.
        stalled.recv().unwrap();
        *value = 8;
    });
    is_held.recv().unwrap();
    assert_eq!(lock.look(|value| *value), None);
    go.send(()).unwrap();
    writer.join().unwrap();
    assert_eq!(lock.look(|value| *value), Some(8));
}

#[test]
fn free_lock() {
    let lock = PatientLock::new(String::from("a"));
    lock.hold().push('b');
    assert_eq!(lock.look(String::clone).as_deref(), Some("ab"));
}
