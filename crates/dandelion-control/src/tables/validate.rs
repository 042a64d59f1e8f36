//! Validation of configuration records before they are stored.

use std::collections::BTreeMap;
use std::fmt::Display;

use dandelion_protocol::config::Config;
use dandelion_protocol::config::Job;
use dandelion_protocol::config::Key;
use dandelion_protocol::config::Service;
use dandelion_protocol::config::Team;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::upstream::UpstreamKind;

use crate::keys::DIGEST_BYTES;

/// Most teams in one configuration.
pub const MAX_TEAMS: usize = 4096;

/// Most keys that are granted and not withdrawn.
pub const MAX_KEYS: usize = 65_536;

/// Most services in one configuration.
pub const MAX_SERVICES: usize = 1024;

/// Most jobs, ended ones included.
pub const MAX_JOBS: usize = 4096;

/// Most services in the scopes of one key.
pub const MAX_SCOPES: usize = 256;

/// Greatest weight of a team; the least is 1.
pub const MAX_WEIGHT: u32 = 1000;

/// Longest timeout of a service.
pub const MAX_TIMEOUT: Millis = Millis::from_secs(24 * 60 * 60);

/// Greatest ceiling of a service: the most upstreams that may be requested in one zone.
pub const MAX_CEILING: u32 = 10_000;

/// Makes the rejection for a record that does not exist.
pub fn missing<T>(kind: &str, name: &T) -> Rejection
where
    T: Display,
{
    Rejection::NotFound {
        what: format!("{kind} `{name}`"),
    }
}

fn require(holds: bool, field: &str, reason: &str, remedy: &str) -> Result<(), Rejection> {
    if holds {
        return Ok(());
    }
    Err(Rejection::invalid(field, reason, remedy))
}

/// Checks that a record may be added: it exists already, or there are fewer than `limit`.
fn check_limit<K, V>(
    records: &BTreeMap<K, V>,
    id: &K,
    limit: usize,
    kind: &str,
) -> Result<(), Rejection>
where
    K: Ord,
{
    let fits = records.len() < limit || records.contains_key(id);
    require(
        fits,
        kind,
        &format!("there are {limit} already"),
        "remove one that is not needed",
    )
}

/// Checks a team that is to be created or replaced.
pub fn team(config: &Config, team: &Team) -> Result<(), Rejection> {
    check_limit(&config.teams, &team.id, MAX_TEAMS, "team")?;
    let range = "use 1 to 1000";
    let weighted = (1..=MAX_WEIGHT).contains(&team.weight);
    require(weighted, "weight", "it is out of range", range)?;
    let zero = "use 1 or more, or leave it out for no limit";
    let positive = team.max_inflight != Some(0);
    require(
        positive,
        "max_inflight",
        "zero would refuse everything",
        zero,
    )?;
    let positive = team.token_rate != Some(0);
    require(positive, "token_rate", "zero would refuse everything", zero)
}

/// Checks a key that is to be granted at time `at`.
pub fn key(config: &Config, key: &Key, at: WallMillis) -> Result<(), Rejection> {
    check_limit(&config.keys, &key.id, MAX_KEYS, "key")?;
    if !config.teams.contains_key(&key.team) {
        return Err(missing("team", &key.team));
    }
    let full_length = key.digest.len() == DIGEST_BYTES;
    require(
        full_length,
        "digest",
        "it has not 32 bytes",
        "send the SHA-256 of the secret",
    )?;
    let unused = config.keys.values().all(|known| known.digest != key.digest);
    require(
        unused,
        "digest",
        "another key has this secret",
        "draw a new secret",
    )?;
    let scoped = key.scopes.len() <= MAX_SCOPES;
    require(
        scoped,
        "scopes",
        "there are more than 256",
        "grant several keys",
    )?;
    if let Some(scope) = key.scopes.iter().find(|s| !config.services.contains_key(s)) {
        return Err(missing("service", scope));
    }
    let unexpired = key.expires.is_none_or(|expires| expires > at);
    require(
        unexpired,
        "expires",
        "it is in the past",
        "choose a later time",
    )
}

/// Checks a service that is to be created or replaced.
pub fn service(config: &Config, service: &Service) -> Result<(), Rejection> {
    check_limit(&config.services, &service.id, MAX_SERVICES, "service")?;
    let timed = service.timeout > Millis::ZERO && service.timeout <= MAX_TIMEOUT;
    require(timed, "timeout", "it is out of range", "use 1 ms to 24 h")?;
    let ordered = service.floor <= service.ceiling && service.ceiling <= MAX_CEILING;
    let remedy = "use floor <= ceiling <= 10000";
    require(ordered, "ceiling", "it is out of range", remedy)?;
    let jobs = config.jobs.values();
    let mut users = jobs.filter(|job| !job.ended && job.service == service.id);
    let fits = service.kind == UpstreamKind::Engine || users.next().is_none();
    require(
        fits,
        "kind",
        "a running job needs engines",
        "end the job first",
    )
}

/// Checks a job that is to be created or replaced.
pub fn job(config: &Config, job: &Job) -> Result<(), Rejection> {
    check_limit(&config.jobs, &job.id, MAX_JOBS, "job")?;
    if !config.teams.contains_key(&job.team) {
        return Err(missing("team", &job.team));
    }
    let service = config.services.get(&job.service);
    let service = service.ok_or_else(|| missing("service", &job.service))?;
    let engine = service.kind == UpstreamKind::Engine;
    require(
        engine,
        "service",
        "it has no engines",
        "name a service of engines",
    )?;
    if let Some(scorer) = &job.scorer {
        let known = config.services.contains_key(scorer);
        known
            .then_some(())
            .ok_or_else(|| missing("service", scorer))?;
    }
    let sized = job.group_size > 0 && job.step_groups > 0 && job.max_tokens > 0;
    let remedy = "use 1 or more for group_size, step_groups and max_tokens";
    require(sized, "group_size", "a size is zero", remedy)?;
    let Some(known) = config.jobs.get(&job.id) else {
        return Ok(());
    };
    let same = known.team == job.team;
    require(same, "team", "a job keeps its team", "create another job")?;
    let open = !known.ended || job.ended;
    require(
        open,
        "ended",
        "an ended job stays ended",
        "create another job",
    )
}

/// Checks a weight version that is to be published for a job; it must exceed the newest one.
pub fn version(config: &Config, id: &JobId, version: WeightVersion) -> Result<(), Rejection> {
    let job = config.jobs.get(id).ok_or_else(|| missing("job", id))?;
    require(!job.ended, "job", "it has ended", "create another job")?;
    let newest = config.versions.get(id);
    let newer = newest.is_none_or(|newest| *newest < version);
    let remedy = "publish a version greater than the newest";
    require(
        newer,
        "version",
        "it is not greater than the newest",
        remedy,
    )
}
