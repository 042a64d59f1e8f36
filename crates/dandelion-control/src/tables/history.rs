//! History of accepted configuration changes, shown to operators.

use std::collections::VecDeque;

use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::WallMillis;
use serde::Deserialize;
use serde::Serialize;

/// Most changes retained; the oldest are removed first.
pub const MAX_CHANGES: usize = 4096;

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the log entry that made the change.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// When the leader accepted the proposal.
    #[serde(rename = "t")]
    pub at: WallMillis,
    /// Name of the operator or daemon that proposed it.
    #[serde(rename = "w")]
    pub author: String,
    /// Short description, such as `put_team tender-office`.
    #[serde(rename = "d")]
    pub summary: String,
}

/// The latest accepted changes, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Adds a change and removes the oldest one if there are too many.
    pub fn record(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Iterates over the changes after `revision`, oldest first.
    pub fn since(&self, revision: Revision) -> impl DoubleEndedIterator<Item = &Change> + '_ {
        let first = self.changes.partition_point(|c| c.revision <= revision);
        self.changes.range(first..)
    }
}

/// Describes a command in a few words; the description contains no secrets.
pub fn summarize(command: &ConfigCommand) -> String {
    match command {
        ConfigCommand::PutTeam(team) => format!("put_team {}", team.id),
        ConfigCommand::RemoveTeam(id) => format!("remove_team {id}"),
        ConfigCommand::GrantKey(key) => format!("grant_key {} to team {}", key.id, key.team),
        ConfigCommand::WithdrawKey(id) => format!("withdraw_key {id}"),
        ConfigCommand::PutService(service) => format!("put_service {}", service.id),
        ConfigCommand::RemoveService(id) => format!("remove_service {id}"),
        ConfigCommand::PutJob(job) => format!("put_job {}", job.id),
        ConfigCommand::EndJob(id) => format!("end_job {id}"),
        ConfigCommand::PublishVersion(id, version) => format!("publish_version {version} of {id}"),
        ConfigCommand::Drain(id, boot) => format!("drain {id} boot {boot}"),
        ConfigCommand::ForgetDrain(id, boot) => format!("forget_drain {id} boot {boot}"),
        ConfigCommand::Poison(fingerprint) => format!("poison {fingerprint:016x}"),
        ConfigCommand::Unpoison(fingerprint) => format!("unpoison {fingerprint:016x}"),
    }
}
