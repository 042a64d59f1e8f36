//! How far generation runs ahead of the trainer.

use dandelion_protocol::time::Millis;

/// Parts into which a step is divided for steering.
const PARTS: u64 = 16;

/// Parts that a waiting trainer adds to the lead.
const GROW: u64 = 6;

/// Parts that a trainer that did not wait takes off the lead.
const SHRINK: u64 = 1;

/// Lead at the least: the step that is trained on and a quarter more.
const LEAST: u64 = PARTS + PARTS / 4;

/// Parts kept off the longest lead if the bound allows a lead at all, so that groups that are late
/// by a little are not too old.
const SPARE: u64 = 4;

/// Wait of a trainer that is not held against the lead.
const USUAL_WAIT: Millis = Millis(500);

/// The lead in parts of a step. A long lead keeps the trainer busy through slow spells, a short
/// one keeps samples fresh; so it grows when the trainer waits and shrinks while it does not.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lead {
    parts: u64,
}

impl Lead {
    /// Returns the groups that may be trained on, under way or whole at once.
    pub fn groups(self, step: u64, bound: u64) -> u64 {
        let most = longest(bound);
        let parts = if self.parts == 0 { most } else { self.parts };
        step * parts.min(most) / PARTS
    }

    /// Learns how long the trainer waited for a batch.
    pub fn record(&mut self, waited: Millis, bound: u64) {
        let most = longest(bound);
        let parts = if self.parts == 0 { most } else { self.parts };
        let next = if waited > USUAL_WAIT {
            parts + GROW
        } else {
            parts - SHRINK
        };
        self.parts = next.clamp(LEAST.min(most), most);
    }
}

fn longest(bound: u64) -> u64 {
    let spare = if bound > 0 { SPARE } else { 0 };
    (bound + 1) * PARTS - spare
}
