//! The control leader is killed and suspended in turn while operators make changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_std::task;
use async_std::task::JoinHandle;
use dandelion_fakes::platform::Platform;
use dandelion_fakes::platform::PlatformConfig;
use dandelion_rpc::generated as rpc;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::CellOperator;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::DiskProbe;
use crate::cluster::Gauges;
use crate::scenarios::leadership::LeaderMonitor;

const CONTROL: usize = 3;
const DAEMONS: usize = 5;
const WRITERS: usize = 4;
const ROUNDS: usize = 3;
const WRITE_INTERVAL: Duration = Duration::from_millis(10);
const PAUSE_TIME: Duration = Duration::from_millis(4500);
const DOWN_TIME: Duration = Duration::from_millis(4500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One in this many changes of a writer creates a new team; all of these teams must exist at the
/// end. Its other changes update one team.
const CREATE_EVERY: u32 = 10;

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_takeover(seed))
}

/// Outcomes of the writers' changes.
#[derive(Debug, Default)]
struct WriteLog {
    /// Time and revision of each accepted change.
    accepted: Vec<(Instant, u64)>,
    /// Ids of the created teams.
    created: BTreeSet<String>,
    /// Number of each writer's last accepted update, by team id.
    last: BTreeMap<String, u32>,
    unanswered: u64,
    errors: BTreeSet<String>,
}

type SharedLog = Arc<Mutex<WriteLog>>;

async fn run_takeover(seed: u64) -> anyhow::Result<Value> {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform = Platform::bind(PlatformConfig::default()).await?;
    let config = ClusterConfig {
        daemons: DAEMONS,
        platform: Some(platform.local_addr()),
        window_s: 1,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::spawn(config).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let log = SharedLog::default();
    let writers = spawn_writers(&cluster, &log, &stop);
    let monitor = LeaderMonitor::spawn(cluster.addresses(), CONTROL);
    let disk = DiskProbe::spawn()?;
    let mut killed = Vec::new();
    let mut paused = Vec::new();
    for _ in 0..ROUNDS {
        random_pause(&mut rng).await;
        killed.push(kill_leader(&mut cluster, &log).await?);
        random_pause(&mut rng).await;
        paused.push(pause_leader(&cluster, &log).await?);
    }
    stop.store(true, Ordering::SeqCst);
    for writer in writers {
        writer.await;
    }
    let record = monitor.stop().await;
    let disk_sync = disk.stop()?.as_secs_f64();
    let lost = lost_changes(&cluster, &log).await?;
    let counts = platform.counts();
    let log = log.lock().expect("no holder of this lock panics");
    let revisions: BTreeSet<u64> = log.accepted.iter().map(|a| a.1).collect();
    for error in &log.errors {
        eprintln!("takeover: {error}");
    }
    let mut all = [killed.clone(), paused.clone()].concat();
    all.sort_by(f64::total_cmp);
    Ok(json!({
        "scenario": "takeover",
        "kind": "processes",
        "daemons": DAEMONS,
        "rounds": all.len(),
        "takeover_s_p50": all[all.len() / 2],
        "takeover_s_max": all[all.len() - 1],
        "disk_sync_s_max": disk_sync,
        "killed_s": killed,
        "paused_s": paused,
        "accepted": log.accepted.len(),
        "unanswered": log.unanswered,
        "doubled_revisions": log.accepted.len() - revisions.len(),
        "lost_changes": lost,
        "reverted": record.reverted,
        "double_leaders": record.overlaps + counts.stale_orders + counts.conflicts,
        "terms": record.terms,
        "usage_windows": counts.windows,
        "usage_conflicts": counts.conflicts,
    }))
}

async fn random_pause(rng: &mut StdRng) {
    task::sleep(Duration::from_millis(rng.random_range(800..1600))).await;
}

fn spawn_writers(
    cluster: &Cluster,
    log: &SharedLog,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    // Writers use only daemons that stay up, as behind a load balancer with health checks.
    let plain: Vec<SocketAddr> = (CONTROL..DAEMONS).map(|d| cluster.http(d)).collect();
    let spawn = |writer: usize| {
        let mut daemons = plain.clone();
        daemons.rotate_left(writer % plain.len());
        let operator = CellOperator::new(&daemons);
        let (log, stop) = (Arc::clone(log), Arc::clone(stop));
        task::spawn(async move {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                number += 1;
                write_change(&operator, &log, writer, number).await;
                task::sleep(WRITE_INTERVAL).await;
            }
        })
    };
    (0..WRITERS).map(spawn).collect()
}

async fn write_change(operator: &CellOperator, log: &SharedLog, writer: usize, number: u32) {
    let created = number.is_multiple_of(CREATE_EVERY);
    let id = if created {
        format!("kept-{writer}-{number}")
    } else {
        format!("writer-{writer}")
    };
    let request = rpc::PutTeamRequest {
        change: operator.change(),
        team: Some(rpc::Team {
            id: id.clone(),
            weight: 1,
            max_inflight: Some(number),
            token_rate: None,
        }),
    };
    let answer = operator.client().put_team(&request).await;
    let mut log = log.lock().expect("no holder of this lock panics");
    match answer {
        Ok(answer) => {
            log.accepted.push((Instant::now(), answer.revision));
            if created {
                log.created.insert(id);
            } else {
                log.last.insert(id, number);
            }
        }
        Err(error) => {
            log.unanswered += 1;
            log.errors.insert(error.to_string());
        }
    }
}

async fn kill_leader(cluster: &mut Cluster, log: &SharedLog) -> anyhow::Result<f64> {
    let leader = find_leader(cluster).await?;
    let since = Instant::now();
    cluster.kill(leader)?;
    task::sleep(DOWN_TIME).await;
    let gap = longest_gap(log, since);
    cluster.start(leader)?;
    cluster.wait_ready().await?;
    Ok(gap)
}

async fn pause_leader(cluster: &Cluster, log: &SharedLog) -> anyhow::Result<f64> {
    let leader = find_leader(cluster).await?;
    let since = Instant::now();
    cluster.pause(leader)?;
    task::sleep(PAUSE_TIME).await;
    let gap = longest_gap(log, since);
    cluster.resume(leader)?;
    cluster.wait_ready().await?;
    Ok(gap)
}

/// Returns the longest time without an accepted change from `since` until now, in seconds.
fn longest_gap(log: &SharedLog, since: Instant) -> f64 {
    let log = log.lock().expect("no holder of this lock panics");
    let times = log.accepted.iter().map(|a| a.0).filter(|at| *at > since);
    let mut last = since;
    let mut longest = Duration::ZERO;
    for at in times.chain([Instant::now()]) {
        longest = longest.max(at - last);
        last = at;
    }
    longest.as_secs_f64()
}

async fn find_leader(cluster: &Cluster) -> anyhow::Result<usize> {
    let caller = Caller::new().with_timeout(Duration::from_secs(1));
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for index in 0..CONTROL {
            let gauges = Gauges::read(&caller, cluster.http(index)).await;
            if gauges.is_ok_and(|g| g.leader_term > 0) {
                return Ok(index);
            }
        }
        task::sleep(POLL_INTERVAL).await;
    }
    None.context("no daemon leads the control group")
}

/// Counts accepted changes that a daemon lacks at the end, summed over all daemons.
async fn lost_changes(cluster: &Cluster, log: &SharedLog) -> anyhow::Result<u64> {
    let (created, last, newest) = {
        let log = log.lock().expect("no holder of this lock panics");
        let newest = log.accepted.iter().map(|a| a.1).max().unwrap_or(0);
        (log.created.clone(), log.last.clone(), newest)
    };
    let mut missing = 0;
    for address in cluster.addresses() {
        let operator = CellOperator::new(&[address]);
        let held = read_teams(&operator, newest).await?;
        missing += created.iter().filter(|id| !held.contains_key(*id)).count() as u64;
        let outdated =
            |(id, number): &(&String, &u32)| held.get(*id).is_none_or(|held| held < number);
        missing += last.iter().filter(outdated).count() as u64;
    }
    Ok(missing)
}

/// Returns each team's `max_inflight` once the daemon has reached revision `newest`, or after 5 s.
async fn read_teams(operator: &CellOperator, newest: u64) -> anyhow::Result<BTreeMap<String, u32>> {
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        let answer = operator.client().list_teams(&rpc::ListRequest {}).await?;
        if answer.revision >= newest || Instant::now() > until {
            let teams = answer.teams.into_iter();
            return Ok(teams.map(|t| (t.id, t.max_inflight.unwrap_or(0))).collect());
        }
        task::sleep(POLL_INTERVAL).await;
    }
}
