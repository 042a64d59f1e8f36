//! Which faults happen, as chances in thousandths.

/// Faults of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The ledger's answer to a proposal is lost after it took effect.
    pub ledger_lost: u32,
    /// A proposal is applied a second time, up to ten seconds later.
    pub ledger_late: u32,
    /// An answer to the trainer is lost.
    pub answer_lost: u32,
    /// Another daemon takes charge, looked at every second.
    pub takeover: u32,
    /// The daemon in charge dies with its payloads, looked at every second.
    pub daemon_killed: u32,
    /// A payload is stored by its own daemon alone.
    pub single_holder: u32,
    /// An engine restarts under its address, looked at every second.
    pub engine_killed: u32,
    /// A stream goes on after the restart as if nothing had been.
    pub silent_restart: u32,
    /// A swap is acknowledged and does not happen.
    pub swap_failed: u32,
    /// The engine does not know the boundary of a swap.
    pub boundary_lost: u32,
    /// Operators publish a version, looked at every second.
    pub publish: u32,
    /// A second trainer process pulls, looked at every second.
    pub intruder: u32,
    /// The trainer restarts from its last cursor.
    pub trainer_restart: u32,
    /// A score call fails.
    pub score_failed: u32,
}

impl Faults {
    /// Every fault at a rate at which runs still end.
    #[allow(dead_code, reason = "each user of the bench takes a part of it")]
    pub fn all() -> Self {
        Self {
            ledger_lost: 100,
            ledger_late: 100,
            answer_lost: 150,
            takeover: 20,
            daemon_killed: 15,
            single_holder: 200,
            engine_killed: 20,
            silent_restart: 300,
            swap_failed: 150,
            boundary_lost: 300,
            publish: 15,
            intruder: 100,
            trainer_restart: 100,
            score_failed: 50,
        }
    }
}

/// A defect put in on purpose, to show that a check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code, reason = "each user of the bench takes a part of it")]
pub enum Mutation {
    /// The ledger forgets what was acknowledged.
    ForgetAcks,
    /// The ledger takes a skipped cursor as acknowledged.
    AckSkipped,
    /// Publications do not reach the ledger.
    DropPublish,
    /// Engines report the version that was ordered.
    ReportOrdered,
    /// The ledger grants tokens and does not record it.
    DropReserve,
    /// The ledger freezes a batch and does not record it.
    DropCut,
    /// The ledger takes every trainer process for the same.
    OneName,
}
