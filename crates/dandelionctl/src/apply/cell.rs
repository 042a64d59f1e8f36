//! The configuration that is in force.

use dandelion_rpc::generated::ListRequest;

use super::file::FileConfig;
use crate::error::CtlError;
use crate::session::Session;

/// Times that the lists are read until they agree on a revision.
const MAX_READS: u32 = 5;

/// The configuration of the cell at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Revision of its last change.
    pub revision: u64,
    /// What is in force.
    pub config: FileConfig,
}

/// Reads the configuration at one revision.
pub async fn read_cell(session: &Session) -> Result<Seen, CtlError> {
    for _ in 0..MAX_READS {
        if let Some(seen) = read_once(session).await? {
            return Ok(seen);
        }
    }
    Err(CtlError::Stopped {
        reason: "the configuration changed while it was read".to_owned(),
        remedy: "run the command again when other operators have finished",
    })
}

async fn read_once(session: &Session) -> Result<Option<Seen>, CtlError> {
    let client = session.client();
    let teams = client.list_teams(&ListRequest {}).await?;
    let services = client.list_services(&ListRequest {}).await?;
    let jobs = client.list_jobs(&ListRequest {}).await?;
    let revision = teams.revision;
    if services.revision != revision || jobs.revision != revision {
        return Ok(None);
    }
    let mut config = FileConfig {
        teams: teams.teams,
        services: services.services,
        jobs: jobs.jobs,
    };
    config.sort();
    Ok(Some(Seen { revision, config }))
}
