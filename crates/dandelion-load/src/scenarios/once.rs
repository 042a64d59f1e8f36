//! Claimed requests are resent concurrently through all daemons while daemons are killed and
//! paused, and streams run on engines that crash.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::plain::Plain;
use dandelion_net::http::client::SendError;
use dandelion_protocol::ids::Incarnation;
use dandelion_rpc::generated as rpc;
use futures::future::join_all;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Answer;
use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::setup;

const DAEMONS: usize = 5;
const CONTROL: usize = 3;
const ZONES: [&str; 2] = ["z0", "z1"];
const RUN_TIME: Duration = Duration::from_secs(24);
const CLAIMERS: usize = 8;
const STREAMERS: usize = 8;
const MAX_RESENDS: usize = 6;
const TOKENS: u32 = 60;
const TOKEN_TIME: Duration = Duration::from_millis(4);
const BOND_DELAY: Duration = Duration::from_millis(30);
const ROUND_INTERVAL: Duration = Duration::from_millis(2_500);
const DOWN_TIME: Duration = Duration::from_millis(1_500);
const CAPACITY: u32 = 32;
const ENGINES: usize = 4;

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_once(seed))
}

#[derive(Debug, Clone, Default)]
struct Figures {
    claims: u64,
    calls: u64,
    answered: u64,
    false_not_run: u64,
    wrong_caller: u64,
    cut_answers: u64,
    streams_whole: u64,
    streams_broken: u64,
    streams_refused: u64,
    unreachable: u64,
}

impl Figures {
    fn add(mut self, other: &Self) -> Self {
        self.claims += other.claims;
        self.calls += other.calls;
        self.answered += other.answered;
        self.false_not_run += other.false_not_run;
        self.wrong_caller += other.wrong_caller;
        self.cut_answers += other.cut_answers;
        self.streams_whole += other.streams_whole;
        self.streams_broken += other.streams_broken;
        self.streams_refused += other.streams_refused;
        self.unreachable += other.unreachable;
        self
    }
}

/// State shared by all callers.
struct Shared {
    caller: Caller,
    daemons: Vec<std::net::SocketAddr>,
    bonds: Vec<Plain>,
    stop: AtomicBool,
}

async fn run_once(seed: u64) -> anyhow::Result<Value> {
    let mut cluster = Cluster::spawn(ClusterConfig {
        daemons: DAEMONS,
        zones: ZONES.len(),
        control: CONTROL,
        ..ClusterConfig::default()
    })
    .await?;
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site-1", "builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    operator.put_service("bonds", "plain", false, false).await?;
    let mut engines = start_engines(&cluster).await?;
    let shared = Arc::new(Shared {
        caller: Caller::new().with_key(&secret),
        daemons: cluster.addresses(),
        bonds: start_bonds(&cluster).await?,
        stop: AtomicBool::new(false),
    });
    let claimers = (0..CLAIMERS).map(|i| task::spawn(claim_all(Arc::clone(&shared), seed, i)));
    let streamers = (0..STREAMERS).map(|i| task::spawn(stream_all(Arc::clone(&shared), seed, i)));
    let work: Vec<_> = claimers.chain(streamers).collect();
    let faults = inject_faults(&mut cluster, &mut engines, seed).await?;
    shared.stop.store(true, Ordering::SeqCst);
    let figures = join_all(work).await;
    let total = figures.iter().fold(Figures::default(), Figures::add);
    let ran_twice = duplicate_runs(&shared.bonds);
    Ok(json!({
        "scenario": "once",
        "kind": "processes",
        "ran_twice": ran_twice,
        "false_not_run": total.false_not_run,
        "wrong_caller": total.wrong_caller,
        "cut_answers": total.cut_answers,
        "claims": total.claims,
        "calls": total.calls,
        "answered": total.answered,
        "streams_whole": total.streams_whole,
        "streams_broken": total.streams_broken,
        "streams_refused": total.streams_refused,
        "daemon_unreachable": total.unreachable,
        "daemons_killed": faults.killed,
        "leaders_paused": faults.paused,
        "engines_crashed": faults.crashed,
    }))
}

/// Counts idempotency keys that were executed more than once, by one upstream or by both.
fn duplicate_runs(bonds: &[Plain]) -> usize {
    let at_one: usize = bonds.iter().map(Plain::repeated_keys).sum();
    let keys = bonds[0].keys();
    let at_two = keys.iter().filter(|key| bonds[1].runs(key) > 0);
    at_one + at_two.count()
}

async fn start_bonds(cluster: &Cluster) -> anyhow::Result<Vec<Plain>> {
    let mut bonds = Vec::new();
    for zone in ZONES {
        let name = format!("bond-{zone}");
        let identity = setup::identity(&name, zone, "bonds", &cluster.in_zone(zone));
        bonds.push(setup::plain(identity, CAPACITY, BOND_DELAY).await?);
        setup::wait_owner(cluster, &name).await?;
    }
    Ok(bonds)
}

async fn start_engines(cluster: &Cluster) -> anyhow::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        engines.push(start_engine(cluster, index, 1).await?);
        setup::wait_owner(cluster, &format!("engine-{index}")).await?;
    }
    Ok(engines)
}

async fn start_engine(cluster: &Cluster, index: usize, boot: u64) -> anyhow::Result<Engine> {
    let zone = ZONES[index % ZONES.len()];
    let daemons = cluster.in_zone(zone);
    let mut identity = setup::identity(&format!("engine-{index}"), zone, "draft", &daemons);
    identity.boot = Incarnation(boot);
    let mut config = EngineConfig::new(identity);
    config.token_time = TOKEN_TIME;
    Ok(Engine::bind(config).await?)
}

#[derive(Debug, Default)]
struct Faults {
    killed: u64,
    paused: u64,
    crashed: u64,
}

/// In each round crashes an engine and, alternately, pauses the leader or kills a random daemon.
/// Resumes or restarts them after `DOWN_TIME`.
async fn inject_faults(
    cluster: &mut Cluster,
    engines: &mut [Engine],
    seed: u64,
) -> anyhow::Result<Faults> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults = Faults::default();
    let until = Instant::now() + RUN_TIME;
    let mut round: u64 = 1;
    while Instant::now() < until {
        task::sleep(ROUND_INTERVAL).await;
        round += 1;
        let crashed = rng.random_range(0..engines.len());
        engines[crashed].crash();
        faults.crashed += 1;
        let leader = if round.is_multiple_of(2) {
            leader(cluster).await
        } else {
            None
        };
        if let Some(leader) = leader {
            cluster.pause(leader)?;
            faults.paused += 1;
        }
        let killed = rng.random_range(0..DAEMONS);
        let kill_daemon = leader.is_none();
        if kill_daemon {
            cluster.kill(killed)?;
            faults.killed += 1;
        }
        task::sleep(DOWN_TIME).await;
        if let Some(leader) = leader {
            cluster.resume(leader)?;
        }
        if kill_daemon {
            cluster.start(killed)?;
        }
        engines[crashed] = start_engine(cluster, crashed, round).await?;
    }
    Ok(faults)
}

async fn leader(cluster: &Cluster) -> Option<usize> {
    let client = cluster.operator().client();
    let request = rpc::ListRequest::default();
    let status = client.control_status(&request).await.ok()?;
    cluster.position(&status.leader)
}

async fn claim_all(shared: Arc<Shared>, seed: u64, worker: usize) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed ^ (worker as u64) << 32);
    let mut figures = Figures::default();
    while !shared.stop.load(Ordering::SeqCst) {
        Box::pin(claim_one(&shared, worker, &mut rng, &mut figures)).await;
    }
    figures
}

/// Sends one request through two daemons concurrently, then resends it through others until it is
/// answered.
async fn claim_one(shared: &Shared, worker: usize, rng: &mut StdRng, figures: &mut Figures) {
    let id = format!("{}-bond-{worker}-{}", setup::unix_seconds(), figures.claims);
    let caller = shared.caller.clone().with("idempotency-key", &id);
    let body = json!({ "bond": id });
    figures.claims += 1;
    let count = shared.daemons.len();
    let first = rng.random_range(0..count);
    let mut answers = Vec::new();
    let send = |to: usize| caller.post(shared.daemons[to % count], "/v1/bonds/issue", &body);
    let (one, two) = futures::join!(send(first), send(first + 1));
    answers.extend([one, two]);
    for resend in 0..MAX_RESENDS {
        let last = answers.last().expect("two requests were sent");
        if last.as_ref().is_ok_and(|a| a.status == 200) {
            break;
        }
        task::sleep(Duration::from_millis(100)).await;
        answers.push(send(first + 2 + resend).await);
    }
    for answer in answers {
        figures.calls += 1;
        check_claim(shared, &body, &answer, figures);
    }
}

fn check_claim(
    shared: &Shared,
    body: &Value,
    answer: &Result<Answer, SendError>,
    figures: &mut Figures,
) {
    let Ok(answer) = answer else {
        return;
    };
    if answer.status == 200 {
        figures.answered += 1;
        let echoed: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        figures.wrong_caller += u64::from(echoed != *body);
    }
    let Some(call) = answer.request_id.as_deref().filter(|_| answer.is_not_run()) else {
        return;
    };
    let reached = shared
        .bonds
        .iter()
        .any(|b| b.requests().containing(call) > 0);
    figures.false_not_run += u64::from(reached);
}

async fn stream_all(shared: Arc<Shared>, seed: u64, worker: usize) -> Figures {
    let mut rng = StdRng::seed_from_u64(seed ^ (worker as u64) << 40);
    let mut figures = Figures::default();
    while !shared.stop.load(Ordering::SeqCst) {
        let prompt = format!("{worker} asks {}", rng.random::<u64>());
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
        let to = shared.daemons[rng.random_range(0..shared.daemons.len())];
        let answer = shared.caller.post(to, "/v1/draft/generate", &body).await;
        check_stream(&prompt, &answer, &mut figures);
        if !answer.is_ok_and(|a| a.status == 200) {
            task::sleep(Duration::from_millis(100)).await;
        }
    }
    figures
}

fn check_stream(prompt: &str, answer: &Result<Answer, SendError>, figures: &mut Figures) {
    let answer = match answer {
        Ok(answer) => answer,
        Err(SendError::NotSent(_)) => {
            figures.unreachable += 1;
            return;
        }
        Err(SendError::Unknown(_)) => {
            figures.streams_broken += 1;
            return;
        }
    };
    if answer.status != 200 {
        figures.streams_refused += 1;
        return;
    }
    let complete = setup::expected(prompt, TOKENS);
    let (text, done) = answer.tokens();
    if (text.as_str(), done) == (complete.as_str(), true) {
        figures.streams_whole += 1;
    } else if complete.starts_with(&text) {
        figures.cut_answers += 1;
    } else {
        figures.wrong_caller += 1;
    }
}
