//! One replica of the log as a plain state machine.

use std::collections::BTreeMap;
use std::sync::Arc;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::raft::faults::Fault;
use crate::raft::install::Incoming;
use crate::raft::log::Log;
use crate::raft::membership::Membership;
use crate::raft::message::Body;
use crate::raft::message::Envelope;
use crate::raft::progress::Progress;
use crate::raft::types::Entry;
use crate::raft::types::GroupId;
use crate::raft::types::HardState;
use crate::raft::types::Payload;
use crate::raft::types::Position;
use crate::raft::types::ReplicaId;
use crate::raft::types::Snapshot;
use crate::raft::types::Writes;
use crate::storage::Recovered;
use crate::timing::Timing;

/// What a replica is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it could win an election.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its daemon.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Periods and leases.
    pub timing: Timing,
    /// Safety rule left out by a test.
    pub fault: Option<Fault>,
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    /// Memberships in the log by index; the first one is the snapshot's.
    pub(super) members: Vec<(u64, Membership)>,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) commit: u64,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    /// When a leader was last heard; the promise to it runs from here.
    pub(super) heard: Millis,
    pub(super) deadline: Millis,
    pub(super) votes: BTreeMap<ReplicaId, bool>,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) elected: Millis,
    pub(super) first: u64,
    pub(super) beat: Millis,
    pub(super) incoming: Option<Incoming>,
    pub(super) installed: Option<Arc<Snapshot>>,
    pub(super) outbox: Vec<Envelope>,
    pub(super) writes: Writes,
}

impl Replica {
    /// Opens a replica on what storage recovered. It gives no vote before a promise that it may
    /// have made in an earlier life has run out.
    pub fn open(settings: Settings, recovered: Recovered, now: Millis, seed: u64) -> Self {
        let snapshot = Arc::new(recovered.snapshot.unwrap_or_default());
        let log = Log::open(snapshot.at, recovered.entries);
        let mut members = vec![(snapshot.at.index, snapshot.members.clone())];
        members.extend(log.iter().filter_map(|entry| match &entry.payload {
            Payload::Members(members) => Some((entry.at.index, members.clone())),
            _ => None,
        }));
        let mut replica = Self {
            id: recovered.replica,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            hard: recovered.hard,
            commit: snapshot.at.index,
            log,
            members,
            snapshot,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            elected: Millis::ZERO,
            first: 0,
            beat: Millis::ZERO,
            incoming: None,
            installed: None,
            outbox: Vec::new(),
            writes: Writes::default(),
        };
        replica.reset_deadline(now);
        replica
    }

    /// Returns the identity of the data folder.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the term and the vote given in it.
    pub fn hard_state(&self) -> HardState {
        self.hard
    }

    /// Returns the role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the index up to which entries are committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the replicas as of the end of the log.
    pub fn membership(&self) -> &Membership {
        let last = self.members.len() - 1;
        &self.members[last].1
    }

    /// Returns the replicas as of `index`.
    pub fn membership_at(&self, index: u64) -> &Membership {
        let known = self.members.iter().rev().find(|(at, _)| *at <= index);
        &known.unwrap_or(&self.members[0]).1
    }

    /// Returns the replica that leads the current term, as far as known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns when a leader was last heard; meaningless for a leader.
    pub fn last_heard(&self) -> Millis {
        self.heard
    }

    /// Returns the daemon that leads the current term, as far as known.
    pub fn leader_daemon(&self) -> Option<&DaemonId> {
        self.daemon_of(self.leader?)
    }

    /// Returns the daemon of a replica.
    pub fn daemon_of(&self, id: ReplicaId) -> Option<&DaemonId> {
        let replica = self.membership().replicas.get(&id);
        replica.map(|r| &r.daemon)
    }

    /// Returns what a leader knows of the others.
    pub fn progress(&self) -> &BTreeMap<ReplicaId, Progress> {
        &self.progress
    }

    /// Returns the term if this replica leads and has committed an entry of its own term.
    pub fn leads(&self) -> Option<Term> {
        let settled = self.role == Role::Leader && self.commit >= self.first;
        settled.then_some(self.hard.term)
    }

    /// Returns the earliest time at which a quorum's running promise can have begun.
    pub fn quorum_heard(&self, now: Millis) -> Option<Millis> {
        if self.role != Role::Leader {
            return None;
        }
        let promised = |id: ReplicaId| match self.progress.get(&id) {
            Some(progress) => progress.promised,
            None => (id == self.id).then_some(now),
        };
        self.membership().quorum_value(promised).flatten()
    }

    /// Returns when the leader lease ends by this replica's clock, if it leads.
    pub fn lease_end(&self, now: Millis) -> Option<Millis> {
        let start = self.quorum_heard(now)?;
        Some(start + self.settings.timing.leader_lease())
    }

    /// Takes the messages to send; call it after the writes were synced.
    pub fn take_outbox(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes what must be stored and synced.
    pub fn take_writes(&mut self) -> Writes {
        std::mem::take(&mut self.writes)
    }

    /// Takes a snapshot that replaced the log, for the tables to be restored from it.
    pub fn take_installed(&mut self) -> Option<Arc<Snapshot>> {
        self.installed.take()
    }

    /// Appends an entry if this replica leads, and returns its position.
    pub fn propose(&mut self, payload: Payload) -> Option<Position> {
        if self.role != Role::Leader {
            return None;
        }
        let at = Position {
            term: self.hard.term,
            index: self.log.last().index + 1,
        };
        self.push(Entry { at, payload });
        Some(at)
    }

    pub(super) fn push(&mut self, entry: Entry) {
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.at.index, members.clone()));
            self.track_members();
        }
        self.writes.entries.push(entry.clone());
        self.log.push(entry);
    }

    /// Replaces the entries up to `index` by a snapshot of the tables, keeping `keep` entries
    /// before it in memory for replicas that lag.
    pub fn compact(&mut self, index: u64, data: Vec<u8>, keep: u64) -> Arc<Snapshot> {
        let Some(at) = self.log.position(index) else {
            return Arc::clone(&self.snapshot);
        };
        let members = self.membership_at(index).clone();
        self.snapshot = Arc::new(Snapshot { at, members, data });
        self.log.compact(index.saturating_sub(keep));
        let kept = self
            .members
            .iter()
            .rposition(|(at, _)| *at <= self.log.base().index);
        self.members.drain(..kept.unwrap_or(0));
        Arc::clone(&self.snapshot)
    }

    /// Handles one message.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) {
        if envelope.to != self.id || !self.accepts_group(envelope.group) {
            return;
        }
        let from = envelope.from;
        match envelope.body {
            Body::PreVote { last } => self.on_pre_vote(now, from, envelope.term, last),
            Body::Vote { last, handover } => {
                self.on_vote(now, from, envelope.term, last, handover);
            }
            Body::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now, from, envelope.term, granted);
            }
            body => {
                if self.check_term(now, from, envelope.term) {
                    self.on_current(now, from, body);
                }
            }
        }
    }

    fn accepts_group(&self, group: GroupId) -> bool {
        let own = self.membership().group;
        let unknown = GroupId::default();
        own == unknown || group == unknown || own == group
    }

    /// Adopts a newer term and returns whether a message of `term` is to be handled.
    fn check_term(&mut self, now: Millis, from: ReplicaId, term: Term) -> bool {
        if term > self.hard.term {
            self.follow(now, term);
        }
        if term < self.hard.term && self.settings.fault != Some(Fault::IgnoreTerm) {
            self.reject_old(from);
            return false;
        }
        true
    }

    /// Tells the sender of an old term about the current one.
    fn reject_old(&mut self, from: ReplicaId) {
        let body = Body::AppendReply {
            accepted: false,
            index: 0,
            sent: Millis::ZERO,
        };
        self.send(from, body);
    }

    fn on_current(&mut self, now: Millis, from: ReplicaId, body: Body) {
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted),
            Body::Append {
                prev,
                commit,
                sent,
                entries,
            } => {
                self.hear_leader(now, from);
                self.on_append(from, prev, commit, sent, entries);
            }
            Body::AppendReply {
                accepted,
                index,
                sent,
            } => self.on_append_reply(now, from, accepted, index, sent),
            Body::Chunk(chunk) => {
                self.hear_leader(now, from);
                self.on_chunk(from, chunk);
            }
            Body::ChunkReply { at, offset, sent } => {
                self.on_chunk_reply(now, from, at, offset, sent);
            }
            Body::Handover => self.on_handover(now),
            Body::PreVote { .. } | Body::PreVoteReply { .. } | Body::Vote { .. } => {}
        }
    }

    fn hear_leader(&mut self, now: Millis, from: ReplicaId) {
        self.role = Role::Follower;
        self.leader = Some(from);
        self.heard = now;
        self.reset_deadline(now);
    }

    pub(super) fn reset_deadline(&mut self, now: Millis) {
        let spread = self.settings.timing.election_spread.0;
        let extra = Millis(self.rng.random_range(0..=spread));
        let promise = match self.settings.fault {
            Some(Fault::SkipPromise) => Millis::ZERO,
            _ => self.settings.timing.promise,
        };
        self.deadline = now + promise + extra;
    }

    pub(super) fn send(&mut self, to: ReplicaId, body: Body) {
        let term = self.hard.term;
        self.send_as(to, term, body);
    }

    pub(super) fn send_as(&mut self, to: ReplicaId, term: Term, body: Body) {
        self.outbox.push(Envelope {
            group: self.membership().group,
            from: self.id,
            to,
            term,
            body,
        });
    }

    pub(super) fn save_hard(&mut self) {
        self.writes.hard = Some(self.hard);
    }
}
