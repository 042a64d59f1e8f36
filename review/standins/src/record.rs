//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start to a file and to standard output; copies share it.
#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file, replacing an existing one.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Adds a line.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_millis();
        let line = format!("{at:>6} ms  {line}");
        println!("{line}");
        let mut file = self.file.lock().expect("no writer panics");
        let _full = writeln!(file, "{line}");
    }
}
