//! A mutex whose writer may block on a disk, with a timeout for readers.
//!
//! The writing thread holds the lock while its disk works. Async tasks that only read the value
//! give up after a short wait, so that a stalled disk never blocks all threads of the executor.

use std::time::Duration;

use parking_lot::Mutex;
use parking_lot::MutexGuard;

/// Longest wait of a reader: ten times the sync time of a typical disk.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A mutex around a value that one thread writes and many tasks read.
#[derive(Debug, Default)]
pub struct TimedReadMutex<T>(Mutex<T>);

impl<T> TimedReadMutex<T> {
    /// Creates an unlocked mutex.
    pub const fn new(value: T) -> Self {
        Self(Mutex::new(value))
    }

    /// Acquires the lock and blocks without a limit, even while its holder waits for a disk.
    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.0.lock()
    }

    /// Runs `read` on the value, or returns `None` if the lock is not free within 50 ms.
    pub fn try_read<R, F>(&self, read: F) -> Option<R>
    where
        F: FnOnce(&T) -> R,
    {
        let guard = self.0.try_lock_for(READ_TIMEOUT)?;
        Some(read(&guard))
    }
}
