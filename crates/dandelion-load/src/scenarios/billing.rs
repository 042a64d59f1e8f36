//! Under load, the leader is killed and suspended while usage windows close, and plain daemons are
//! killed.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_std::task;
use async_std::task::JoinHandle;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::platform::Platform;
use dandelion_fakes::platform::PlatformConfig;
use dandelion_net::clock;
use dandelion_net::http::client::SendError;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::Gauges;
use crate::scenarios::bill::Bill;
use crate::scenarios::bill::Call;
use crate::scenarios::bill::CallLog;
use crate::scenarios::bill::Kill;

const CONTROL: usize = 3;
const DAEMONS: usize = 6;
const ZONES: [&str; 3] = ["z0", "z1", "z2"];
const ROUNDS: usize = 2;
const TOKENS: u32 = 16;
const WINDOW_S: u64 = 1;
const PAUSE_TIME: Duration = Duration::from_millis(4500);

/// Time from the leader's suspension to the kill of a plain daemon, before a new leader is elected.
const KILL_DELAY: Duration = Duration::from_millis(1500);

const DOWN_TIME: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Longest wait of a caller; a suspended daemon answers only after it is resumed.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Time after the last call in which its window and late usage are reported.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_billing(seed))
}

async fn run_billing(seed: u64) -> anyhow::Result<Value> {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform = Platform::bind(PlatformConfig::default()).await?;
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: DAEMONS,
        control: CONTROL,
        platform: Some(platform.local_addr()),
        window_s: WINDOW_S,
        ..ClusterConfig::default()
    })
    .await?;
    let engines = start_engines(&cluster).await?;
    let secrets = configure(&cluster).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = spawn_callers(&cluster, &secrets, seed, &stop);
    let mut kills = Vec::new();
    for _ in 0..ROUNDS {
        random_pause(&mut rng).await;
        let leader = find_leader(&cluster).await?;
        kills.push(kill(&mut cluster, leader).await?);
        random_pause(&mut rng).await;
        let plain = rng.random_range(CONTROL..DAEMONS);
        kills.push(pause_leader(&mut cluster, plain).await?);
        random_pause(&mut rng).await;
        let plain = rng.random_range(CONTROL..DAEMONS);
        kills.push(kill(&mut cluster, plain).await?);
    }
    random_pause(&mut rng).await;
    stop.store(true, Ordering::SeqCst);
    let mut log = CallLog::default();
    for caller in callers {
        log.calls.extend(caller.await);
    }
    task::sleep(SETTLE_TIME).await;
    let bill = Bill::read(&platform.usage(), WINDOW_S)?;
    let generated: u64 = engines.iter().map(|e| e.counts().tokens).sum();
    let tally = log.compare(&bill, &kills);
    Ok(json!({
        "scenario": "charge",
        "kind": "processes",
        "daemons": DAEMONS,
        "kills": kills.len(),
        "suspensions": ROUNDS,
        "answers_whole": tally.complete,
        "answers_failed": tally.failed,
        "tokens_delivered": tally.delivered,
        "tokens_billed": tally.billed,
        "tokens_generated": generated,
        "tokens_missing": tally.missing,
        "tokens_uncopied": tally.uncopied,
        "tokens_uncopied_bound": tally.bound,
        "tokens_doubled": tally.doubled.max(bill.output().saturating_sub(generated)),
        "windows": bill.windows,
        "windows_differing": bill.differing,
        "windows_skipped": bill.skipped,
        "windows_late": bill.late,
        "late_s_max": bill.late_s_max,
        "reports_by_two": bill.by_two,
        "terms": bill.terms,
    }))
}

fn zone_of(index: usize) -> &'static str {
    ZONES[index % ZONES.len()]
}

/// Returns the service of a zone. Each zone has its own, so that a kill can lose only the usage of
/// its zone.
fn service(zone: &str) -> String {
    format!("draft-{zone}")
}

async fn random_pause(rng: &mut StdRng) {
    task::sleep(Duration::from_millis(rng.random_range(800..1800))).await;
}

async fn start_engines(cluster: &Cluster) -> anyhow::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for zone in ZONES {
        let daemons = cluster.in_zone(zone);
        let mut identity = Identity::new(&format!("engine-{zone}"), zone, &service(zone), &daemons);
        identity.period = Duration::from_millis(300);
        let mut config = EngineConfig::new(identity);
        config.token_time = Duration::from_millis(2);
        engines.push(Engine::bind(config).await?);
    }
    Ok(engines)
}

/// Creates a team for each daemon's caller, so that usage lost by one daemon can't hide usage that
/// another one bills twice.
async fn configure(cluster: &Cluster) -> anyhow::Result<Vec<String>> {
    let operator = cluster.operator();
    for zone in ZONES {
        let service = service(zone);
        operator
            .put_service(&service, "engine", false, true)
            .await?;
    }
    let mut secrets = Vec::new();
    for index in 0..cluster.len() {
        let team = format!("team-{index}");
        operator.put_team(&team).await?;
        secrets.push(operator.grant_key(&format!("key-{index}"), &team).await?);
    }
    Ok(secrets)
}

fn spawn_callers(
    cluster: &Cluster,
    secrets: &[String],
    seed: u64,
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<Vec<Call>>> {
    let spawn = |(index, secret): (usize, &String)| {
        let to = cluster.http(index);
        let caller = Caller::new().with_key(secret).with_timeout(CALL_TIMEOUT);
        let stop = Arc::clone(stop);
        let zone = zone_of(index);
        let path = format!("/v1/{}/generate", service(zone));
        task::spawn(async move {
            let mut calls = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let prompt = format!("prompt {seed} {index} {}", calls.len());
                let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
                let answer = caller.post(to, &path, &body).await;
                let expected: String = (0..TOKENS).map(|i| engine::token(&prompt, i)).collect();
                let complete = matches!(&answer, Ok(a) if a.tokens() == (expected, true));
                let started = match answer {
                    Ok(answer) => answer.status == 200,
                    Err(error) => !matches!(error, SendError::NotSent(_)),
                };
                calls.push(Call {
                    team: format!("team-{index}"),
                    zone,
                    tokens: u64::from(TOKENS) * u64::from(started),
                    ended: clock::boot_now(),
                    complete,
                });
                task::sleep(CALL_INTERVAL).await;
            }
            calls
        })
    };
    secrets.iter().enumerate().map(spawn).collect()
}

/// Kills a daemon, restarts it after `DOWN_TIME` and returns the kill.
async fn kill(cluster: &mut Cluster, index: usize) -> anyhow::Result<Kill> {
    let at = clock::boot_now();
    cluster.kill(index)?;
    task::sleep(DOWN_TIME).await;
    cluster.start(index)?;
    cluster.wait_ready().await?;
    let zone = zone_of(index);
    Ok(Kill { at, zone })
}

/// Suspends the leader while windows close, and kills a plain daemon before there is a new leader.
async fn pause_leader(cluster: &mut Cluster, plain: usize) -> anyhow::Result<Kill> {
    let leader = find_leader(cluster).await?;
    cluster.pause(leader)?;
    task::sleep(KILL_DELAY).await;
    let at = clock::boot_now();
    cluster.kill(plain)?;
    task::sleep(PAUSE_TIME).await;
    cluster.resume(leader)?;
    cluster.start(plain)?;
    cluster.wait_ready().await?;
    let zone = zone_of(plain);
    Ok(Kill { at, zone })
}

/// Returns the index of the control daemon that leads the control group.
pub async fn find_leader(cluster: &Cluster) -> anyhow::Result<usize> {
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
