//! Keeps the holders of a duty from taking turns quickly.
//!
//! Where a receiver of calls checks no fencing token, a call of an earlier holder that arrives late can't
//! be told from one of the present holder. A leader lease keeps two holders apart; this keeps one
//! holder from acting again soon after another one has held the duty in between.

use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;

/// The acts of this daemon as the holder of a duty. Times are of the boot-time clock.
#[derive(Debug, Clone)]
pub struct Turns {
    gap: Millis,
    /// When the process started; what it did before that is not known.
    started: Millis,
    /// Latest act, and the term in which the duty was held.
    last: Option<(Term, Millis)>,
}

impl Turns {
    /// Opens the record of a process that started at `started`. `gap` is the shortest time between the
    /// arrival of an act and that of the next one, if another holder may have acted in between.
    pub fn open(started: Millis, gap: Millis) -> Self {
        Self {
            gap,
            started,
            last: None,
        }
    }

    /// Returns whether the holder of `term` may act now: it acted in this term already, or long enough
    /// ago, also before this process started.
    pub fn may_act(&self, now: Millis, term: Term) -> bool {
        match self.last {
            Some((last, _)) if last == term => true,
            Some((_, at)) => now >= at + self.gap,
            None => now >= self.started + self.gap,
        }
    }

    /// Records an act.
    pub fn act(&mut self, now: Millis, term: Term) {
        self.last = Some((term, now));
    }
}
