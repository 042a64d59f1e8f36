//! Keeps what a task holds from being lost if the task panics.

use std::panic::AssertUnwindSafe;

use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::FutureExt;

/// Runs the work of a task; returns none if it panics. Whoever waits for the task's report must get
/// one in any case, or an item and a slot of an engine stay taken for good.
pub(super) async fn guarded<F>(what: &str, name: &str, work: F) -> Option<F::Output>
where
    F: Future,
{
    // What the work shares with others is behind locks, which a panic would poison.
    let outcome = AssertUnwindSafe(work).catch_unwind().await;
    outcome
        .inspect_err(|_panic| {
            event!(Event::TaskFailed, task = what, name = name);
        })
        .ok()
}
