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
    /// Jobs of the file that have ended; they stay as they are.
    pub ended: Vec<String>,
}

impl Plan {
    /// Writes the difference, and what the file asks for in vain.
    pub fn text(&self) -> String {
        let mut text = self.diff.clone();
        for name in &self.ended {
            text.push_str("note: job `");
            text.push_str(name);
            text.push_str("` has ended and stays as it is; take it out of the file\n");
        }
        text
    }
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
    let ended = ended_jobs(seen, wanted);
    let ended = ended.map(|job| job.id.clone()).collect();
    Plan { steps, diff, ended }
}

fn target(seen: &FileConfig, wanted: &FileConfig, prune: bool) -> FileConfig {
    let mut target = wanted.clone();
    for ended in ended_jobs(seen, wanted) {
        target.jobs.retain(|job| job.id != ended.id);
        target.jobs.push(ended.clone());
    }
    keep_jobs(seen, &mut target, prune);
    if !prune {
        keep(&seen.teams, &mut target.teams, |team| &team.id);
        keep(&seen.services, &mut target.services, |service| &service.id);
    }
    target.sort();
    target
}

/// Returns the jobs of the cell that have ended and that the file lists.
fn ended_jobs<'a>(seen: &'a FileConfig, wanted: &'a FileConfig) -> impl Iterator<Item = &'a Job> {
    let listed = |known: &&Job| wanted.jobs.iter().any(|job| job.id == known.id);
    seen.jobs.iter().filter(|job| job.ended).filter(listed)
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
