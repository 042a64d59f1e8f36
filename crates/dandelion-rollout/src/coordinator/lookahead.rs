//! How many groups are generated ahead of the trainer.

use dandelion_protocol::time::Millis;

/// Parts into which a step is divided: the unit in which the lookahead is adjusted.
const PARTS: u64 = 16;

/// Parts added to the lookahead when the trainer had to wait.
const GROW: u64 = 6;

/// Parts removed from the lookahead when the trainer did not wait.
const SHRINK: u64 = 1;

/// Minimum lookahead: the step that is trained on and a quarter of the next one.
const MIN_PARTS: u64 = PARTS + PARTS / 4;

/// Parts by which the maximum lookahead stays below the staleness bound, so that slightly late
/// groups are not too old. Applied only if the bound allows any lookahead.
const MARGIN: u64 = 4;

/// Longest wait of a trainer that does not increase the lookahead.
const TOLERATED_WAIT: Millis = Millis(500);

/// The lookahead in parts of a step, 0 for the maximum before the first batch. A long one keeps
/// the trainer busy while engines are slow, a short one keeps samples fresh; so it grows when the
/// trainer waits and shrinks when it does not.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lookahead {
    parts: u64,
}

impl Lookahead {
    /// Returns the number of groups that may be trained on, in progress or complete at once.
    pub fn groups(self, step: u64, bound: u64) -> u64 {
        let most = longest(bound);
        let parts = if self.parts == 0 { most } else { self.parts };
        step * parts.min(most) / PARTS
    }

    /// Adjusts the lookahead to the time for which the trainer waited for a batch.
    pub fn record(&mut self, waited: Millis, bound: u64) {
        let most = longest(bound);
        let parts = if self.parts == 0 { most } else { self.parts };
        let next = if waited > TOLERATED_WAIT {
            parts + GROW
        } else {
            parts - SHRINK
        };
        self.parts = next.clamp(MIN_PARTS.min(most), most);
    }
}

/// Returns the maximum lookahead in parts.
fn longest(bound: u64) -> u64 {
    let margin = if bound > 0 { MARGIN } else { 0 };
    (bound + 1) * PARTS - margin
}
