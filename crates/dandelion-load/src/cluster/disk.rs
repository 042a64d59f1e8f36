//! Measures the latency of small synced writes on the disk of the data folders.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Pause between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Content of one write.
const BLOCK: [u8; 256] = [0; 256];

/// Thread that appends and syncs until it is stopped. Its result shows whether a slow takeover is
/// due to a slow disk.
#[derive(Debug)]
pub struct DiskProbe {
    stop: Arc<AtomicBool>,
    worker: JoinHandle<std::io::Result<Duration>>,
}

impl DiskProbe {
    /// Starts writing to a file in the system's temporary folder, where the data folders are too.
    pub fn spawn() -> std::io::Result<Self> {
        let file = tempfile::tempfile()?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let worker = thread::spawn(move || write_repeatedly(file, &stopped));
        Ok(Self { stop, worker })
    }

    /// Stops the thread and returns the longest duration of a write and its sync.
    pub fn stop(self) -> std::io::Result<Duration> {
        self.stop.store(true, Ordering::SeqCst);
        self.worker.join().expect("the probe does not panic")
    }
}

fn write_repeatedly(mut file: File, stopped: &AtomicBool) -> std::io::Result<Duration> {
    let mut longest = Duration::ZERO;
    while !stopped.load(Ordering::SeqCst) {
        let started = Instant::now();
        file.write_all(&BLOCK)?;
        file.sync_data()?;
        longest = longest.max(started.elapsed());
        thread::sleep(WRITE_INTERVAL);
    }
    Ok(longest)
}
