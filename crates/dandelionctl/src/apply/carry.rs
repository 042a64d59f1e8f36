//! Carries out a plan, each change under the revision that the one before it made.

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

use super::cell::Seen;
use super::cell::read_cell;
use super::file::FileConfig;
use super::plan::Plan;
use super::plan::Step;
use super::plan::plan;
use crate::error::CtlError;
use crate::session::Session;

/// Times that a lagging list is read again.
const MAX_READS: u32 = 15;

/// Pause before a lagging list is read again.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Conflicts after which a plan is given up.
const MAX_CONFLICTS: u32 = 20;

/// Shows the difference and asks whether to apply it.
pub fn ask(diff: &str) -> Result<(), CtlError> {
    let mut line = String::new();
    let answered = write!(io::stderr(), "{diff}\napply? [y/N] ")
        .and_then(|()| io::stdin().lock().read_line(&mut line));
    match answered {
        Ok(_) if line.trim().eq_ignore_ascii_case("y") => Ok(()),
        _ => Err(CtlError::Stopped {
            reason: "the difference was not agreed to".to_owned(),
            remedy: "answer y, or add --yes",
        }),
    }
}

/// Carries out the steps of a plan made from `seen`.
///
/// A conflict stops it if the records of the plan were changed meanwhile; changes elsewhere, such
/// as published weight versions, only lead to another try.
pub async fn carry_out(
    session: &Session,
    wanted: &FileConfig,
    prune: bool,
    seen: Seen,
    plan: &Plan,
) -> Result<ChangeAnswer, CtlError> {
    let mut request = session.fresh_id()?;
    let mut revision = seen.revision;
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
                let seen = read_after(session, revision).await?;
                check_rest(&seen, wanted, prune, &plan.steps[done..])?;
                revision = seen.revision;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(answer)
}

/// Reads the cell until it is past a revision that was refused: a daemon's lists can lag behind.
async fn read_after(session: &Session, refused: u64) -> Result<Seen, CtlError> {
    let mut seen = read_cell(session).await?;
    for _ in 0..MAX_READS {
        if seen.revision > refused {
            break;
        }
        async_std::task::sleep(READ_PAUSE).await;
        seen = read_cell(session).await?;
    }
    Ok(seen)
}

/// Checks that the rest of the plan is still what is to be done.
fn check_rest(
    seen: &Seen,
    wanted: &FileConfig,
    prune: bool,
    rest: &[Step],
) -> Result<(), CtlError> {
    if plan(&seen.config, wanted, prune).steps == rest {
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
