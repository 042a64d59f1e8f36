//! How long the disk under the data folders takes for a small synced write.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Time between two writes.
const PERIOD: Duration = Duration::from_millis(50);

/// Bytes of one write.
const BYTES: [u8; 256] = [0; 256];

/// Appends and syncs until it is stopped, so that a slow disk is not taken for a slow takeover.
#[derive(Debug)]
pub struct DiskProbe {
    stop: Arc<AtomicBool>,
    worker: JoinHandle<std::io::Result<Duration>>,
}

impl DiskProbe {
    /// Starts writing to a temporary file beside the data folders.
    pub fn spawn() -> std::io::Result<Self> {
        let file = tempfile::tempfile()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let worker = thread::spawn(move || write_all(file, &stopped));
        Ok(Self { stop, worker })
    }

    /// Stops and returns the longest time that one write and sync took.
    pub fn stop(self) -> std::io::Result<Duration> {
        self.stop.store(true, Ordering::SeqCst);
        self.worker.join().expect("the probe does not panic")
    }
}

fn write_all(mut file: File, stopped: &AtomicBool) -> std::io::Result<Duration> {
    let mut longest = Duration::ZERO;
    while !stopped.load(Ordering::SeqCst) {
        let since = Instant::now();
        file.write_all(&BYTES)?;
        file.sync_data()?;
        longest = longest.max(since.elapsed());
        thread::sleep(PERIOD);
    }
    Ok(longest)
}
