//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
    runs: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
            runs: Arc::default(),
        })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Notes that a replica began to run a request or an item.
    pub fn ran(&self, id: &str) {
        let now = self.now();
        self.runs.lock().unwrap().push((now, id.to_owned()));
    }

    /// Returns what the replicas ran, and when it began.
    pub fn runs(&self) -> Vec<(f64, String)> {
        self.runs.lock().unwrap().clone()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ignored = writeln!(file, "{:8.3} {text}", self.now());
        let _ignored = file.flush();
    }
}
