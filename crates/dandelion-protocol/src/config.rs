//! The operators' configuration: teams, keys, services, jobs and drain marks.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
use crate::ids::Incarnation;
use crate::ids::JobId;
use crate::ids::KeyId;
use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::ids::UpstreamId;
use crate::ids::WeightVersion;
use crate::ids::ZoneId;
use crate::time::Millis;
use crate::time::WallMillis;
use crate::upstream::UpstreamKind;

/// Name of the replicated table that holds [`Config`].
pub const CONFIG_TABLE: &str = "config";

/// A tenant and its limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Identity.
    pub id: TeamId,
    /// Share of contended capacity relative to other teams, at least 1.
    pub weight: u32,
    /// Requests that may run at once, or no limit.
    pub max_inflight: Option<u32>,
    /// Generated tokens a minute, or no limit.
    pub token_rate: Option<u64>,
}

/// A granted key. The secret itself is stored nowhere.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public name.
    pub id: KeyId,
    /// Team that it stands for.
    pub team: TeamId,
    /// SHA-256 digest of the secret.
    #[serde(with = "serde_bytes")]
    pub digest: Vec<u8>,
    /// Services that it opens; empty opens all of the team's.
    pub scopes: Vec<ServiceId>,
    /// When it stops working, if ever.
    pub expires: Option<WallMillis>,
}

/// A routed service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Identity, and first path segment after `/v1/`.
    pub id: ServiceId,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Whether callers without a key are served.
    pub open: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Time a request may take in all.
    pub timeout: Millis,
    /// Upstreams wanted at the least in each zone, by the fleet planner.
    pub floor: u32,
    /// Upstreams wanted at the most in each zone.
    pub ceiling: u32,
}

/// A rollout job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identity.
    pub id: JobId,
    /// Team that is billed.
    pub team: TeamId,
    /// Model service whose engines generate the samples.
    pub service: ServiceId,
    /// Samples in a group.
    pub group_size: u32,
    /// Groups in a training step.
    pub step_groups: u32,
    /// Versions that a sample may lag behind the newest published one.
    pub max_staleness: u64,
    /// Generated tokens that may be spent in all.
    pub token_budget: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Scoring service, if any.
    pub scorer: Option<ServiceId>,
    /// Whether it has been ended.
    pub ended: bool,
}

/// A daemon as known to the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity.
    pub id: DaemonId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Mesh address as `ip:port`.
    pub address: String,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Set while it hands over before it stops.
    pub leaving: bool,
    /// What it is there for.
    #[serde(default)]
    pub role: Role,
    /// Name of the VM that it runs on, where that differs from the daemon's.
    #[serde(default)]
    pub host: String,
}

/// What a daemon is there for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes callers' requests.
    #[default]
    Entry,
    /// Holds the replicated state of the cell.
    Control,
    /// Stores batch jobs.
    Store,
}

/// The configuration as spread to every daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Teams.
    pub teams: BTreeMap<TeamId, Team>,
    /// Keys in force; a withdrawn key is absent.
    pub keys: BTreeMap<KeyId, Key>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Rollout jobs, ended ones included.
    pub jobs: BTreeMap<JobId, Job>,
    /// Newest published weight version of each job.
    pub versions: BTreeMap<JobId, WeightVersion>,
    /// Upstreams under a drain mark, with the boot that the mark is for.
    pub drains: BTreeMap<UpstreamId, Incarnation>,
    /// Fingerprints of requests that are refused everywhere.
    pub poisoned: BTreeMap<u64, WallMillis>,
}

/// A change of [`Config`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigCommand {
    /// Creates or replaces a team.
    PutTeam(Team),
    /// Removes a team with all its keys; refused while a job of it runs.
    RemoveTeam(TeamId),
    /// Grants a key; refused if the name exists.
    GrantKey(Key),
    /// Withdraws a key.
    WithdrawKey(KeyId),
    /// Creates or replaces a service.
    PutService(Service),
    /// Removes a service; refused while a job uses it.
    RemoveService(ServiceId),
    /// Creates or changes a job.
    PutJob(Job),
    /// Ends a job.
    EndJob(JobId),
    /// Publishes a weight version; a lower one than the newest is refused.
    PublishVersion(JobId, WeightVersion),
    /// Marks one boot of an upstream as leaving.
    Drain(UpstreamId, Incarnation),
    /// Forgets a drain mark of an upstream that is gone.
    ForgetDrain(UpstreamId, Incarnation),
    /// Blocks a request fingerprint.
    Poison(u64),
    /// Lifts a block.
    Unpoison(u64),
}
