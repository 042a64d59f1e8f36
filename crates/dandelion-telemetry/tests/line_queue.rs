//! The log queue never blocks its writers, and counts the lines that it drops.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use dandelion_telemetry::logging::LineQueue;
use dandelion_telemetry::logging::write_json;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Level;
use log::LevelFilter;
use log::Record;

/// A stream that blocks in its first write until `release` receives a message.
struct StalledStream {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    released: bool,
}

impl Write for StalledStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            self.released = true;
            self.release.recv().map_err(io::Error::other)?;
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(queue: &LineQueue, number: u64, level: Level) {
    let fields = [("event", number)];
    let record = Record::builder()
        .level(level)
        .args(format_args!("line"))
        .key_values(&fields)
        .build();
    queue.write(&mut DeferredNow::new(), &record).unwrap();
}

#[test]
fn stalled_reader() {
    let (release, stalled) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stream = StalledStream {
        release: stalled,
        written: Arc::clone(&written),
        released: false,
    };
    let queue = LineQueue::spawn(stream, write_json, LevelFilter::Info);
    // If a write waited for the stream, this loop would never end.
    for number in 0..20_000 {
        write(&queue, number, Level::Warn);
    }
    // The queue holds 4,096 lines, and one batch of 256 is being written.
    assert!(queue.dropped() >= 20_000 - 4_096 - 256);
    assert!(written.lock().unwrap().is_empty());
    release.send(()).unwrap();
    while written.lock().unwrap().is_empty() {
        std::thread::yield_now();
    }
}

#[test]
fn budget_by_kind() {
    let (release, stalled) = channel();
    release.send(()).unwrap();
    let written = Arc::new(Mutex::new(Vec::new()));
    let stream = StalledStream {
        release: stalled,
        written,
        released: false,
    };
    let queue = LineQueue::spawn(stream, write_json, LevelFilter::Info);
    let mut now = DeferredNow::new();
    let fields = [("event", 911_u64)];
    let record = Record::builder()
        .level(Level::Info)
        .args(format_args!("line"))
        .key_values(&fields)
        .build();
    // The time is read only once, so that all lines fall into one second.
    now.now();
    for _ in 0..250 {
        queue.write(&mut now, &record).unwrap();
    }
    assert_eq!(queue.dropped(), 50);
    let refused = [("event", 913_u64)];
    let record = Record::builder()
        .level(Level::Warn)
        .args(format_args!("line"))
        .key_values(&refused)
        .build();
    for _ in 0..150 {
        queue.write(&mut now, &record).unwrap();
    }
    assert_eq!(queue.dropped(), 50, "refusals have a budget of their own");
}
