//! Reports of the leader that voters of its group don't reply.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;

use crate::node::control::ControlNode;
use crate::node::event::NodeAction;
use crate::storage::Storage;

/// Votes that a group lacks, as its leader sees it. The group bears fewer losses than it is meant to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortage {
    /// Target number of voters, less those that reply.
    pub missing: usize,
    /// Since when voters have been missing, on the leader's clock.
    pub since: Millis,
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    /// Returns the votes that the group lacks; none if it is complete or this daemon does not lead.
    pub fn shortage(&self) -> Option<Shortage> {
        self.shortage
    }

    /// Compares the responsive voters with their target, and reports when some begin or cease to be missing.
    pub(super) fn tick_shortage(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        if self.replica.leading_term().is_none() {
            self.shortage = None;
            return;
        }
        let members = self.replica.membership();
        let responsive = members.voters().filter(|id| !self.has_failed(now, *id));
        let missing = self.settings.voters.saturating_sub(responsive.count());
        let before = self.shortage;
        self.shortage = (missing > 0).then(|| Shortage {
            missing,
            since: before.map_or(now, |s| s.since),
        });
        match (before, self.shortage) {
            (None, Some(_)) => actions.push(self.describe_shortage(now)),
            (Some(before), None) => {
                let lasted = now.since(before.since);
                actions.push(NodeAction::Complete { lasted });
            }
            (None, None) | (Some(_), Some(_)) => {}
        }
    }

    fn describe_shortage(&self, now: Millis) -> NodeAction {
        let replicas = &self.replica.membership().replicas;
        let daemons = |voter: bool, silent: bool| -> Vec<DaemonId> {
            let chosen = replicas
                .iter()
                .filter(|(id, r)| r.voter == voter && self.has_failed(now, **id) == silent);
            chosen.map(|(_, r)| r.daemon.clone()).collect()
        };
        NodeAction::Short {
            voters: daemons(true, false),
            silent: daemons(true, true),
            learners: daemons(false, false),
        }
    }
}
