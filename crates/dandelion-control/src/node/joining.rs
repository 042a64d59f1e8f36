//! Bootstrap of a group, and join requests of replicas.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::node::control::ControlNode;
use crate::node::control::send_raft;
use crate::node::event::NodeAction;
use crate::raft::GroupId;
use crate::raft::Join;
use crate::raft::JoinReply;
use crate::raft::Membership;
use crate::raft::RaftMessage;
use crate::raft::ReplicaInfo;
use crate::raft::Role;
use crate::storage::Storage;

/// Time between two join requests of a replica.
pub const JOIN_PERIOD: Millis = Millis(500);

/// What a replica without a group knows of its peers.
#[derive(Debug)]
pub struct Joining {
    rng: SmallRng,
    next_join: Millis,
    /// Peers whose last reply said that they know no group.
    empty_peers: BTreeMap<DaemonId, Join>,
    /// Peers from [`crate::node::NodeEvent::Peers`].
    extra_peers: Vec<DaemonId>,
}

impl Joining {
    /// Starts without any reply of a peer.
    pub fn open(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0x6a6f_696e),
            next_join: Millis::ZERO,
            empty_peers: BTreeMap::new(),
            extra_peers: Vec::new(),
        }
    }

    /// Drops the replies of peers.
    pub fn restart(&mut self) {
        self.empty_peers.clear();
    }

    /// Replaces the peers that are not in the settings.
    pub fn set_extra_peers(&mut self, extra_peers: Vec<DaemonId>) {
        self.extra_peers = extra_peers;
    }
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    pub(super) fn tick_joining(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let empty = self.replica.membership().is_empty();
        let leaderless = self.replica.role() != Role::Leader
            && now >= self.replica.last_contact() + self.settings.timing.rejoin_after;
        if !(empty || leaderless) || now < self.joining.next_join {
            return;
        }
        self.joining.next_join = now + JOIN_PERIOD;
        if empty && self.may_bootstrap() {
            self.bootstrap();
            return;
        }
        let join = RaftMessage::Join(self.replica.join_request());
        for peer in self.known_peers() {
            send_raft(peer, &join, actions);
        }
    }

    /// Returns every other daemon that may know the group: from the settings, the events and the
    /// log.
    fn known_peers(&self) -> BTreeSet<DaemonId> {
        let members = self.replica.membership().replicas.values();
        let members = members.map(|replica| &replica.daemon);
        let named = self.settings.peers.iter().chain(&self.joining.extra_peers);
        let known = named.chain(members);
        known
            .filter(|peer| **peer != self.settings.daemon)
            .cloned()
            .collect()
    }

    /// Returns whether this replica may create the group: its daemon is the first of the peers by
    /// name, and every other peer has replied to this very replica that it knows no group.
    /// Otherwise a second group could arise.
    fn may_bootstrap(&self) -> bool {
        let own = &self.settings.daemon;
        let mut peers = self.settings.peers.iter();
        let first = self.settings.peers.iter().min() == Some(own);
        first && peers.all(|peer| peer == own || self.joining.empty_peers.contains_key(peer))
    }

    fn bootstrap(&mut self) {
        let Some(data) = Self::empty_image() else {
            return;
        };
        let mut joins = self
            .joining
            .empty_peers
            .values()
            .cloned()
            .collect::<Vec<_>>();
        joins.insert(0, self.replica.join_request());
        let group = GroupId(self.joining.rng.random_range(1..=u64::MAX));
        let members = initial_members(group, &joins, self.settings.voters);
        self.replica.bootstrap(members, data);
    }

    pub(super) fn on_join(&mut self, from: &DaemonId, join: &Join, actions: &mut Vec<NodeAction>) {
        if *from == join.daemon {
            self.reply_join(join, actions);
        }
        if self.replica.leading_term().is_some() {
            // A stopping daemon whose vote was handed over must not be listed again; with a new folder it
            // has already been restarted.
            let stops = self.stopping.contains(&join.daemon) && !join.added;
            if !self.retiring.contains(&join.daemon) && !stops {
                self.replica.add_learner(join);
            }
            return;
        }
        let leader = self.leader().cloned();
        if let Some(leader) = leader.filter(|_| *from == join.daemon) {
            send_raft(leader, &RaftMessage::Join(join.clone()), actions);
        }
    }

    fn reply_join(&self, join: &Join, actions: &mut Vec<NodeAction>) {
        let reply = JoinReply {
            asker: join.replica,
            sender: self.replica.join_request(),
            empty: self.replica.membership().is_empty(),
        };
        let to = join.daemon.clone();
        send_raft(to, &RaftMessage::JoinReply(reply), actions);
    }

    pub(super) fn on_join_reply(&mut self, reply: JoinReply) {
        if reply.asker != self.replica.id() {
            return;
        }
        let daemon = reply.sender.daemon.clone();
        if reply.empty {
            self.joining.empty_peers.insert(daemon, reply.sender);
        } else {
            self.joining.empty_peers.remove(&daemon);
        }
    }
}

/// Builds the membership of a new group. Voters are chosen from as many zones as possible, the
/// other replicas are learners.
fn initial_members(group: GroupId, joins: &[Join], voters: usize) -> Membership {
    let mut members = Membership {
        group,
        ..Membership::default()
    };
    let mut rest = joins.iter().collect::<Vec<_>>();
    while !rest.is_empty() {
        let used = |join: &&Join| members.replicas.values().any(|r| r.zone == join.zone);
        let at = rest.iter().position(|join| !used(join)).unwrap_or(0);
        let join = rest.remove(at);
        let replica = ReplicaInfo {
            daemon: join.daemon.clone(),
            zone: join.zone.clone(),
            voter: members.replicas.len() < voters,
            joined: 1,
            added: false,
            outgoing: false,
            withdrawn: false,
        };
        members.replicas.insert(join.replica, replica);
    }
    members
}
