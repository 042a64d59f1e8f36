//! Size of the account of the memory and connections that clients use.

use dandelion_net::http::memory::ClientMemory;
use dandelion_net::http::memory::ConnectionLimits;
use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::settings::LimitSettings;

/// File with the machine's memory.
const MEMINFO: &str = "/proc/meminfo";
/// Budget if the machine's memory isn't known.
const FALLBACK_BYTES: usize = 64 * 1024 * 1024;
/// Part of the machine's memory that clients may use.
const MEMORY_PART: usize = 4;
/// Descriptors that are kept for mesh, upstreams, files and probes, and at most a quarter of all.
const RESERVED_DESCRIPTORS: u64 = 512;

/// Opens the account of this process.
pub fn open(limits: &LimitSettings) -> ClientMemory {
    let budget = limits.client_memory.unwrap_or_else(|| {
        let text = std::fs::read_to_string(MEMINFO).unwrap_or_default();
        default_budget(&text, limits.body_bytes)
    });
    let connections = ConnectionLimits {
        total: total_connections(limits.connections),
        per_peer: limits.peer_connections,
    };
    ClientMemory::new(budget, connections)
}

/// Returns a quarter of the machine's memory by the text of `/proc/meminfo`, or a fixed budget if
/// that says nothing; at least twice the largest body.
pub fn default_budget(meminfo: &str, body_bytes: usize) -> usize {
    let total = meminfo.lines().find_map(|line| {
        let number = line.strip_prefix("MemTotal:")?.trim().strip_suffix("kB")?;
        number.trim().parse::<usize>().ok()
    });
    let budget = total.map(|kib| kib.saturating_mul(1024) / MEMORY_PART);
    let budget = budget.unwrap_or_else(|| {
        log::warn!("{MEMINFO} names no memory size; clients may use {FALLBACK_BYTES} bytes");
        FALLBACK_BYTES
    });
    budget.max(body_bytes.saturating_mul(2))
}

/// Returns the connections that the limit of open files leaves to clients.
fn total_connections(setting: usize) -> usize {
    let Some(files) = getrlimit(Resource::Nofile).current else {
        return setting;
    };
    let usable = files - RESERVED_DESCRIPTORS.min(files / 4);
    if (usable as usize) < setting {
        log::warn!("the open files limit {files} leaves {usable} connections of {setting}");
    }
    setting.min(usable as usize)
}
