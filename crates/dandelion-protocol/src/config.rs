//! The operators' configuration: teams, keys, services, jobs, drained upstreams and blocked
//! requests.

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
    /// Unique name.
    pub id: TeamId,
    /// Share of contended capacity relative to other teams, from 1 to 1000.
    pub weight: u32,
    /// Requests that may run concurrently; none for no limit.
    pub max_inflight: Option<u32>,
    /// Generated tokens per minute; none for no limit.
    pub token_rate: Option<u64>,
}

/// A granted key. Its secret is not stored, only the secret's digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public name; it is never granted again, not even after a withdrawal.
    pub id: KeyId,
    /// Team of the callers that use it.
    pub team: TeamId,
    /// SHA-256 digest of the secret, 32 bytes.
    #[serde(with = "serde_bytes")]
    pub digest: Vec<u8>,
    /// Services that it gives access to; empty for all.
    pub scopes: Vec<ServiceId>,
    /// When it expires; none for never.
    pub expires: Option<WallMillis>,
}

/// A routed service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, and first path segment after `/v1/`.
    pub id: ServiceId,
    /// Kind of its upstreams.
    pub kind: UpstreamKind,
    /// Whether callers without a key are served.
    pub open: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request may take in total; at most 24 hours.
    pub timeout: Millis,
    /// Minimum number of upstreams in each zone, for the fleet planner.
    pub floor: u32,
    /// Maximum number of upstreams in each zone; 0 excludes the service from fleet planning.
    pub ceiling: u32,
}

/// A rollout job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Unique name.
    pub id: JobId,
    /// Team that is billed; fixed once the job exists.
    pub team: TeamId,
    /// Model service whose engines generate the samples.
    pub service: ServiceId,
    /// Samples in a group, all generated from one prompt.
    pub group_size: u32,
    /// Groups in a training step, and so in a batch that the trainer pulls.
    pub step_groups: u32,
    /// Weight versions that a sample may lag behind the newest published one.
    pub max_staleness: u64,
    /// Generated tokens that may be spent in total.
    pub token_budget: u64,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Service that scores the samples; none if they are not scored.
    pub scorer: Option<ServiceId>,
    /// Whether an operator has ended it; never unset.
    pub ended: bool,
}

/// A daemon that has joined the cell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Unique name.
    pub id: DaemonId,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Mesh address as `ip:port`.
    pub address: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether it is transferring its work to others before it stops.
    pub leaving: bool,
    /// Part of the cell's work that it does.
    #[serde(default)]
    pub role: Role,
    /// Name by which operators refer to its VM, from its settings; empty if not set.
    #[serde(default)]
    pub host: String,
}

/// Role of a daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves callers' requests, without a replica of any state.
    #[default]
    Entry,
    /// Holds a replica of the cell's control state.
    Control,
    /// Stores batch jobs.
    Store,
}

/// The configuration, as replicated to every daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Teams by name.
    pub teams: BTreeMap<TeamId, Team>,
    /// Keys by name; withdrawn ones are absent, expired ones are not.
    pub keys: BTreeMap<KeyId, Key>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Rollout jobs, ended ones included.
    pub jobs: BTreeMap<JobId, Job>,
    /// Newest published weight version of each job.
    pub versions: BTreeMap<JobId, WeightVersion>,
    /// Upstreams with a drain mark, and the incarnation that the mark applies to.
    pub drains: BTreeMap<UpstreamId, Incarnation>,
    /// Fingerprints of requests that every daemon refuses, with the time of the block.
    pub poisoned: BTreeMap<u64, WallMillis>,
}

/// A change of [`Config`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigCommand {
    /// Creates or replaces a team.
    PutTeam(Team),
    /// Removes a team with all its keys; rejected while one of its jobs is not ended.
    RemoveTeam(TeamId),
    /// Grants a key; rejected if one of this name was ever granted.
    GrantKey(Key),
    /// Withdraws a key.
    WithdrawKey(KeyId),
    /// Creates or replaces a service.
    PutService(Service),
    /// Removes a service; rejected while a job that is not ended uses it.
    RemoveService(ServiceId),
    /// Creates or replaces a job; its team cannot change, and an ended job stays ended.
    PutJob(Job),
    /// Ends a job.
    EndJob(JobId),
    /// Publishes a weight version; rejected unless it is greater than the newest.
    PublishVersion(JobId, WeightVersion),
    /// Marks one incarnation of an upstream to be drained; rejected if a later one is marked.
    Drain(UpstreamId, Incarnation),
    /// Removes the drain mark of an upstream; rejected if it is for another incarnation.
    ForgetDrain(UpstreamId, Incarnation),
    /// Blocks the requests with a fingerprint.
    Poison(u64),
    /// Removes the block of a fingerprint.
    Unpoison(u64),
}
