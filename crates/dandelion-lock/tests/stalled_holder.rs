//! Readers of a lock whose holder waits for a stalled disk.

use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;

use dandelion_lock::TimedReadMutex;

#[test]
fn stalled_holder() {
    let lock = Arc::new(TimedReadMutex::new(7));
    let (locked, is_locked) = channel();
    let (resume, stalled) = channel::<()>();
    let holder = Arc::clone(&lock);
    let writer = thread::spawn(move || {
        let mut value = holder.lock();
        locked.send(()).unwrap();
        // The disk responds only after the reader has given up.
        stalled.recv().unwrap();
        *value = 8;
    });
    is_locked.recv().unwrap();
    assert_eq!(lock.try_read(|value| *value), None);
    resume.send(()).unwrap();
    writer.join().unwrap();
    assert_eq!(lock.try_read(|value| *value), Some(8));
}

#[test]
fn free_lock() {
    let lock = TimedReadMutex::new(String::from("a"));
    lock.lock().push('b');
    assert_eq!(lock.try_read(String::clone).as_deref(), Some("ab"));
}
