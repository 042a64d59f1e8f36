//! The table of the operators' configuration: teams, keys, services, jobs, drains, blocked
//! requests.

use std::collections::BTreeSet;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::config::CONFIG_TABLE;
use dandelion_protocol::config::Config;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Key;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::KeyId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

use crate::tables::history;
use crate::tables::history::Change;
use crate::tables::history::History;
use crate::tables::validate;

/// Most blocked fingerprints; the oldest are removed first.
pub const MAX_POISONED: usize = 4096;

/// The operators' configuration, the names of all keys ever granted (none is granted twice), and
/// the history of changes.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ConfigTable {
    config: Config,
    granted: BTreeSet<KeyId>,
    history: History,
}

impl ConfigTable {
    /// Borrows the current configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Borrows the history of accepted changes.
    pub fn history(&self) -> &History {
        &self.history
    }

    fn change(&mut self, at: WallMillis, command: ConfigCommand) -> Result<(), Rejection> {
        let config = &mut self.config;
        match command {
            ConfigCommand::PutTeam(team) => {
                validate::team(config, &team)?;
                config.teams.insert(team.id.clone(), team);
            }
            ConfigCommand::RemoveTeam(id) => self.remove_team(&id)?,
            ConfigCommand::GrantKey(key) => self.grant_key(at, key)?,
            ConfigCommand::WithdrawKey(id) => self.withdraw_key(&id)?,
            ConfigCommand::PutService(service) => {
                validate::service(config, &service)?;
                config.services.insert(service.id.clone(), service);
            }
            ConfigCommand::RemoveService(id) => self.remove_service(&id)?,
            ConfigCommand::PutJob(job) => {
                validate::job(config, &job)?;
                config.jobs.insert(job.id.clone(), job);
            }
            ConfigCommand::EndJob(id) => self.end_job(&id)?,
            ConfigCommand::PublishVersion(id, version) => self.publish(id, version)?,
            ConfigCommand::Drain(id, boot) => self.drain(id, boot)?,
            ConfigCommand::ForgetDrain(id, boot) => self.forget_drain(&id, boot)?,
            ConfigCommand::Poison(fingerprint) => self.poison(fingerprint, at),
            ConfigCommand::Unpoison(fingerprint) => {
                let lifted = config.poisoned.remove(&fingerprint);
                lifted.ok_or_else(|| validate::missing("blocked fingerprint", &fingerprint))?;
            }
        }
        Ok(())
    }

    fn remove_team(&mut self, id: &TeamId) -> Result<(), Rejection> {
        let config = &mut self.config;
        if !config.teams.contains_key(id) {
            return Err(validate::missing("team", id));
        }
        if let Some(job) = config.jobs.values().find(|j| j.team == *id && !j.ended) {
            let reason = format!("job `{}` of the team runs", job.id);
            return Err(Rejection::invalid("team", &reason, "end the job first"));
        }
        config.teams.remove(id);
        config.keys.retain(|_, key| key.team != *id);
        Ok(())
    }

    fn grant_key(&mut self, at: WallMillis, key: Key) -> Result<(), Rejection> {
        validate::key(&self.config, &key, at)?;
        if !self.granted.insert(key.id.clone()) {
            return Err(Rejection::invalid(
                "key",
                "a key of this name was granted before",
                "choose a new name",
            ));
        }
        self.config.keys.insert(key.id.clone(), key);
        Ok(())
    }

    fn withdraw_key(&mut self, id: &KeyId) -> Result<(), Rejection> {
        let withdrawn = self.config.keys.remove(id);
        withdrawn
            .map(|_| ())
            .ok_or_else(|| validate::missing("key", id))
    }

    fn remove_service(&mut self, id: &ServiceId) -> Result<(), Rejection> {
        let config = &mut self.config;
        if !config.services.contains_key(id) {
            return Err(validate::missing("service", id));
        }
        let uses = |job: &&dandelion_protocol::config::Job| {
            !job.ended && (job.service == *id || job.scorer.as_ref() == Some(id))
        };
        if let Some(job) = config.jobs.values().find(uses) {
            let reason = format!("job `{}` uses the service", job.id);
            return Err(Rejection::invalid("service", &reason, "end the job first"));
        }
        config.services.remove(id);
        Ok(())
    }

    fn end_job(&mut self, id: &JobId) -> Result<(), Rejection> {
        let job = self.config.jobs.get_mut(id);
        job.ok_or_else(|| validate::missing("job", id))?.ended = true;
        Ok(())
    }

    fn publish(&mut self, id: JobId, version: WeightVersion) -> Result<(), Rejection> {
        validate::version(&self.config, &id, version)?;
        self.config.versions.insert(id, version);
        Ok(())
    }

    fn drain(&mut self, id: UpstreamId, boot: Incarnation) -> Result<(), Rejection> {
        let known = self.config.drains.get(&id);
        if known.is_some_and(|known| *known > boot) {
            return Err(Rejection::invalid(
                "boot",
                "a later boot of the upstream is marked",
                "name the present boot",
            ));
        }
        self.config.drains.insert(id, boot);
        Ok(())
    }

    fn forget_drain(&mut self, id: &UpstreamId, boot: Incarnation) -> Result<(), Rejection> {
        if self.config.drains.get(id) != Some(&boot) {
            return Err(validate::missing("drain mark", id));
        }
        self.config.drains.remove(id);
        Ok(())
    }

    fn poison(&mut self, fingerprint: u64, at: WallMillis) {
        let poisoned = &mut self.config.poisoned;
        poisoned.entry(fingerprint).or_insert(at);
        if poisoned.len() <= MAX_POISONED {
            return;
        }
        let oldest = poisoned
            .iter()
            .min_by_key(|(fingerprint, at)| (**at, **fingerprint));
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            poisoned.remove(&oldest);
        }
    }
}

impl Table for ConfigTable {
    const NAME: &'static str = CONFIG_TABLE;
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = true;
    type Command = ConfigCommand;
    type Reply = ();

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: ConfigCommand,
    ) -> Result<(), Rejection> {
        let summary = history::summarize(&command);
        self.change(context.at, command)?;
        self.history.record(Change {
            revision: context.revision,
            at: context.at,
            author: context.author.to_owned(),
            summary,
        });
        Ok(())
    }
}

#[distributed_slice(TABLES)]
static CONFIG: TableEntry = TableEntry::of::<ConfigTable>();
