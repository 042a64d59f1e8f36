//! A one-shot signal that any number of tasks can wait for.

use std::convert::Infallible;

use async_channel::Receiver;
use async_channel::Sender;

/// Raises its [`Signal`]; dropping the last copy raises it as well.
#[derive(Debug, Clone)]
pub struct Trigger(Sender<Infallible>);

/// Lets tasks wait until its [`Trigger`] raises it; copies share the state.
#[derive(Debug, Clone)]
pub struct Signal(Receiver<Infallible>);

impl Signal {
    /// Makes a signal and its trigger.
    pub fn new() -> (Trigger, Self) {
        let (sender, receiver) = async_channel::bounded(1);
        (Trigger(sender), Self(receiver))
    }

    /// Waits until the signal is raised.
    pub async fn raised(&self) {
        // No value can be sent, so this ends only when the channel closes.
        let _closed = self.0.recv().await;
    }

    /// Returns whether the signal has been raised.
    pub fn is_raised(&self) -> bool {
        self.0.is_closed()
    }
}

impl Trigger {
    /// Raises the signal; raising it again has no effect.
    pub fn raise(&self) {
        self.0.close();
    }
}
