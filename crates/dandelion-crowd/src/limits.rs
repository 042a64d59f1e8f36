//! Size of the crowds, and the bounds that a daemon must keep.

/// Largest request body that the daemon accepts.
pub const BODY_BYTES: usize = 1024 * 1024;

/// Budget of the daemon for the memory that clients hold.
pub const BUDGET_BYTES: usize = 8 * 1024 * 1024;

/// Connections of a crowd. Their bodies are twelve times the budget.
pub const CLIENTS: usize = 96;

/// Connections that the daemon accepts, so that a crowd leaves some for others.
pub const CONNECTIONS: usize = 128;

/// Bytes of a request that the budget never refuses.
pub const SHORT_BYTES: usize = 64 * 1024;

/// Memory of an idle process, code of an unoptimized build included.
pub const IDLE_BYTES: usize = 32 * 1024 * 1024;

/// Peak resident memory that a daemon may have: its budget, a short request on each connection, and
/// the allowance for an idle process.
pub const MEMORY_BOUND: usize = BUDGET_BYTES + CONNECTIONS * SHORT_BYTES + IDLE_BYTES;

/// Descriptors besides those of clients: listeners, mesh, files, timers.
pub const OTHER_DESCRIPTORS: usize = 64;

/// Descriptors that a daemon may have open.
pub const DESCRIPTOR_BOUND: usize = CONNECTIONS + OTHER_DESCRIPTORS;
