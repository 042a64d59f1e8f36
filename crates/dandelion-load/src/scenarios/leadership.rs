//! Monitors which daemons claim to lead the control group and which revisions they serve.

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

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait for a daemon's metrics; a suspended daemon answers only after it is resumed.
const POLL_TIMEOUT: Duration = Duration::from_secs(6);

/// Results of the monitoring.
#[derive(Debug, Clone, Default)]
pub struct LeaderRecord {
    /// Leader claims for an old term after a newer one was claimed, or for one term by two daemons.
    pub overlaps: u64,
    /// Readings in which a daemon with a lease serves an older revision than it did before.
    pub reverted: u64,
    /// Number of distinct terms that were claimed.
    pub terms: usize,
    claims: Vec<LeaderClaim>,
}

#[derive(Debug, Clone, Copy)]
struct LeaderClaim {
    daemon: usize,
    term: u64,
    sent_at: Instant,
    received_at: Instant,
}

/// Polls every daemon's metrics until it is stopped.
#[derive(Debug)]
pub struct LeaderMonitor {
    stop: Arc<AtomicBool>,
    record: Arc<Mutex<LeaderRecord>>,
    tasks: Vec<JoinHandle<()>>,
}

impl LeaderMonitor {
    /// Starts polling. The first `control` daemons are the control daemons, one of which leads.
    pub fn spawn(daemons: Vec<SocketAddr>, control: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let record = Arc::new(Mutex::new(LeaderRecord::default()));
        let poll = |(index, address): (usize, SocketAddr)| {
            let (stop, record) = (Arc::clone(&stop), Arc::clone(&record));
            task::spawn(poll_daemon(index, address, index < control, stop, record))
        };
        let tasks = daemons.into_iter().enumerate().map(poll).collect();
        Self {
            stop,
            record,
            tasks,
        }
    }

    /// Stops polling and returns the results.
    pub async fn stop(self) -> LeaderRecord {
        self.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await;
        }
        let mut record = self.record.lock().expect("no holder panics").clone();
        record.check_claims();
        record
    }
}

impl LeaderRecord {
    /// Computes `terms` and `overlaps`. A claim of an old term counts as an overlap only if it was
    /// requested after a claim of a newer term was received.
    fn check_claims(&mut self) {
        let terms: BTreeSet<u64> = self.claims.iter().map(|c| c.term).collect();
        self.terms = terms.len();
        let outdated = |old: &&LeaderClaim| {
            let newer = |new: &LeaderClaim| new.term > old.term && new.received_at < old.sent_at;
            let duplicate = |new: &LeaderClaim| new.term == old.term && new.daemon != old.daemon;
            self.claims.iter().any(|new| newer(new) || duplicate(new))
        };
        self.overlaps = self.claims.iter().filter(outdated).count() as u64;
    }
}

async fn poll_daemon(
    daemon: usize,
    address: SocketAddr,
    control: bool,
    stop: Arc<AtomicBool>,
    record: Arc<Mutex<LeaderRecord>>,
) {
    let caller = Caller::new().with_timeout(POLL_TIMEOUT);
    let mut newest = 0;
    while !stop.load(Ordering::SeqCst) {
        let sent_at = Instant::now();
        if let Ok(gauges) = Gauges::read(&caller, address).await {
            let mut record = record.lock().expect("no holder of this lock panics");
            if gauges.leased {
                record.reverted += u64::from(gauges.revision < newest);
                newest = newest.max(gauges.revision);
            }
            if control && gauges.leader_term > 0 {
                record.claims.push(LeaderClaim {
                    daemon,
                    term: gauges.leader_term,
                    sent_at,
                    received_at: Instant::now(),
                });
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
}
