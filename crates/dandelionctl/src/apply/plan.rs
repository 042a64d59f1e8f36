//! The difference between the cell and a file.

use dandelion_rpc::generated::Job;
use dandelion_rpc::generated::Service;
use dandelion_rpc::generated::Team;
use similar::TextDiff;

use super::file::FileConfig;

/// Unchanged lines shown around a change.
const CONTEXT_LINES: usize = 3;

/// One change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Creates or replaces a team.
    PutTeam(Team),
    /// Creates or replaces a service.
    PutService(Service),
    /// Creates or changes a job.
    PutJob(Job),
    /// Ends a job.
    EndJob(String),
    /// Removes a service.
    RemoveService(String),
    /// Removes a team.
    RemoveTeam(String),
}

/// Changes that make the cell equal to a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The changes, in an order in which each is valid.
    pub steps: Vec<Step>,
    /// The difference as text.
    pub diff: String,
}

/// Compares the cell with a file. What the file does not list is kept unless `prune` is set.
pub fn plan(seen: &FileConfig, wanted: &FileConfig, prune: bool) -> Plan {
    let target = target(seen, wanted, prune);
    let steps = steps(seen, &target);
    let (old, new) = (seen.to_toml(), target.to_toml());
    let diff = TextDiff::from_lines(&old, &new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header("in force", "wanted")
        .to_string();
    Plan { steps, diff }
}

fn target(seen: &FileConfig, wanted: &FileConfig, prune: bool) -> FileConfig {
    let mut target = wanted.clone();
    for job in &mut target.jobs {
        let known = seen.jobs.iter().find(|known| known.id == job.id);
        job.ended = known.is_some_and(|known| known.ended);
    }
    keep_jobs(seen, &mut target, prune);
    if !prune {
        keep(&seen.teams, &mut target.teams, |team| &team.id);
        keep(&seen.services, &mut target.services, |service| &service.id);
    }
    target.sort();
    target
}

/// Jobs are never removed, only ended.
fn keep_jobs(seen: &FileConfig, target: &mut FileConfig, prune: bool) {
    let listed = target.jobs.len();
    keep(&seen.jobs, &mut target.jobs, |job| &job.id);
    for job in &mut target.jobs[listed..] {
        job.ended |= prune;
    }
}

fn keep<R, F>(seen: &[R], target: &mut Vec<R>, name: F)
where
    R: Clone,
    F: Fn(&R) -> &String,
{
    for record in seen {
        if !target.iter().any(|listed| name(listed) == name(record)) {
            target.push(record.clone());
        }
    }
}

fn steps(seen: &FileConfig, target: &FileConfig) -> Vec<Step> {
    let teams = changed(&seen.teams, &target.teams).map(Step::PutTeam);
    let services = changed(&seen.services, &target.services).map(Step::PutService);
    let jobs = changed(&seen.jobs, &target.jobs).map(|job| {
        if job.ended {
            Step::EndJob(job.id)
        } else {
            Step::PutJob(job)
        }
    });
    let services_gone = gone(&seen.services, &target.services, |service| &service.id);
    let teams_gone = gone(&seen.teams, &target.teams, |team| &team.id);
    teams
        .chain(services)
        .chain(jobs)
        .chain(services_gone.map(Step::RemoveService))
        .chain(teams_gone.map(Step::RemoveTeam))
        .collect()
}

fn changed<'a, R>(seen: &'a [R], target: &'a [R]) -> impl Iterator<Item = R> + 'a
where
    R: PartialEq + Clone,
{
    let differs = |record: &&R| !seen.contains(record);
    target.iter().filter(differs).cloned()
}

fn gone<'a, R, F>(seen: &'a [R], target: &'a [R], name: F) -> impl Iterator<Item = String> + 'a
where
    F: Fn(&R) -> &String + Copy + 'a,
{
    let names = seen.iter().map(name);
    names
        .filter(move |known| !target.iter().any(|listed| name(listed) == *known))
        .cloned()
}
