//! Reads the processor time and memory of a process from `/proc`.

use std::time::Duration;

use anyhow::Context;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

const KIB_PER_MIB: f64 = 1024.0;

/// Resource use of a process.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ProcessCost {
    /// User and system time since the process started.
    pub cpu: Duration,
    /// Resident memory, in MiB.
    pub rss_mb: f64,
}

impl ProcessCost {
    /// Reads the cost of a running process.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            cpu: cpu_of(&stat).context("no processor time in /proc/PID/stat")?,
            rss_mb: rss_of(&status).context("no resident memory in /proc/PID/status")?,
        })
    }
}

/// Returns the peak of the resident memory of a running process, in bytes.
pub fn peak_memory(pid: u32) -> anyhow::Result<usize> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1));
    let kib = kib.context("no peak of the memory in /proc/PID/status")?;
    Ok(kib.parse::<usize>()? * 1024)
}

fn cpu_of(stat: &str) -> Option<Duration> {
    let (_, after) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = after.split(' ').collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS_PER_SECOND))
}

fn rss_of(status: &str) -> Option<f64> {
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib / KIB_PER_MIB)
}
