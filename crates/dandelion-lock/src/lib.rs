//! A lock whose holder may wait for a disk.
//!
//! The thread that writes holds the lock for as long as its disk takes. Tasks of the executor that
//! only look at what is guarded give up soon, so that a stalled disk never takes all its threads.

use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::MutexGuard;

/// Longest wait of a reader: ten times the sync of a usual disk.
const READ_PATIENCE: Duration = Duration::from_millis(50);

/// A value that one thread writes and many tasks read.
#[derive(Debug, Default)]
pub struct PatientLock<T>(Mutex<T>);

impl<T> PatientLock<T> {
    /// Guards a value.
    pub const fn new(value: T) -> Self {
        Self(Mutex::new(value))
    }

    /// Waits for the lock, however long its holder waits for a disk.
    pub fn hold(&self) -> MutexGuard<'_, T> {
        self.0.lock()
    }

    /// Runs `look` on the value; nothing if the holder takes longer than a healthy disk does.
    pub fn look<R, F>(&self, look: F) -> Option<R>
    where
        F: FnOnce(&T) -> R,
    {
        let guard = self.0.try_lock_for(READ_PATIENCE)?;
        Some(look(&guard))
    }
}
