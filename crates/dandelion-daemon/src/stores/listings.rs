//! Wakes the readers that wait for results of a job.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Mutex;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;
use async_std::future::timeout;

/// Readers that wait for the next result, by job. A reader is woken by dropping its sender.
#[derive(Debug, Default)]
pub struct Listings {
    waiting: Mutex<BTreeMap<String, Vec<Sender<Infallible>>>>,
}

/// A reader that waits for the next result of a job.
#[derive(Debug)]
pub struct Subscription(Receiver<Infallible>);

impl Listings {
    /// Subscribes to the next result of a job. What was listed before is to be read after this call.
    pub fn subscribe(&self, job: &str) -> Subscription {
        let (sender, receiver) = async_channel::bounded(1);
        let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
        let readers = waiting.entry(job.to_owned()).or_default();
        readers.retain(|reader| !reader.is_closed());
        readers.push(sender);
        Subscription(receiver)
    }

    /// Wakes the readers of a job after a result was listed.
    pub fn wake(&self, job: &str) {
        let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
        waiting.remove(job);
    }

    /// Drops what is kept of readers that no longer wait.
    pub fn expire(&self) {
        let mut waiting = self.waiting.lock().expect("no holder of this lock panics");
        waiting.retain(|_, readers| readers.iter().any(|reader| !reader.is_closed()));
    }
}

impl Subscription {
    /// Waits until a result is listed, for at most `limit`.
    pub async fn wait(&self, limit: Duration) {
        // Only an end of the channel or of the time can end the wait.
        let _woken = timeout(limit, self.0.recv()).await;
    }
}
