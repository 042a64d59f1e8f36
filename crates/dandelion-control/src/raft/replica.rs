//! One replica of the log as a deterministic state machine without I/O.

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
use crate::raft::install::IncomingSnapshot;
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

/// Role of a replica in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks the voters whether it could win an election, without starting a term.
    PreCandidate,
    /// Requests votes in a term that it has started.
    Candidate,
    /// Won the election of its term; may not have committed an entry of that term yet.
    Leader,
}

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Daemon that runs the replica.
    pub daemon: DaemonId,
    /// Availability zone of that daemon.
    pub zone: ZoneId,
    /// Whether the daemon was started after the cell's first start.
    pub added: bool,
    /// Periods and leases, the same on all replicas of the group.
    pub timing: Timing,
    /// Safety rule that a test disables; none in production.
    pub fault: Option<Fault>,
}

/// One replica: its durable state, its log in memory and its role.
#[derive(Debug)]
pub struct Replica {
    pub(super) id: ReplicaId,
    pub(super) settings: Settings,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: Log,
    /// Memberships by the log index from which they apply; the first one is the snapshot's.
    pub(super) members: Vec<(u64, Membership)>,
    pub(super) snapshot: Arc<Snapshot>,
    pub(super) commit: u64,
    pub(super) role: Role,
    pub(super) leader: Option<ReplicaId>,
    /// When the last message of a leader arrived; the promise to that leader runs from then.
    pub(super) last_contact: Millis,
    pub(super) election_deadline: Millis,
    pub(super) votes: BTreeMap<ReplicaId, bool>,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    pub(super) elected_at: Millis,
    /// Index of the first entry of this leader's term.
    pub(super) first_index: u64,
    pub(super) last_heartbeat: Millis,
    /// Snapshot that is being received in chunks.
    pub(super) incoming: Option<IncomingSnapshot>,
    /// Snapshot that replaced the log and has not been restored into the tables yet.
    pub(super) installed: Option<Arc<Snapshot>>,
    pub(super) outbox: Vec<Envelope>,
    pub(super) writes: Writes,
}

impl Replica {
    /// Opens a replica on the state that storage recovered. It grants no vote until a promise that
    /// it may have made before the restart has expired.
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
            last_contact: now,
            election_deadline: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            elected_at: Millis::ZERO,
            first_index: 0,
            last_heartbeat: Millis::ZERO,
            incoming: None,
            installed: None,
            outbox: Vec::new(),
            writes: Writes::default(),
        };
        replica.reset_election_deadline(now);
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

    /// Returns the current term and the vote granted in it.
    pub fn hard_state(&self) -> HardState {
        self.hard
    }

    /// Returns the role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the index up to which entries are committed.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the log in memory.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the membership as of the end of the log, committed or not.
    pub fn membership(&self) -> &Membership {
        let last = self.members.len() - 1;
        &self.members[last].1
    }

    /// Returns the membership as of the entry at `index`.
    pub fn membership_at(&self, index: u64) -> &Membership {
        let known = self.members.iter().rev().find(|(at, _)| *at <= index);
        &known.unwrap_or(&self.members[0]).1
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns when the last message of a leader arrived; meaningless on the leader itself.
    pub fn last_contact(&self) -> Millis {
        self.last_contact
    }

    /// Returns the daemon of the current term's leader, if known.
    pub fn leader_daemon(&self) -> Option<&DaemonId> {
        self.daemon_of(self.leader?)
    }

    /// Returns the daemon of a replica that belongs to the group.
    pub fn daemon_of(&self, id: ReplicaId) -> Option<&DaemonId> {
        let replica = self.membership().replicas.get(&id);
        replica.map(|r| &r.daemon)
    }

    /// Returns the leader's record of each other replica; empty on other replicas.
    pub fn progress(&self) -> &BTreeMap<ReplicaId, Progress> {
        &self.progress
    }

    /// Returns the term if this replica leads and has committed an entry of its own term. It may be
    /// deposed without knowing; see [`Replica::lease_end`].
    pub fn leading_term(&self) -> Option<Term> {
        let established = self.role == Role::Leader && self.commit >= self.first_index;
        established.then_some(self.hard.term)
    }

    /// Returns the latest time such that a quorum of voters has echoed messages sent at or after
    /// it, if this replica leads. The promises of that quorum run at least from then.
    pub fn quorum_contact(&self, now: Millis) -> Option<Millis> {
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
        let start = self.quorum_contact(now)?;
        Some(start + self.settings.timing.leader_lease())
    }

    /// Takes the messages to send. Call it only after the writes of the step were synced.
    pub fn take_outbox(&mut self) -> Vec<Envelope> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the writes that must be stored and synced before any message is sent.
    pub fn take_writes(&mut self) -> Writes {
        std::mem::take(&mut self.writes)
    }

    /// Takes the snapshot that replaced the log since the last call; the tables must be restored
    /// from it.
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

    /// Replaces the entries up to `index` by a snapshot of the tables, but retains the last `keep`
    /// of them in memory for replicas that lag.
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

    /// Handles one message from another replica.
    pub fn receive(&mut self, now: Millis, envelope: Envelope) {
        if envelope.to != self.id || !self.accepts_group(envelope.group) {
            return;
        }
        let from = envelope.from;
        match envelope.body {
            Body::PreVote { last } => self.on_pre_vote(now, from, envelope.term, last),
            Body::Vote {
                last,
                leader_transfer,
            } => {
                self.on_vote(now, from, envelope.term, last, leader_transfer);
            }
            Body::PreVoteReply { granted } => {
                self.on_pre_vote_reply(now, from, envelope.term, granted);
            }
            body => {
                if self.check_term(now, from, envelope.term) {
                    self.on_current_term(now, from, body);
                }
            }
        }
    }

    fn accepts_group(&self, group: GroupId) -> bool {
        let own = self.membership().group;
        let unknown = GroupId::default();
        own == unknown || group == unknown || own == group
    }

    /// Adopts `term` if it is newer and returns whether a message of that term is to be handled.
    fn check_term(&mut self, now: Millis, from: ReplicaId, term: Term) -> bool {
        if term > self.hard.term {
            self.become_follower(now, term);
        }
        if term < self.hard.term && self.settings.fault != Some(Fault::IgnoreTerm) {
            self.reject_stale(from);
            return false;
        }
        true
    }

    /// Sends the current term to a replica that sent a message of an older one.
    fn reject_stale(&mut self, from: ReplicaId) {
        let body = Body::AppendReply {
            accepted: false,
            index: 0,
            sent: Millis::ZERO,
        };
        self.send(from, body);
    }

    fn on_current_term(&mut self, now: Millis, from: ReplicaId, body: Body) {
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(now, from, granted),
            Body::Append {
                prev,
                commit,
                sent,
                entries,
            } => {
                self.record_leader_contact(now, from);
                self.on_append(from, prev, commit, sent, entries);
            }
            Body::AppendReply {
                accepted,
                index,
                sent,
            } => self.on_append_reply(now, from, accepted, index, sent),
            Body::Chunk(chunk) => {
                self.record_leader_contact(now, from);
                self.on_chunk(from, chunk);
            }
            Body::ChunkReply { at, offset, sent } => {
                self.on_chunk_reply(now, from, at, offset, sent);
            }
            Body::TimeoutNow => self.on_timeout_now(now),
            Body::PreVote { .. } | Body::PreVoteReply { .. } | Body::Vote { .. } => {}
        }
    }

    fn record_leader_contact(&mut self, now: Millis, from: ReplicaId) {
        self.role = Role::Follower;
        self.leader = Some(from);
        self.last_contact = now;
        self.reset_election_deadline(now);
    }

    pub(super) fn reset_election_deadline(&mut self, now: Millis) {
        let spread = self.settings.timing.election_jitter.0;
        let extra = Millis(self.rng.random_range(0..=spread));
        let promise = match self.settings.fault {
            Some(Fault::SkipPromise) => Millis::ZERO,
            _ => self.settings.timing.promise,
        };
        self.election_deadline = now + promise + extra;
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
