//! The shape of every decision-making part.

use dandelion_protocol::time::Millis;

/// A deterministic state machine: the same events at the same times give the same actions.
pub trait Machine {
    /// What can happen to it.
    type Event;
    /// What it asks the shell to do.
    type Action;

    /// Handles one event at `now` and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Millis, event: Self::Event, actions: &mut Vec<Self::Action>);
}
