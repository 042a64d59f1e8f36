//! Labels of teams, limited in number.

use std::collections::BTreeSet;
use std::sync::PoisonError;
use std::sync::RwLock;

use dandelion_protocol::ids::TeamId;

/// Label that all teams beyond the limit share.
pub const OTHER_TEAM: &str = "other";

/// Label of requests without a team.
const NO_TEAM: &str = "open";

/// Teams that have a label of their own.
#[derive(Debug)]
pub(crate) struct Teams {
    limit: usize,
    known: RwLock<BTreeSet<TeamId>>,
}

impl Teams {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            known: RwLock::default(),
        }
    }

    /// Returns the label of a team. A new team gets a label of its own until the limit is reached.
    pub(crate) fn label(&self, team: Option<&TeamId>) -> String {
        let Some(team) = team else {
            return NO_TEAM.to_owned();
        };
        if self.is_known(team) || self.admit(team) {
            return team.to_string();
        }
        OTHER_TEAM.to_owned()
    }

    /// Frees a team's label; returns whether it had one of its own.
    pub(crate) fn forget(&self, team: &TeamId) -> bool {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        known.remove(team)
    }

    fn is_known(&self, team: &TeamId) -> bool {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        known.contains(team)
    }

    fn admit(&self, team: &TeamId) -> bool {
        let reserved = [OTHER_TEAM, NO_TEAM].contains(&team.as_str());
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        if known.contains(team) {
            return true;
        }
        let is_admitted = !reserved && known.len() < self.limit;
        is_admitted && known.insert(team.clone())
    }
}
