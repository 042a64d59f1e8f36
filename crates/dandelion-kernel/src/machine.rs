//! Interface of the deterministic state machines.

use dandelion_protocol::time::Millis;

/// A deterministic state machine: the same events at the same times give the same actions.
pub trait Machine {
    /// Input, such as the passage of time or the outcome of an I/O operation.
    type Event;
    /// Output: an operation for the I/O layer that drives the machine.
    type Action;

    /// Handles one event at `now` and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Millis, event: Self::Event, actions: &mut Vec<Self::Action>);
}
