//! Reading of the configuration that is in force.

use dandelion_rpc::generated::ListRequest;

use super::file::FileConfig;
use crate::error::CtlError;
use crate::session::Session;

/// Attempts to read all lists at the same revision before reading fails.
const MAX_ATTEMPTS: u32 = 5;

/// The configuration of the cell at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CellConfig {
    /// Revision of the last change of the configuration.
    pub revision: u64,
    /// Teams, services and jobs at this revision, sorted by name.
    pub config: FileConfig,
}

/// Reads the configuration of the cell; fails if it keeps changing meanwhile.
pub async fn read_cell(session: &Session) -> Result<CellConfig, CtlError> {
    for _ in 0..MAX_ATTEMPTS {
        if let Some(current) = read_once(session).await? {
            return Ok(current);
        }
    }
    Err(CtlError::Stopped {
        reason: "the configuration changed while it was read".to_owned(),
        remedy: "run the command again when other operators have finished",
    })
}

async fn read_once(session: &Session) -> Result<Option<CellConfig>, CtlError> {
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
    Ok(Some(CellConfig { revision, config }))
}
