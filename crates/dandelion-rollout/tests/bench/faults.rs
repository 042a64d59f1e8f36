//! Faults of a run, as probabilities in thousandths.

/// Probability of each fault, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The ledger's answer to a proposal is lost after it took effect.
    pub ledger_lost: u32,
    /// A proposal is also applied a second time, up to ten seconds later.
    pub ledger_late: u32,
    /// An answer to the trainer is lost.
    pub answer_lost: u32,
    /// Another daemon becomes the coordinator, tried every second.
    pub takeover: u32,
    /// A coordinator's daemon dies and loses its payloads, tried every second.
    pub daemon_killed: u32,
    /// A payload is stored only on the coordinator's daemon.
    pub single_holder: u32,
    /// An engine restarts under its address, tried every second.
    pub engine_killed: u32,
    /// A stream continues after its engine has restarted.
    pub silent_restart: u32,
    /// A swap is acknowledged and does not happen.
    pub swap_failed: u32,
    /// The engine does not know the boundary of a swap.
    pub boundary_lost: u32,
    /// Operators publish a version, tried every second.
    pub publish: u32,
    /// A second trainer process pulls, tried every second.
    pub intruder: u32,
    /// The trainer restarts from its last cursor during training.
    pub trainer_restart: u32,
    /// A call to the scoring service fails.
    pub score_failed: u32,
}

impl Faults {
    /// Returns all faults, at rates at which runs still complete.
    #[allow(dead_code, reason = "each user of the module uses only a part of it")]
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

/// A deliberate defect, which shows that a check can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(dead_code, reason = "each user of the module uses only a part of it")]
pub enum Mutation {
    /// The ledger forgets what was acknowledged.
    ForgetAcks,
    /// The ledger treats a skipped cursor as acknowledged.
    AckSkipped,
    /// Publications do not reach the ledger.
    DropPublish,
    /// Engines report the version that was ordered.
    ReportOrdered,
    /// The ledger grants tokens without recording them.
    DropReserve,
    /// The ledger accepts a batch without recording it.
    DropFreeze,
    /// The ledger treats all trainer processes as the same one.
    SameTrainer,
}
