//! The configuration file of `dandelionctl apply`.

use std::collections::BTreeSet;
use std::path::Path;

use dandelion_protocol::config;
use dandelion_rpc::RpcError;
use dandelion_rpc::generated::Job;
use dandelion_rpc::generated::Service;
use dandelion_rpc::generated::Team;
use serde::Deserialize;
use serde::Serialize;

use crate::error::CtlError;

const REMEDY: &str = "correct the file; docs/operators/first-team-and-job.md shows an example";

/// Teams, services and jobs, as a configuration file lists them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FileConfig {
    /// Teams, from `[[team]]` tables.
    #[serde(rename = "team", skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<Team>,
    /// Routed services, from `[[service]]` tables.
    #[serde(rename = "service", skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Rollout jobs, from `[[job]]` tables.
    #[serde(rename = "job", skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<Job>,
}

impl FileConfig {
    /// Sorts every list by name.
    pub fn sort(&mut self) {
        self.teams.sort_by(|a, b| a.id.cmp(&b.id));
        self.services.sort_by(|a, b| a.id.cmp(&b.id));
        self.jobs.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Formats the configuration as TOML to be shown; an error is shown as a comment.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).unwrap_or_else(|error| format!("# not shown: {error}\n"))
    }
}

/// Reads and validates a configuration file.
pub fn read_file(path: &Path) -> Result<FileConfig, CtlError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        let remedy = "name a text file that you can read";
        CtlError::usage("file", &name, &error.to_string(), remedy)
    })?;
    parse(&text).map_err(|reason| CtlError::usage("file", &name, &reason, REMEDY))
}

/// Parses and validates the text of a configuration file, and sorts its lists. The error is a
/// message for the operator.
pub fn parse(text: &str) -> Result<FileConfig, String> {
    let mut config: FileConfig = toml::from_str(text).map_err(|error| error.to_string())?;
    validate(&config)?;
    config.sort();
    Ok(config)
}

fn validate(config: &FileConfig) -> Result<(), String> {
    for team in &config.teams {
        config::Team::try_from(team).map_err(|e| record_error("team", &team.id, &e))?;
    }
    for service in &config.services {
        config::Service::try_from(service).map_err(|e| record_error("service", &service.id, &e))?;
    }
    for job in &config.jobs {
        config::Job::try_from(job).map_err(|e| record_error("job", &job.id, &e))?;
        if job.ended {
            return Err(format!(
                "job `{}`: a file cannot end a job; use `dandelionctl job end`",
                job.id
            ));
        }
    }
    check_unique("team", config.teams.iter().map(|team| &team.id))?;
    check_unique("service", config.services.iter().map(|service| &service.id))?;
    check_unique("job", config.jobs.iter().map(|job| &job.id))
}

fn record_error(kind: &str, name: &str, error: &RpcError) -> String {
    format!("{kind} `{name}`: {}", error.message)
}

fn check_unique<'a, I>(kind: &str, names: I) -> Result<(), String>
where
    I: Iterator<Item = &'a String>,
{
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(format!("{kind} `{name}` is listed twice"));
        }
    }
    Ok(())
}
