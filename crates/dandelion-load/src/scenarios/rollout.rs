//! Trainers on shared daemons: versions are published while samples run, an engine crashes, and
//! batches are pulled again through other daemons.

use std::collections::BTreeSet;
use std::fmt::Write;
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
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::Sample;
use dandelion_rpc::generated as rpc;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;

const TRAINERS: usize = 2;
const STEPS: u64 = 8;
const GROUP_SIZE: u32 = 4;
const STEP_GROUPS: u32 = 4;
const TOKENS: u32 = 24;
const MAX_STALENESS: u64 = 2;
const TOKEN_BUDGET: u64 = 200_000;
const TRAIN_TIME: Duration = Duration::from_millis(400);
const RUN_TIMEOUT: Duration = Duration::from_secs(45);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_rollout(seed))
}

#[derive(Debug, Default)]
struct Figures {
    samples: u64,
    doubled: u64,
    wrong: u64,
    stale: u64,
    unpublished: u64,
    changed_batches: u64,
    void_batches: u64,
    staleness_sum: u64,
    /// Time that the trainer waited for answers to its pulls.
    idle: Duration,
    elapsed: Duration,
}

async fn run_rollout(seed: u64) -> anyhow::Result<Value> {
    let cluster = Cluster::spawn(ClusterConfig::default()).await?;
    let mut engines = Vec::new();
    for trainer in 0..TRAINERS {
        engines.extend(start_engines(&cluster, trainer).await?);
    }
    let mut trainers = Vec::new();
    for trainer in 0..TRAINERS {
        trainers.push(create_trainer(&cluster, trainer, seed).await?);
    }
    let crash = crash_one(&engines);
    let runs = futures::future::join_all(trainers.into_iter().map(Trainer::run));
    let (results, ()) = futures::join!(runs, crash);
    let mut total = Figures::default();
    for result in results {
        match result {
            Ok(figures) => add(&mut total, &figures),
            Err(error) => bail!("{error:#}\n{}", progress(&cluster).await?),
        }
    }
    let spent = tokens_spent(&cluster).await?;
    Ok(json!({
        "scenario": "rollout",
        "kind": "processes",
        "trainers": TRAINERS,
        "samples": total.samples,
        "samples_doubled": total.doubled,
        "samples_lost": TRAINERS as u64 * STEPS * u64::from(STEP_GROUPS * GROUP_SIZE) - total.samples,
        "samples_stale": total.stale,
        "samples_wrong_text": total.wrong,
        "samples_unpublished_version": total.unpublished,
        "batches_changed_on_resend": total.changed_batches,
        "void_batches": total.void_batches,
        "staleness_mean": total.staleness_sum as f64 / total.samples.max(1) as f64,
        "trainer_idle_share": total.idle.as_secs_f64() / total.elapsed.as_secs_f64().max(0.001),
        "budget_overspent": spent.saturating_sub(TOKEN_BUDGET),
    }))
}

fn add(total: &mut Figures, one: &Figures) {
    total.samples += one.samples;
    total.doubled += one.doubled;
    total.wrong += one.wrong;
    total.stale += one.stale;
    total.unpublished += one.unpublished;
    total.changed_batches += one.changed_batches;
    total.void_batches += one.void_batches;
    total.staleness_sum += one.staleness_sum;
    total.idle += one.idle;
    total.elapsed += one.elapsed;
}

async fn start_engines(cluster: &Cluster, trainer: usize) -> anyhow::Result<Vec<Engine>> {
    let mut engines = Vec::new();
    for zone in ["z0", "z1", "z2"] {
        let name = format!("engine-{trainer}-{zone}");
        let service = format!("model-{trainer}");
        let mut identity = Identity::new(&name, zone, &service, &cluster.in_zone(zone));
        identity.period = Duration::from_millis(250);
        let mut config = EngineConfig::new(identity);
        config.version = WeightVersion(0);
        config.token_time = Duration::from_millis(4);
        config.load_time = Duration::from_millis(150);
        engines.push(Engine::bind(config).await?);
    }
    Ok(engines)
}

/// Crashes the first engine 3 seconds after the start of the run.
async fn crash_one(engines: &[Engine]) {
    task::sleep(Duration::from_secs(3)).await;
    if let Some(engine) = engines.first() {
        engine.crash();
    }
}

struct Trainer {
    caller: Caller,
    daemons: Vec<SocketAddr>,
    job: String,
    name: String,
    figures: Figures,
    /// Group and index of each sample received.
    received: BTreeSet<(u64, u32)>,
    /// Last published weight version.
    version: u64,
    /// Last answer to a pull, for the error message.
    last_answer: String,
}

async fn create_trainer(cluster: &Cluster, trainer: usize, seed: u64) -> anyhow::Result<Trainer> {
    let operator = cluster.operator();
    let team = format!("team-{trainer}");
    let service = format!("model-{trainer}");
    let job = format!("job-{trainer}");
    operator.put_team(&team).await?;
    let secret = operator.grant_key(&format!("key-{trainer}"), &team).await?;
    operator
        .put_service(&service, "engine", false, true)
        .await?;
    operator
        .put_job(rpc::Job {
            id: job.clone(),
            team,
            service,
            group_size: GROUP_SIZE,
            step_groups: STEP_GROUPS,
            max_staleness: MAX_STALENESS,
            token_budget: TOKEN_BUDGET,
            max_tokens: TOKENS,
            scorer: None,
            ended: false,
        })
        .await?;
    Ok(Trainer {
        caller: Caller::new().with_key(&secret),
        daemons: cluster.addresses(),
        job,
        name: format!("trainer-{trainer}-{seed}"),
        figures: Figures::default(),
        received: BTreeSet::new(),
        version: 0,
        last_answer: String::new(),
    })
}

impl Trainer {
    async fn run(mut self) -> anyhow::Result<Figures> {
        self.publish().await?;
        let groups = STEPS * u64::from(STEP_GROUPS);
        let prompts: Vec<String> = (0..groups).map(|g| format!("{} {g}", self.job)).collect();
        self.post_ok("prompts", &json!({ "first": 0, "prompts": prompts }))
            .await?;
        let started = Instant::now();
        let expected = groups * u64::from(GROUP_SIZE);
        let mut cursor = 0;
        let mut skipped = false;
        while (self.received.len() as u64) < expected {
            if started.elapsed() > RUN_TIMEOUT {
                let last_answer = &self.last_answer;
                bail!(
                    "{}: {} of {expected} samples; {last_answer}",
                    self.job,
                    self.received.len()
                );
            }
            let pulled_at = Instant::now();
            let pull = json!({
                "trainer": self.name, "cursor": cursor, "skipped": skipped, "wait": 5000,
            });
            let answer = self.pull(cursor, &pull).await?;
            self.last_answer = format!("last answer {} {:.200}", answer.status, answer.text());
            match answer.status {
                200 => {
                    self.figures.idle += pulled_at.elapsed();
                    let batch: Batch = serde_json::from_slice(&answer.body)?;
                    self.check_resend(cursor, &pull, &answer.body).await?;
                    self.check(&batch);
                    cursor = batch.next;
                    skipped = false;
                    task::sleep(TRAIN_TIME).await;
                    self.publish().await?;
                }
                410 => {
                    let void: Value = serde_json::from_slice(&answer.body)?;
                    self.figures.void_batches += 1;
                    cursor = void["next"]
                        .as_u64()
                        .context("a void batch gives the next cursor")?;
                    skipped = true;
                }
                _ => {
                    self.figures.idle += pulled_at.elapsed();
                    task::sleep(POLL_INTERVAL).await;
                }
            }
        }
        self.figures.elapsed = started.elapsed();
        Ok(self.figures)
    }

    async fn pull(&self, cursor: u64, body: &Value) -> anyhow::Result<crate::cluster::Answer> {
        let to = self.daemons[cursor as usize % self.daemons.len()];
        let path = format!("/v1/jobs/{}/batch", self.job);
        Ok(self.caller.post(to, &path, body).await?)
    }

    /// Pulls the same cursor through another daemon. The body must be the same, unless the batch
    /// has become void in the meantime.
    async fn check_resend(
        &mut self,
        cursor: u64,
        body: &Value,
        bytes: &[u8],
    ) -> anyhow::Result<()> {
        let resent = self.pull(cursor + 1, body).await?;
        let same = resent.status != 200 || resent.body == bytes;
        self.figures.changed_batches += u64::from(!same);
        Ok(())
    }

    async fn publish(&mut self) -> anyhow::Result<()> {
        self.version += 1;
        self.post_ok("versions", &json!({ "version": self.version }))
            .await
    }

    async fn post_ok(&self, verb: &str, body: &Value) -> anyhow::Result<()> {
        let until = Instant::now() + RUN_TIMEOUT;
        let path = format!("/v1/jobs/{}/{verb}", self.job);
        loop {
            let answer = self.caller.post(self.daemons[0], &path, body).await?;
            if answer.status == 200 {
                return Ok(());
            }
            if Instant::now() > until {
                bail!("{path} answered {}: {}", answer.status, answer.text());
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    fn check(&mut self, batch: &Batch) {
        for group in &batch.groups {
            for sample in &group.samples {
                self.check_sample(&group.prompt, group.group, sample);
            }
        }
    }

    fn check_sample(&mut self, prompt: &str, group: u64, sample: &Sample) {
        let figures = &mut self.figures;
        figures.samples += 1;
        figures.doubled += u64::from(!self.received.insert((group, sample.id.index)));
        let text: String = (0..TOKENS).map(|i| engine::token(prompt, i)).collect();
        figures.wrong += u64::from(sample.text != text);
        let versions = || sample.segments.iter().map(|s| s.version.0);
        let oldest = versions().min().unwrap_or(0);
        let newest = versions().max().unwrap_or(0);
        figures.unpublished += u64::from(newest > self.version);
        let age = self.version.saturating_sub(oldest);
        figures.stale += u64::from(age > MAX_STALENESS);
        figures.staleness_sum += age;
    }
}

/// Describes every daemon's view of the jobs and upstreams, for the error message.
async fn progress(cluster: &Cluster) -> anyhow::Result<String> {
    let mut text = String::new();
    for index in 0..cluster.len() {
        let client = crate::cluster::CellOperator::new(&[cluster.http(index)]).client();
        for trainer in 0..TRAINERS {
            let name = format!("job-{trainer}");
            let job = client.get_job(&rpc::GetJobRequest { name }).await?;
            writeln!(text, "{index}: {} {:?}", job.daemon, job.progress)?;
        }
        let request = rpc::ListUpstreamsRequest::default();
        for upstream in client.list_upstreams(&request).await?.upstreams {
            writeln!(text, "{index}: {upstream:?}")?;
        }
    }
    Ok(text)
}

/// Returns the most tokens that one of the jobs has spent.
async fn tokens_spent(cluster: &Cluster) -> anyhow::Result<u64> {
    let client = cluster.operator().client();
    let mut most = 0;
    for trainer in 0..TRAINERS {
        let request = rpc::GetJobRequest {
            name: format!("job-{trainer}"),
        };
        let progress = client.get_job(&request).await?.progress;
        most = most.max(progress.map_or(0, |p| p.tokens_spent));
    }
    Ok(most)
}
