//! Size of the account of clients' memory.

use dandelion_daemon::client_memory::default_budget;
use dandelion_daemon::client_memory::enclosing_groups;
use dandelion_daemon::client_memory::machine_memory;
use dandelion_daemon::gateway::ANSWER_BYTES;

const MIB: usize = 1024 * 1024;

/// Guards against a budget that exceeds the machine, is too small for one body, or is missing where
/// the machine's memory can't be read.
#[test]
fn default_budgets() {
    let meminfo = "MemFree:  1 kB\nMemTotal:       163840 kB\nBuffers: 2 kB\n";
    let machine = machine_memory(meminfo);
    assert_eq!(machine, Some(160 * MIB));
    assert_eq!(default_budget(machine, None, MIB), 40 * MIB);
    assert_eq!(default_budget(machine, None, 32 * MIB), 64 * MIB);
    for unknown in [
        "",
        "MemTotal: many kB",
        "MemTotal: 5",
        "MemTotal: 99999999999999999999 kB",
    ] {
        let machine = machine_memory(unknown);
        assert_eq!(default_budget(machine, None, MIB), 64 * MIB, "{unknown:?}");
    }
    let largest = machine_memory(&format!("MemTotal: {} kB", u64::MAX));
    assert!(default_budget(largest, None, usize::MAX) == usize::MAX);
}

/// Fault: on a machine of 110 MB bodies and answers together got more than it has. The sum of what an
/// entry holds must fit, and one longest body must be served.
#[test]
fn small_machines() {
    let memory = 110_000_000;
    let budget = default_budget(Some(memory), None, 32 * MIB);
    assert!(budget >= 32 * MIB, "{budget}");
    assert!(24 * MIB + ANSWER_BYTES + budget <= memory, "{budget}");
    assert_eq!(default_budget(Some(40 * MIB), None, 32 * MIB), 32 * MIB);
}

/// Guards against a budget by the machine's memory where the process may use only a part of it.
#[test]
fn group_limits() {
    let limit = Some(110_000_000);
    let alone = default_budget(limit, None, 32 * MIB);
    assert_eq!(default_budget(Some(1 << 40), limit, 32 * MIB), alone);
    let groups = enclosing_groups("12:pids:/x\n0::/a.slice/b.service/c\n");
    assert_eq!(
        groups,
        ["/a.slice/b.service/c", "/a.slice/b.service", "/a.slice"]
    );
    assert!(enclosing_groups("0::/\n").is_empty());
    assert!(enclosing_groups("").is_empty());
}
