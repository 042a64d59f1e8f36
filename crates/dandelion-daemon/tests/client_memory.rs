//! Size of the account of clients' memory.

use dandelion_daemon::client_memory::default_budget;

const MIB: usize = 1024 * 1024;

/// Guards against a budget that exceeds the machine, is too small for one body, or is missing where
/// the machine's memory can't be read.
#[test]
fn default_budgets() {
    let meminfo = "MemFree:  1 kB\nMemTotal:       163840 kB\nBuffers: 2 kB\n";
    assert_eq!(default_budget(meminfo, MIB), 40 * MIB);
    assert_eq!(default_budget(meminfo, 32 * MIB), 64 * MIB);
    for unknown in [
        "",
        "MemTotal: many kB",
        "MemTotal: 5",
        "MemTotal: 99999999999999999999 kB",
    ] {
        assert_eq!(default_budget(unknown, MIB), 64 * MIB, "{unknown:?}");
    }
    let largest = format!("MemTotal: {} kB", u64::MAX);
    assert!(default_budget(&largest, usize::MAX) == usize::MAX);
}
