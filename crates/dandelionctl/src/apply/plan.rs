//! The difference between the cell and a file.

use dandelion_rpc::generated::Job;
use dandelion_rpc::generated::Service;
use dandelion_rpc::generated::Team;
use similar::TextDiff;

use super::file::FileConfig;

/// Unchanged lines shown around a change.
const CONTEXT_LINES: usize = 3;

/// One change of the cell's configuration.
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
    /// Unified diff between the configurations as TOML; empty if they are equal.
    pub diff: String,
    /// Names of the jobs that the file lists but that have ended; they are not changed.
    pub ended: Vec<String>,
}

impl Plan {
    /// Returns the difference, with a note for each listed job that has ended.
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

/// Compares the cell with a file. Records that the file does not list are retained; if `prune` is
/// set, teams and services among them are removed and jobs are ended.
pub fn plan(cell: &FileConfig, desired: &FileConfig, prune: bool) -> Plan {
    let target = target(cell, desired, prune);
    let steps = steps(cell, &target);
    let (old, new) = (cell.to_toml(), target.to_toml());
    let diff = TextDiff::from_lines(&old, &new)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header("in force", "wanted")
        .to_string();
    let ended = ended_jobs(cell, desired);
    let ended = ended.map(|job| job.id.clone()).collect();
    Plan { steps, diff, ended }
}

fn target(cell: &FileConfig, desired: &FileConfig, prune: bool) -> FileConfig {
    let mut target = desired.clone();
    for ended in ended_jobs(cell, desired) {
        target.jobs.retain(|job| job.id != ended.id);
        target.jobs.push(ended.clone());
    }
    retain_jobs(cell, &mut target, prune);
    if !prune {
        retain_unlisted(&cell.teams, &mut target.teams, |team| &team.id);
        retain_unlisted(&cell.services, &mut target.services, |service| &service.id);
    }
    target.sort();
    target
}

/// Returns the jobs of the cell that have ended and that the file lists.
fn ended_jobs<'a>(cell: &'a FileConfig, desired: &'a FileConfig) -> impl Iterator<Item = &'a Job> {
    let listed = |known: &&Job| desired.jobs.iter().any(|job| job.id == known.id);
    cell.jobs.iter().filter(|job| job.ended).filter(listed)
}

/// Adds the jobs that the file does not list. Jobs are never removed: `prune` ends them.
fn retain_jobs(cell: &FileConfig, target: &mut FileConfig, prune: bool) {
    let listed = target.jobs.len();
    retain_unlisted(&cell.jobs, &mut target.jobs, |job| &job.id);
    for job in &mut target.jobs[listed..] {
        job.ended |= prune;
    }
}

fn retain_unlisted<R, F>(cell: &[R], target: &mut Vec<R>, name: F)
where
    R: Clone,
    F: Fn(&R) -> &String,
{
    for record in cell {
        if !target.iter().any(|listed| name(listed) == name(record)) {
            target.push(record.clone());
        }
    }
}

fn steps(cell: &FileConfig, target: &FileConfig) -> Vec<Step> {
    let teams = changed(&cell.teams, &target.teams).map(Step::PutTeam);
    let services = changed(&cell.services, &target.services).map(Step::PutService);
    let jobs = changed(&cell.jobs, &target.jobs).map(|job| {
        if job.ended {
            Step::EndJob(job.id)
        } else {
            Step::PutJob(job)
        }
    });
    let removed_services = removed(&cell.services, &target.services, |service| &service.id);
    let removed_teams = removed(&cell.teams, &target.teams, |team| &team.id);
    teams
        .chain(services)
        .chain(jobs)
        .chain(removed_services.map(Step::RemoveService))
        .chain(removed_teams.map(Step::RemoveTeam))
        .collect()
}

fn changed<'a, R>(cell: &'a [R], target: &'a [R]) -> impl Iterator<Item = R> + 'a
where
    R: PartialEq + Clone,
{
    let differs = |record: &&R| !cell.contains(record);
    target.iter().filter(differs).cloned()
}

fn removed<'a, R, F>(cell: &'a [R], target: &'a [R], name: F) -> impl Iterator<Item = String> + 'a
where
    F: Fn(&R) -> &String + Copy + 'a,
{
    let names = cell.iter().map(name);
    names
        .filter(move |known| !target.iter().any(|listed| name(listed) == *known))
        .cloned()
}
