//! Size of the account of the memory and connections that clients use.

use dandelion_net::http::memory::ClientMemory;
use dandelion_net::http::memory::ConnectionLimits;
use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::gateway::ANSWER_BYTES;
use crate::settings::LimitSettings;

/// File with the machine's memory.
const MEMINFO: &str = "/proc/meminfo";
/// Budget if the machine's memory isn't known.
const FALLBACK_BYTES: usize = 64 * 1024 * 1024;
/// File with the control group of the process, where groups are mounted, and the file with a group's limit.
const OWN_GROUP: &str = "/proc/self/cgroup";
const GROUPS: &str = "/sys/fs/cgroup";
const GROUP_LIMIT: &str = "memory.max";
/// Part of the memory that clients may use.
const MEMORY_PART: usize = 4;
/// Memory of a process without clients' bodies and answers, in bytes: code, state, connections, links.
const PROCESS_BYTES: usize = 24 * 1024 * 1024;
/// Descriptors that are kept for mesh, upstreams, files and probes, and at most a quarter of all.
const RESERVED_DESCRIPTORS: u64 = 512;

/// Opens the account of this process.
pub fn open(limits: &LimitSettings) -> ClientMemory {
    let budget = limits.client_memory.unwrap_or_else(|| {
        let machine = std::fs::read_to_string(MEMINFO).unwrap_or_default();
        default_budget(machine_memory(&machine), group_limit(), limits.body_bytes)
    });
    let connections = ConnectionLimits {
        total: total_connections(limits.connections),
        per_peer: limits.peer_connections,
    };
    ClientMemory::new(budget, connections)
}

/// Returns a quarter of the memory that the process may use, but twice the longest body where the process
/// and the answers that it buffers leave room for that, and one in any case.
pub fn default_budget(machine: Option<usize>, group: Option<usize>, body_bytes: usize) -> usize {
    let Some(total) = machine.into_iter().chain(group).min() else {
        log::warn!("no memory size is known; clients may use {FALLBACK_BYTES} bytes");
        return FALLBACK_BYTES.max(body_bytes.saturating_mul(2));
    };
    let room = total.saturating_sub(PROCESS_BYTES + ANSWER_BYTES);
    let longest = body_bytes.saturating_mul(2).min(room).max(body_bytes);
    longest.max(total / MEMORY_PART)
}

/// Returns the memory of the machine by the text of `/proc/meminfo`; none if that says nothing.
pub fn machine_memory(meminfo: &str) -> Option<usize> {
    let kib = meminfo.lines().find_map(|line| {
        let number = line.strip_prefix("MemTotal:")?.trim().strip_suffix("kB")?;
        number.trim().parse::<usize>().ok()
    });
    kib.map(|kib| kib.saturating_mul(1024))
}

/// Returns the lowest memory limit of the process's control group and of those that contain it; none if
/// there is no limit, or no unified hierarchy.
fn group_limit() -> Option<usize> {
    let own = std::fs::read_to_string(OWN_GROUP).ok()?;
    let mut limits = Vec::new();
    for group in enclosing_groups(&own) {
        let text = std::fs::read_to_string(format!("{GROUPS}{group}/{GROUP_LIMIT}"));
        limits.extend(text.ok().and_then(|text| text.trim().parse::<usize>().ok()));
    }
    limits.into_iter().min()
}

/// Returns the path of a process's group in the unified hierarchy and of those that contain it, by the
/// text of its `cgroup` file.
pub fn enclosing_groups(own: &str) -> Vec<&str> {
    let path = own.lines().find_map(|line| line.strip_prefix("0::"));
    let mut rest = path.unwrap_or_default().trim_end_matches('/');
    let mut groups = Vec::new();
    while let Some((parent, _)) = rest.rsplit_once('/') {
        groups.push(rest);
        rest = parent;
    }
    groups
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
