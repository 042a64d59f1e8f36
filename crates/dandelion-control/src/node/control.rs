//! The control daemon's state machine.

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

use crate::node::changes::Plan;
use crate::node::changes::Silent;
use crate::node::event::NodeAction;
use crate::node::event::NodeEvent;
use crate::node::event::NodeSettings;
use crate::node::feeder::Feeding;
use crate::node::feeder_reports::Ledger;
use crate::node::joining::Joining;
use crate::node::spread_log::SpreadLog;
use crate::node::status::Charge;
use crate::raft::Envelope;
use crate::raft::Payload;
use crate::raft::RaftMessage;
use crate::raft::Replica;
use crate::raft::ReplicaId;
use crate::raft::Settings;
use crate::storage::Storage;
use crate::storage::StorageError;

/// Most proposals that may wait for their commitment.
pub const MAX_PENDING: usize = 16_384;

/// A control daemon. After an error it must be opened anew from its storage.
#[derive(Debug)]
pub struct ControlNode<S> {
    pub(super) settings: NodeSettings,
    pub(super) storage: S,
    pub(super) replica: Replica,
    pub(super) tables: TableSet,
    pub(super) spread: SpreadLog,
    pub(super) feeding: Feeding,
    pub(super) ledger: Ledger,
    pub(super) joining: Joining,
    pub(super) plan: Option<Plan>,
    pub(super) silent: Silent,
    pub(super) retiring: Vec<DaemonId>,
    /// Daemons of replicas by the messages they sent.
    pub(super) routes: BTreeMap<ReplicaId, DaemonId>,
    /// Tickets of appended proposals by log index.
    pub(super) pending: BTreeMap<u64, u64>,
    pub(super) led: Option<Term>,
    pub(super) last_at: WallMillis,
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
        let raft = Settings {
            daemon: settings.daemon.clone(),
            zone: settings.zone.clone(),
            timing: settings.timing,
            fault: settings.fault,
        };
        let replica = Replica::open(raft, recovered, now, seed);
        let mut node = Self {
            feeding: Feeding::open(seed),
            ledger: Ledger::default(),
            joining: Joining::open(seed),
            tables: TableSet::open_all(),
            spread: SpreadLog::default(),
            plan: None,
            silent: Silent::new(),
            retiring: Vec::new(),
            routes: BTreeMap::new(),
            pending: BTreeMap::new(),
            led: None,
            last_at: WallMillis(0),
            failure: None,
            settings,
            storage,
            replica,
        };
        node.restore_tables()?;
        Ok(node)
    }

    /// Handles a batch of events: one sync for all writes, before any message or answer.
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
        let mut made = Vec::new();
        for event in events {
            self.handle(now, wall, event, &mut made);
        }
        let settled = self.settle(now, &mut made);
        if let Err(failure) = settled {
            self.failure = Some(failure.clone());
            return Err(failure);
        }
        actions.append(&mut made);
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
                self.tick_feeding(now, actions);
                self.tick_repair(now);
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
            NodeEvent::Peers(peers) => self.joining.meet(peers),
            NodeEvent::Retire(daemons) => self.retiring = daemons,
            NodeEvent::Resign => {
                self.replica.resign(now);
            }
            NodeEvent::ChangeVoters { ticket, change } => {
                self.on_change(now, ticket, change, actions);
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
                self.routes.insert(envelope.from, from);
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
        proposal.at = wall.max(self.last_at);
        self.last_at = proposal.at;
        let appended = codec::encode(&proposal)
            .ok()
            .and_then(|bytes| self.replica.propose(Payload::Change(bytes)));
        if let Some(at) = appended {
            self.pending.insert(at.index, ticket);
        } else {
            let result = Err(ProposeError::NoLeader);
            actions.push(NodeAction::Answer { ticket, result });
        }
    }

    /// Stores, syncs, commits, applies, and only then lets messages and answers out.
    fn settle(&mut self, now: Millis, actions: &mut Vec<NodeAction>) -> Result<(), StorageError> {
        self.store()?;
        self.replica.synced(now);
        self.note_leadership(now, actions);
        self.restore_installed()?;
        self.apply_committed(now, actions);
        self.send_outbox(actions);
        self.tick_plan(now, actions);
        self.flush_feeding(now, actions);
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

    fn note_leadership(&mut self, now: Millis, actions: &mut Vec<NodeAction>) {
        let leads = self.replica.leading_term();
        if leads == self.led {
            return;
        }
        if self.led.is_some() {
            self.lose_lead(actions);
        }
        if let Some(term) = leads {
            self.ledger = Ledger::open(now, self.settings.timing, self.settings.fault);
            actions.push(NodeAction::Lead { term });
        }
        self.led = leads;
    }

    fn lose_lead(&mut self, actions: &mut Vec<NodeAction>) {
        actions.push(NodeAction::Follow);
        let lost = std::mem::take(&mut self.pending);
        actions.extend(lost.into_values().map(|ticket| NodeAction::Answer {
            ticket,
            result: Err(ProposeError::Unknown),
        }));
        self.lose_plan(actions);
        self.ledger = Ledger::default();
    }

    fn send_outbox(&mut self, actions: &mut Vec<NodeAction>) {
        for envelope in self.replica.take_outbox() {
            let to = self.address(&envelope);
            let Some(to) = to.filter(|to| *to != self.settings.daemon) else {
                continue;
            };
            send_raft(to, &RaftMessage::Replica(envelope), actions);
        }
    }

    fn address(&self, envelope: &Envelope) -> Option<DaemonId> {
        let known = self.replica.daemon_of(envelope.to);
        known.or_else(|| self.routes.get(&envelope.to)).cloned()
    }

    /// Returns the term if this daemon leads and no other can before `now + margin`. Check it
    /// directly before every outside act, with a margin in which the act surely ends.
    pub fn in_charge(&self, now: Millis, margin: Millis) -> Option<Term> {
        self.charge(now)
            .filter(|c| c.covers(now, margin))
            .map(|c| c.term)
    }

    /// Returns until when this daemon is in charge, if it leads. It holds without this node being
    /// asked again: no other daemon can lead before that, unless this one resigns.
    pub fn charge(&self, now: Millis) -> Option<Charge> {
        let until = self.replica.lease_end(now)?;
        let term = self
            .replica
            .leading_term()
            .filter(|_| self.failure.is_none())?;
        Some(Charge { term, until })
    }

    /// Returns the daemon that leads the control group, as far as known.
    pub fn leader(&self) -> Option<&DaemonId> {
        self.replica.leader_daemon()
    }

    /// Borrows the tables.
    pub fn tables(&self) -> &TableSet {
        &self.tables
    }

    /// Returns the revision applied.
    pub fn revision(&self) -> Revision {
        self.tables.revision()
    }

    /// Borrows the replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Borrows the storage.
    pub fn storage(&mut self) -> &mut S {
        &mut self.storage
    }

    /// Gives the storage back, as after a crash.
    pub fn into_storage(self) -> S {
        self.storage
    }
}

/// Appends a replication message to the actions.
pub(super) fn send_raft(to: DaemonId, message: &RaftMessage, actions: &mut Vec<NodeAction>) {
    if let Ok(bytes) = codec::encode(message) {
        let message = MeshMessage::Raft(bytes);
        actions.push(NodeAction::Send { to, message });
    }
}
