//! Execution of a plan. Each change expects the revision that the previous one produced.

use std::io;
use std::io::BufRead;
use std::io::Write;
use std::time::Duration;

use dandelion_protocol::ids::RequestId;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::generated::Change;
use dandelion_rpc::generated::ChangeAnswer;
use dandelion_rpc::generated::NameRequest;
use dandelion_rpc::generated::PutJobRequest;
use dandelion_rpc::generated::PutServiceRequest;
use dandelion_rpc::generated::PutTeamRequest;

use super::cell::CellConfig;
use super::cell::read_cell;
use super::file::FileConfig;
use super::plan::Plan;
use super::plan::Step;
use super::plan::plan;
use crate::error::CtlError;
use crate::session::Session;

/// Number of times that lagging lists are read again before they are used as they are.
const MAX_REREADS: u32 = 15;

/// Delay before lagging lists are read again.
const REREAD_DELAY: Duration = Duration::from_millis(200);

/// Conflicts that are retried before a plan is aborted.
const MAX_CONFLICTS: u32 = 20;

/// Shows the difference and asks the operator to confirm it.
pub fn confirm(diff: &str) -> Result<(), CtlError> {
    let mut line = String::new();
    let answered = write!(io::stderr(), "{diff}\napply? [y/N] ")
        .and_then(|()| io::stdin().lock().read_line(&mut line));
    match answered {
        Ok(_) if line.trim().eq_ignore_ascii_case("y") => Ok(()),
        _ => Err(CtlError::Stopped {
            reason: "the difference was not confirmed".to_owned(),
            remedy: "answer y, or add --yes",
        }),
    }
}

/// Executes the steps of a plan that was made from `current`.
///
/// A conflict aborts the plan if records that it concerns were changed meanwhile. After other
/// changes, such as published weight versions, the step is retried under the new revision.
pub async fn execute(
    session: &Session,
    desired: &FileConfig,
    prune: bool,
    current: CellConfig,
    plan: &Plan,
) -> Result<ChangeAnswer, CtlError> {
    let mut request = session.random_id()?;
    let mut revision = current.revision;
    let mut answer = ChangeAnswer::default();
    let mut conflicts = 0;
    let mut done = 0;
    while let Some(step) = plan.steps.get(done) {
        let change = session.change_with(request, Some(revision))?;
        request = RequestId(request.0.wrapping_add(1));
        match send(session, step, change).await {
            Ok(sent) => {
                answer = sent;
                revision = sent.revision;
                done += 1;
            }
            Err(error) if is_conflict(&error) && conflicts < MAX_CONFLICTS => {
                conflicts += 1;
                let current = read_newer(session, revision).await?;
                check_remaining(&current, desired, prune, &plan.steps[done..])?;
                revision = current.revision;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(answer)
}

/// Reads the cell until its revision is newer than the refused one: a daemon's lists can lag behind.
async fn read_newer(session: &Session, refused: u64) -> Result<CellConfig, CtlError> {
    let mut current = read_cell(session).await?;
    for _ in 0..MAX_REREADS {
        if current.revision > refused {
            break;
        }
        async_std::task::sleep(REREAD_DELAY).await;
        current = read_cell(session).await?;
    }
    Ok(current)
}

/// Checks that the remaining steps are still the difference between the cell and the file.
fn check_remaining(
    current: &CellConfig,
    desired: &FileConfig,
    prune: bool,
    remaining: &[Step],
) -> Result<(), CtlError> {
    if plan(&current.config, desired, prune).steps == remaining {
        return Ok(());
    }
    Err(CtlError::Stopped {
        reason: "the records changed since the difference was shown".to_owned(),
        remedy: "look at `dandelionctl history` and run the command again",
    })
}

fn is_conflict(error: &CtlError) -> bool {
    matches!(error, CtlError::Refused(refused) if refused.code == ErrorCode::Conflict)
}

async fn send(
    session: &Session,
    step: &Step,
    change: Option<Change>,
) -> Result<ChangeAnswer, CtlError> {
    let client = session.client();
    let named = |name: &str| NameRequest {
        change: change.clone(),
        name: name.to_owned(),
    };
    let answer = match step {
        Step::PutTeam(team) => {
            let team = Some(team.clone());
            client.put_team(&PutTeamRequest { change, team }).await?
        }
        Step::PutService(service) => {
            let service = Some(service.clone());
            let request = PutServiceRequest { change, service };
            client.put_service(&request).await?
        }
        Step::PutJob(job) => {
            let job = Some(job.clone());
            client.put_job(&PutJobRequest { change, job }).await?
        }
        Step::EndJob(name) => client.end_job(&named(name)).await?,
        Step::RemoveService(name) => client.remove_service(&named(name)).await?,
        Step::RemoveTeam(name) => client.remove_team(&named(name)).await?,
    };
    Ok(answer)
}
