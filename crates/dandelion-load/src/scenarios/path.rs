//! End-to-end run through three daemons: operator, callers, trainer and usage report.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use async_std::task;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::plain::Plain;
use dandelion_fakes::plain::PlainConfig;
use dandelion_fakes::platform::Platform;
use dandelion_fakes::platform::PlatformConfig;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::Sample;
use dandelion_rpc::generated as rpc;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;

const ENGINE_CALLS: usize = 60;
const TOKENS: u32 = 16;
/// Requests with an idempotency key.
const CLAIMS: usize = 10;
const GROUPS: u64 = 12;
const GROUP_SIZE: u32 = 4;
const STEP_GROUPS: u32 = 4;
const PHASE_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_path(seed))
}

#[derive(Debug, Default)]
struct Figures {
    answers_ok: u64,
    answers_wrong: u64,
    refused_wrongly: u64,
    admitted_wrongly: u64,
    ran_twice: u64,
    samples_ok: u64,
    samples_wrong: u64,
    samples_doubled: u64,
}

async fn run_path(seed: u64) -> anyhow::Result<Value> {
    let platform = Platform::bind(PlatformConfig::default()).await?;
    let cluster = Cluster::spawn(ClusterConfig {
        platform: Some(platform.local_addr()),
        ..ClusterConfig::default()
    })
    .await?;
    let secret = configure(&cluster).await?;
    let upstreams = start_upstreams(&cluster).await?;
    let caller = Caller::new().with_key(&secret);
    wait_served(&cluster, &caller).await?;
    let mut figures = Figures::default();
    call_engines(&cluster, &caller, seed, &mut figures).await;
    call_once(&cluster, &caller, &upstreams, &mut figures).await;
    train(&cluster, &caller, &mut figures).await?;
    let counts = wait_usage(&platform).await;
    Ok(json!({
        "scenario": "path",
        "kind": "processes",
        "daemons": cluster.len(),
        "answers_ok": figures.answers_ok,
        "answers_wrong": figures.answers_wrong,
        "refused_wrongly": figures.refused_wrongly,
        "admitted_wrongly": figures.admitted_wrongly,
        "ran_twice": figures.ran_twice,
        "samples_ok": figures.samples_ok,
        "samples_wrong": figures.samples_wrong,
        "samples_doubled": figures.samples_doubled,
        "usage_windows": counts.windows,
        "usage_conflicts": counts.conflicts,
    }))
}

async fn configure(cluster: &Cluster) -> anyhow::Result<String> {
    let operator = cluster.operator();
    operator.put_team("builders").await?;
    let secret = operator.grant_key("site-1", "builders").await?;
    operator.put_service("draft", "engine", false, true).await?;
    operator.put_service("portal", "plain", true, true).await?;
    operator.put_service("bonds", "plain", false, false).await?;
    operator
        .put_job(rpc::Job {
            id: "claims".to_owned(),
            team: "builders".to_owned(),
            service: "draft".to_owned(),
            group_size: GROUP_SIZE,
            step_groups: STEP_GROUPS,
            max_staleness: 1,
            token_budget: 1_000_000,
            max_tokens: TOKENS,
            scorer: None,
            ended: false,
        })
        .await?;
    Ok(secret)
}

struct Upstreams {
    _engines: Vec<Engine>,
    _portal: Plain,
    bonds: Vec<Plain>,
}

async fn start_upstreams(cluster: &Cluster) -> anyhow::Result<Upstreams> {
    let mut engines = Vec::new();
    let mut bonds = Vec::new();
    for zone in ["z0", "z1", "z2"] {
        let daemons = cluster.in_zone(zone);
        let identity = identity(&format!("engine-{zone}"), zone, "draft", &daemons);
        let mut config = EngineConfig::new(identity);
        config.token_time = Duration::from_millis(1);
        engines.push(Engine::bind(config).await?);
        let identity = self::identity(&format!("bond-{zone}"), zone, "bonds", &daemons);
        bonds.push(plain(identity).await?);
    }
    let portal = identity("portal-z0", "z0", "portal", &cluster.in_zone("z0"));
    Ok(Upstreams {
        _engines: engines,
        _portal: plain(portal).await?,
        bonds,
    })
}

fn identity(name: &str, zone: &str, service: &str, daemons: &[SocketAddr]) -> Identity {
    let mut identity = Identity::new(name, zone, service, daemons);
    identity.period = Duration::from_millis(300);
    identity
}

async fn plain(identity: Identity) -> std::io::Result<Plain> {
    Plain::bind(PlainConfig {
        identity,
        capacity: 8,
        delay: Duration::from_millis(2),
    })
    .await
}

async fn wait_served(cluster: &Cluster, caller: &Caller) -> anyhow::Result<()> {
    let until = Instant::now() + PHASE_TIMEOUT;
    wait_claims(cluster, caller, until).await?;
    for index in 0..cluster.len() {
        loop {
            let body = json!({ "prompt": "warm", "max_tokens": 1 });
            let engine = caller
                .post(cluster.http(index), "/v1/draft/generate", &body)
                .await;
            let portal = caller.get(cluster.http(index), "/v1/portal/status").await;
            let served =
                |a: &Result<crate::cluster::Answer, _>| a.as_ref().is_ok_and(|a| a.status == 200);
            if served(&engine) && served(&portal) {
                break;
            }
            if Instant::now() > until {
                bail!(
                    "daemon {index} serves no upstream: {engine:?} {portal:?}\n{}",
                    cluster.log(index)
                );
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Waits until every daemon serves requests with an idempotency key.
async fn wait_claims(cluster: &Cluster, caller: &Caller, until: Instant) -> anyhow::Result<()> {
    for index in 0..cluster.len() {
        let id = format!("{}-warm-{index}", unix_seconds());
        let caller = caller.clone().with("idempotency-key", &id);
        loop {
            let body = json!({ "warm": index });
            let to = cluster.http(index);
            let answer = caller.post(to, "/v1/bonds/issue", &body).await;
            if answer.as_ref().is_ok_and(|a| a.status == 200) {
                break;
            }
            if Instant::now() > until {
                bail!("daemon {index} serves no claimed requests: {answer:?}");
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn unix_seconds() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}

fn expected(prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| engine::token(prompt, index))
        .collect()
}

async fn call_engines(cluster: &Cluster, caller: &Caller, seed: u64, figures: &mut Figures) {
    let anonymous = Caller::new();
    for call in 0..ENGINE_CALLS {
        let to = cluster.http(call % cluster.len());
        let prompt = format!("prompt {seed} {call}");
        let body = json!({ "prompt": prompt, "max_tokens": TOKENS });
        match caller.post(to, "/v1/draft/generate", &body).await {
            Ok(answer) if answer.tokens() == (expected(&prompt, TOKENS), true) => {
                figures.answers_ok += 1;
            }
            Ok(answer) if answer.status != 200 => figures.refused_wrongly += 1,
            _ => figures.answers_wrong += 1,
        }
        let refused = anonymous.post(to, "/v1/draft/generate", &body).await;
        figures.admitted_wrongly += u64::from(!refused.is_ok_and(|a| a.status == 401));
        let open = anonymous.get(to, "/v1/portal/status").await;
        figures.refused_wrongly += u64::from(!open.is_ok_and(|a| a.status == 200));
    }
}

/// Sends each claimed request through two daemons, one after the other. It must run once and both
/// answers must have the same body.
async fn call_once(
    cluster: &Cluster,
    caller: &Caller,
    upstreams: &Upstreams,
    figures: &mut Figures,
) {
    let seconds = unix_seconds();
    for claim in 0..CLAIMS {
        let id = format!("{seconds}-bond-{claim}");
        let caller = caller.clone().with("idempotency-key", &id);
        let body = json!({ "bond": claim });
        let first = caller.post(
            cluster.http(claim % cluster.len()),
            "/v1/bonds/issue",
            &body,
        );
        let first = first.await;
        let resent = caller.post(
            cluster.http((claim + 1) % cluster.len()),
            "/v1/bonds/issue",
            &body,
        );
        let resent = resent.await;
        let runs: u64 = upstreams.bonds.iter().map(|b| b.runs(&id)).sum();
        figures.ran_twice += u64::from(runs > 1);
        match (first, resent) {
            (Ok(first), Ok(resent)) if first.status == 200 && first.body == resent.body => {
                figures.answers_ok += 1;
            }
            (first, resent) => {
                figures.answers_wrong += 1;
                eprintln!("claim {id} ran {runs} times: {first:?}, then {resent:?}");
            }
        }
    }
}

async fn train(cluster: &Cluster, caller: &Caller, figures: &mut Figures) -> anyhow::Result<()> {
    let to = cluster.http(0);
    post_ok(
        caller,
        to,
        "/v1/jobs/claims/versions",
        &json!({ "version": 1 }),
    )
    .await?;
    let prompts: Vec<String> = (0..GROUPS).map(|g| format!("rollout {g}")).collect();
    let feed = json!({ "first": 0, "prompts": prompts });
    post_ok(caller, to, "/v1/jobs/claims/prompts", &feed).await?;
    let mut cursor = 0;
    let mut received = BTreeSet::new();
    let until = Instant::now() + PHASE_TIMEOUT;
    while (received.len() as u64) < GROUPS * u64::from(GROUP_SIZE) {
        if Instant::now() > until {
            bail!("only {} samples arrived in time", received.len());
        }
        let via = cluster.http(cursor as usize % cluster.len());
        let pull = json!({ "trainer": "trainer-1", "cursor": cursor, "wait": 2000 });
        let answer = caller.post(via, "/v1/jobs/claims/batch", &pull).await?;
        if answer.status != 200 {
            task::sleep(POLL_INTERVAL).await;
            continue;
        }
        let batch: Batch = serde_json::from_slice(&answer.body)?;
        let resent = caller.post(to, "/v1/jobs/claims/batch", &pull).await?;
        figures.samples_wrong += u64::from(resent.body != answer.body);
        check_batch(&batch, &mut received, figures);
        cursor = batch.next;
    }
    Ok(())
}

async fn post_ok(caller: &Caller, to: SocketAddr, path: &str, body: &Value) -> anyhow::Result<()> {
    let until = Instant::now() + PHASE_TIMEOUT;
    loop {
        let answer = caller.post(to, path, body).await.context("no answer")?;
        if answer.status == 200 {
            return Ok(());
        }
        if Instant::now() > until {
            bail!("{path} answered {}: {}", answer.status, answer.text());
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

fn check_batch(batch: &Batch, received: &mut BTreeSet<(u64, u32)>, figures: &mut Figures) {
    for group in &batch.groups {
        for sample in &group.samples {
            figures.samples_doubled += u64::from(!received.insert((group.group, sample.id.index)));
            if is_correct(&group.prompt, sample) {
                figures.samples_ok += 1;
            } else {
                figures.samples_wrong += 1;
            }
        }
    }
}

fn is_correct(prompt: &str, sample: &Sample) -> bool {
    let complete = sample.segments.first().is_some_and(|s| s.start == 0)
        && sample.segments.last().is_some_and(|s| s.end == TOKENS);
    let version = sample.segments.iter().all(|s| s.version.0 == 1);
    complete && version && sample.text == expected(prompt, TOKENS)
}

async fn wait_usage(platform: &Platform) -> dandelion_fakes::platform::PlatformCounts {
    let until = Instant::now() + PHASE_TIMEOUT;
    while platform.counts().windows < 2 && Instant::now() < until {
        task::sleep(POLL_INTERVAL).await;
    }
    platform.counts()
}
