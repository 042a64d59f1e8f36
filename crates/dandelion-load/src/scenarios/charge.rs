//! Watches which daemons claim to be in charge and which revisions they serve.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use async_std::task::JoinHandle;

use crate::cluster::Caller;
use crate::cluster::Gauges;

const POLL: Duration = Duration::from_millis(20);

/// Longest wait for a daemon's metrics; a suspended daemon answers only when it is resumed.
const LIMIT: Duration = Duration::from_secs(6);

/// What was seen.
#[derive(Debug, Clone, Default)]
pub struct Watched {
    /// Looks that found an old term in charge after a newer one, or one term at two daemons.
    pub doubled: u64,
    /// Looks that found a daemon under a lease at an older revision than before.
    pub reverted: u64,
    /// Different terms seen in charge.
    pub terms: usize,
    claims: Vec<Claim>,
}

#[derive(Debug, Clone, Copy)]
struct Claim {
    daemon: usize,
    term: u64,
    asked: Instant,
    told: Instant,
}

/// Looks at every daemon until it is stopped.
#[derive(Debug)]
pub struct ChargeWatch {
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Watched>>,
    tasks: Vec<JoinHandle<()>>,
}

impl ChargeWatch {
    /// Starts watching; the first `control` daemons may be in charge.
    pub fn spawn(daemons: Vec<SocketAddr>, control: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = Arc::new(Mutex::new(Watched::default()));
        let watch = |(index, address): (usize, SocketAddr)| {
            let (stop, seen) = (Arc::clone(&stop), Arc::clone(&seen));
            task::spawn(watch_one(index, address, index < control, stop, seen))
        };
        let tasks = daemons.into_iter().enumerate().map(watch).collect();
        Self { stop, seen, tasks }
    }

    /// Stops and returns what was seen.
    pub async fn stop(self) -> Watched {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await;
        }
        let mut seen = self.seen.lock().expect("no holder panics").clone();
        seen.judge();
        seen
    }
}

impl Watched {
    /// An old term's claim counts if it was asked for after a newer term's claim was told.
    fn judge(&mut self) {
        let terms: BTreeSet<u64> = self.claims.iter().map(|c| c.term).collect();
        self.terms = terms.len();
        let outdated = |old: &&Claim| {
            let newer = |new: &Claim| new.term > old.term && new.told < old.asked;
            let twin = |new: &Claim| new.term == old.term && new.daemon != old.daemon;
            self.claims.iter().any(|new| newer(new) || twin(new))
        };
        self.doubled = self.claims.iter().filter(outdated).count() as u64;
    }
}

async fn watch_one(
    daemon: usize,
    address: SocketAddr,
    control: bool,
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Watched>>,
) {
    let caller = Caller::new().within(LIMIT);
    let mut newest = 0;
    while !stop.load(Ordering::SeqCst) {
        let asked = Instant::now();
        if let Ok(gauges) = Gauges::read(&caller, address).await {
            let mut seen = seen.lock().expect("no holder of this lock panics");
            if gauges.leased {
                seen.reverted += u64::from(gauges.revision < newest);
                newest = newest.max(gauges.revision);
            }
            if control && gauges.charge > 0 {
                seen.claims.push(Claim {
                    daemon,
                    term: gauges.charge,
                    asked,
                    told: Instant::now(),
                });
            }
        }
        task::sleep(POLL).await;
    }
}
