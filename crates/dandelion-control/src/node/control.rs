//! The state machine of a control daemon.

use std::collections::BTreeMap;

use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

use crate::node::changes::PendingChange;
use crate::node::changes::Unresponsive;
use crate::node::event::NodeAction;
use crate::node::event::NodeEvent;
use crate::node::event::NodeSettings;
use crate::node::feeder::FeederState;
use crate::node::feeder_reports::FeederReports;
use crate::node::joining::Joining;
use crate::node::recent_changes::RecentChanges;
use crate::node::shortage::Shortage;
use crate::node::status::LeaderLease;
use crate::raft::Envelope;
use crate::raft::MAX_CHANGE_BYTES;
use crate::raft::Payload;
use crate::raft::RaftMessage;
use crate::raft::Replica;
use crate::raft::ReplicaId;
use crate::raft::Settings;
use crate::storage::Storage;
use crate::storage::StorageError;

/// Most appended proposals that may wait to be committed; further ones are refused.
pub const MAX_PENDING: usize = 16_384;

/// A control daemon. After an error it must be opened again, by [`ControlNode::reopen`] or from its
/// storage.
#[derive(Debug)]
pub struct ControlNode<S> {
    pub(super) settings: NodeSettings,
    pub(super) storage: S,
    pub(super) replica: Replica,
    pub(super) tables: TableSet,
    pub(super) recent_changes: RecentChanges,
    pub(super) feeder_state: FeederState,
    pub(super) feeder_reports: FeederReports,
    pub(super) joining: Joining,
    pub(super) voter_change: Option<PendingChange>,
    pub(super) unresponsive: Unresponsive,
    pub(super) shortage: Option<Shortage>,
    pub(super) retiring: Vec<DaemonId>,
    pub(super) stopping: Vec<DaemonId>,
    /// Daemon from which each replica last sent a message; used for replicas that the membership
    /// does not list.
    pub(super) replica_daemons: BTreeMap<ReplicaId, DaemonId>,
    /// Tickets of appended proposals by log index.
    pub(super) pending: BTreeMap<u64, u64>,
    /// Term in which this daemon leads, as last reported by an action.
    pub(super) led_term: Option<Term>,
    /// Latest timestamp of a proposal; later ones get no earlier time.
    pub(super) last_timestamp: WallMillis,
    /// Error of the storage, returned by every later step.
    pub(super) failure: Option<StorageError>,
}

impl<S> ControlNode<S>
where
    S: Storage,
{
    /// Opens a control daemon on its storage. `seed` must be random.
    pub fn open(
        settings: NodeSettings,
        mut storage: S,
        now: Millis,
        seed: u64,
    ) -> Result<Self, StorageError> {
        let recovered = storage.recover();
        let replica = Replica::open(raft_settings(&settings), recovered, now, seed);
        let mut node = Self {
            feeder_state: FeederState::open(seed),
            feeder_reports: FeederReports::default(),
            joining: Joining::open(seed),
            tables: TableSet::open_all(),
            recent_changes: RecentChanges::default(),
            voter_change: None,
            unresponsive: Unresponsive::new(),
            shortage: None,
            retiring: Vec::new(),
            stopping: Vec::new(),
            replica_daemons: BTreeMap::new(),
            pending: BTreeMap::new(),
            led_term: None,
            last_timestamp: WallMillis(0),
            failure: None,
            settings,
            storage,
            replica,
        };
        node.restore_tables()?;
        Ok(node)
    }

    /// Opens the node again after an error, as a restarted process does. What it was told of its
    /// peers stays.
    pub fn reopen(&mut self, now: Millis, seed: u64) -> Result<(), StorageError> {
        self.storage.reopen()?;
        let recovered = self.storage.recover();
        self.replica = Replica::open(raft_settings(&self.settings), recovered, now, seed);
        self.feeder_state = FeederState::open(seed);
        self.feeder_reports = FeederReports::default();
        self.joining.restart();
        self.tables = TableSet::open_all();
        self.recent_changes = RecentChanges::default();
        self.voter_change = None;
        self.unresponsive = Unresponsive::new();
        self.shortage = None;
        self.replica_daemons.clear();
        self.pending.clear();
        self.led_term = None;
        self.restore_tables()?;
        self.failure = None;
        Ok(())
    }

    /// Handles a batch of events. All writes are made durable with one sync, before any message or
    /// answer is returned as an action.
    pub fn step(
        &mut self,
        now: Millis,
        wall: WallMillis,
        events: Vec<NodeEvent>,
        actions: &mut Vec<NodeAction>,
    ) -> Result<(), StorageError> {
        if let Some(failure) = &self.failure {
            return Err(failure.clone());
        }
        let mut produced = Vec::new();
        for event in events {
            self.handle(now, wall, event, &mut produced);
        }
        let finished = self.finish_step(now, &mut produced);
        if let Err(failure) = finished {
            self.failure = Some(failure.clone());
            return Err(failure);
        }
        actions.append(&mut produced);
        Ok(())
    }

    fn handle(
        &mut self,
        now: Millis,
        wall: WallMillis,
        event: NodeEvent,
        actions: &mut Vec<NodeAction>,
    ) {
        match event {
            NodeEvent::Tick => {
                self.replica.tick(now);
                self.tick_joining(now, actions);
                self.tick_feeder(now, actions);
                self.tick_repair(now, actions);
                self.tick_shortage(now, actions);
            }
            NodeEvent::Raft { from, bytes } => {
                if let Ok(message) = codec::decode(&bytes) {
                    self.on_raft(now, from, message, actions);
                }
            }
            NodeEvent::Feed { from, bytes } => {
                if let Ok(message) = codec::decode(&bytes) {
                    self.on_feed(now, from, message, actions);
                }
            }
            NodeEvent::Propose { ticket, proposal } => {
                self.on_propose(wall, ticket, proposal, actions);
            }
            NodeEvent::Peers(peers) => self.joining.set_extra_peers(peers),
            NodeEvent::Retire(daemons) => self.retiring = daemons,
            NodeEvent::Stopping(daemons) => self.stopping = daemons,
            NodeEvent::Resign => {
                self.replica.resign(now);
            }
            NodeEvent::ChangeVoters { ticket, change } => {
                self.on_voter_change(now, ticket, change, actions);
            }
        }
    }

    fn on_raft(
        &mut self,
        now: Millis,
        from: DaemonId,
        message: RaftMessage,
        actions: &mut Vec<NodeAction>,
    ) {
        match message {
            RaftMessage::Join(join) => self.on_join(&from, &join, actions),
            RaftMessage::JoinReply(reply) => self.on_join_reply(reply),
            RaftMessage::Replica(envelope) => {
                self.replica_daemons.insert(envelope.from, from);
                self.replica.receive(now, envelope);
            }
        }
    }

    fn on_propose(
        &mut self,
        wall: WallMillis,
        ticket: u64,
        mut proposal: Proposal,
        actions: &mut Vec<NodeAction>,
    ) {
        let refused = if self.replica.leading_term().is_none() {
            Some(ProposeError::NoLeader)
        } else if self.pending.len() >= MAX_PENDING {
            Some(ProposeError::Overloaded)
        } else {
            None
        };
        if let Some(error) = refused {
            let result = Err(error);
            actions.push(NodeAction::Answer { ticket, result });
            return;
        }
        proposal.at = wall.max(self.last_timestamp);
        self.last_timestamp = proposal.at;
        let appended = match codec::encode(&proposal) {
            Ok(bytes) if bytes.len() > MAX_CHANGE_BYTES => Err(ProposeError::TooLong {
                length: bytes.len(),
            }),
            Ok(bytes) => {
                let at = self.replica.propose(Payload::Change(bytes));
                at.ok_or(ProposeError::NoLeader)
            }
            Err(_) => Err(ProposeError::NoLeader),
        };
        match appended {
            Ok(at) => {
                self.pending.insert(at.index, ticket);
            }
            Err(error) => {
                let result = Err(error);
                actions.push(NodeAction::Answer { ticket, result });
            }
        }
    }

    /// Stores and syncs writes, commits and applies entries, and only then emits messages and
    /// answers.
    fn finish_step(
        &mut self,
        now: Millis,
        actions: &mut Vec<NodeAction>,
    ) -> Result<(), StorageError> {
        self.store()?;
        self.replica.synced(now);
        self.update_leadership(now, actions);
        self.restore_installed()?;
        self.apply_committed(now, actions);
        self.send_outbox(actions);
        self.tick_voter_change(now, actions);
        self.flush_feeder(now, actions);
        self.compact()
    }

    fn store(&mut self) -> Result<(), StorageError> {
        let writes = self.replica.take_writes();
        if writes.is_empty() {
            return Ok(());
        }
        if let Some(snapshot) = &writes.snapshot {
            let log = self.replica.log();
            let kept = log.slice(snapshot.at.index + 1, u64::MAX);
            let hard = self.replica.hard_state();
            return self.storage.save_snapshot(snapshot, hard, &kept);
        }
        self.storage.write(writes.hard, &writes.entries)
    }

    fn update_leadership(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let leads = self.replica.leading_term();
        if leads == self.led_term {
            return;
        }
        if self.led_term.is_some() {
            self.lose_leadership(actions);
        }
        if let Some(term) = leads {
            self.feeder_reports =
                FeederReports::open(now, self.settings.timing, self.settings.fault);
            actions.push(NodeAction::Lead { term });
        }
        self.led_term = leads;
    }

    fn lose_leadership(&mut self, actions: &mut Vec<NodeAction>) {
        actions.push(NodeAction::Follow);
        let lost = std::mem::take(&mut self.pending);
        actions.extend(lost.into_values().map(|ticket| NodeAction::Answer {
            ticket,
            result: Err(ProposeError::Unknown),
        }));
        self.abort_voter_change(actions);
        self.feeder_reports = FeederReports::default();
    }

    fn send_outbox(&mut self, actions: &mut Vec<NodeAction>) {
        for envelope in self.replica.take_outbox() {
            let to = self.receiver_daemon(&envelope);
            let Some(to) = to.filter(|to| *to != self.settings.daemon) else {
                continue;
            };
            send_raft(to, &RaftMessage::Replica(envelope), actions);
        }
    }

    fn receiver_daemon(&self, envelope: &Envelope) -> Option<DaemonId> {
        let known = self.replica.daemon_of(envelope.to);
        known
            .or_else(|| self.replica_daemons.get(&envelope.to))
            .cloned()
    }

    /// Returns the term if this daemon holds the leader lease until after `now + margin`, so that
    /// no other daemon can lead before then. Check it directly before every external side effect,
    /// with a margin that covers its duration.
    pub fn leased_term(&self, now: Millis, margin: Millis) -> Option<Term> {
        self.leader_lease(now)
            .filter(|c| c.covers(now, margin))
            .map(|c| c.term)
    }

    /// Returns the leader lease, if this daemon leads. It stays valid without asking this node
    /// again: no other daemon can lead before it ends, unless this one resigns.
    pub fn leader_lease(&self, now: Millis) -> Option<LeaderLease> {
        let until = self.replica.lease_end(now)?;
        let term = self
            .replica
            .leading_term()
            .filter(|_| self.failure.is_none())?;
        Some(LeaderLease { term, until })
    }

    /// Returns the daemon that leads the group, if known.
    pub fn leader(&self) -> Option<&DaemonId> {
        self.replica.leader_daemon()
    }

    /// Borrows the tables as of the applied revision.
    pub fn tables(&self) -> &TableSet {
        &self.tables
    }

    /// Returns the applied revision: the index of the last applied log entry.
    pub fn revision(&self) -> Revision {
        self.tables.revision()
    }

    /// Borrows the replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Borrows the storage.
    pub fn storage(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Returns the storage without further writes, as after a crash.
    pub fn into_storage(self) -> S {
        self.storage
    }
}

/// Adds an action that sends a replication message.
pub(super) fn send_raft(to: DaemonId, message: &RaftMessage, actions: &mut Vec<NodeAction>) {
    if let Ok(bytes) = codec::encode(message) {
        let message = MeshMessage::Raft(bytes);
        actions.push(NodeAction::Send { to, message });
    }
}

fn raft_settings(settings: &NodeSettings) -> Settings {
    Settings {
        daemon: settings.daemon.clone(),
        zone: settings.zone.clone(),
        added: settings.added,
        timing: settings.timing,
        fault: settings.fault,
    }
}
