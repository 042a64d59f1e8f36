//! Proposals to the control leader, from any daemon.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_kernel::Table;
use dandelion_net::clock;
use dandelion_net::mesh::CallError;
use dandelion_protocol::codec;
use dandelion_protocol::codec::CodecError;
use dandelion_protocol::config::Role;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::MAX_COMMAND_BYTES;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use thiserror::Error;

use crate::core::Handle;
use crate::core::new_request_id;

/// Longest wait for the answer of one replica.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time to find the leader and get its answer; covers a change of leader.
const PROPOSE_TIMEOUT: Millis = Millis(5000);

/// Delay after a round in which no control daemon answered as leader.
const ROUND_DELAY: Duration = Duration::from_millis(50);

/// Time for which a replica that gave no answer is skipped.
const SUSPECT_TIME: Millis = Millis(1500);

/// Identity, author and precondition of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// Identity of the change, kept over resends.
    pub request: RequestId,
    /// Name of the operator or daemon that makes it.
    pub name: String,
    /// Revision of the table that the author has read; the change is rejected if the table has
    /// changed since. None makes the change unconditional.
    pub expected: Option<Revision>,
}

/// Reason why a typed proposal got no reply.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum CommandError {
    /// No leader answered in time, or it was lost before its answer.
    #[error(transparent)]
    Unanswered(#[from] ProposeError),
    /// The command was rejected and changed nothing.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The command cannot be encoded, or the reply cannot be decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// A typed reply to a proposal that took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied<R> {
    /// Revision at which it took effect.
    pub revision: Revision,
    /// Reply of the table.
    pub reply: R,
}

impl Handle {
    /// Proposes a command in this daemon's own name under a new request id.
    pub async fn propose_own<T>(
        &self,
        command: &T::Command,
    ) -> Result<Applied<T::Reply>, CommandError>
    where
        T: Table,
    {
        let author = Author {
            request: new_request_id(),
            name: self.identity.daemon.to_string(),
            expected: None,
        };
        self.propose::<T>(author, command).await
    }

    /// Proposes a typed command and waits for the table's reply.
    pub async fn propose<T>(
        &self,
        author: Author,
        command: &T::Command,
    ) -> Result<Applied<T::Reply>, CommandError>
    where
        T: Table,
    {
        let proposal = Proposal {
            id: author.request,
            author: author.name,
            at: WallMillis(0),
            expected: author.expected,
            table: T::NAME.to_owned(),
            command: codec::encode(command)?,
        };
        let answer = self.propose_raw(proposal).await?;
        let reply = codec::decode(&answer.result?)?;
        Ok(Applied {
            revision: answer.revision,
            reply,
        })
    }

    /// Finds the leader, proposes to it and retries while the leader changes. Sending a proposal
    /// again is safe: a request id takes effect once, and a resend gets the first answer.
    pub async fn propose_raw(&self, proposal: Proposal) -> Result<Answer, ProposeError> {
        let length = proposal.command.len();
        if length > MAX_COMMAND_BYTES {
            return Err(ProposeError::TooLong { length });
        }
        let until = clock::boot_now() + PROPOSE_TIMEOUT;
        let mut search = LeaderSearch::default();
        let mut failed = ProposeError::NoLeader;
        while clock::boot_now() < until {
            let Some(target) = search.next(&self.candidates()) else {
                search.begin_round();
                task::sleep(ROUND_DELAY).await;
                continue;
            };
            match self.propose_at(&target, proposal.clone()).await {
                Err(ProposeError::NoLeader) => search.mark_tried(target),
                Err(ProposeError::Unknown) => {
                    failed = ProposeError::Unknown;
                    search.suspect(target);
                }
                done => return done,
            }
        }
        Err(failed)
    }

    /// Calls one control daemon after the other, the leader first if it is known, until `accept`
    /// returns something for a reply. Returns none if nothing is accepted within `limit`.
    pub async fn call_leader<R, F>(
        &self,
        body: &CallBody,
        limit: Duration,
        mut accept: F,
    ) -> Option<R>
    where
        F: FnMut(ReplyBody) -> Option<R>,
    {
        let mesh = self.mesh()?;
        let until = Instant::now() + limit;
        for target in self.candidates() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            let reply = mesh.call(&target, body.clone(), remaining).await;
            let accepted = reply.ok().and_then(&mut accept);
            if accepted.is_some() {
                return accepted;
            }
        }
        None
    }

    async fn propose_at(&self, to: &DaemonId, proposal: Proposal) -> Result<Answer, ProposeError> {
        if to == &self.identity.daemon {
            return self.propose_here(proposal).await;
        }
        let mesh = self.mesh().ok_or(ProposeError::NoLeader)?;
        let call = CallBody::Propose(proposal);
        match mesh.call(to, call, ATTEMPT_TIMEOUT).await {
            Ok(ReplyBody::Proposed(result)) => result,
            Ok(_) | Err(CallError::NotSent) => Err(ProposeError::NoLeader),
            Err(CallError::Unknown) => Err(ProposeError::Unknown),
        }
    }

    /// Proposes to this daemon's own replica; fails with `NoLeader` if it has none.
    pub async fn propose_here(&self, proposal: Proposal) -> Result<Answer, ProposeError> {
        match self.control.replica() {
            Some(replica) => replica.propose(proposal, ATTEMPT_TIMEOUT).await,
            None => Err(ProposeError::NoLeader),
        }
    }

    /// Returns the control daemons in the order in which they are tried: the leader if known, this
    /// daemon, those among the members and those that the settings name.
    fn candidates(&self) -> Vec<DaemonId> {
        let leader = self.control.leader();
        let own = self.control.replica().map(|_| self.identity.daemon.clone());
        let peers = self.settings.control.peers.iter().map(|p| p.id.clone());
        let view = self.control.view();
        let members = view.members.iter().filter(|m| m.role == Role::Control);
        let members = members.map(|m| m.id.clone());
        let named = leader.into_iter().chain(own).chain(members).chain(peers);
        let mut candidates: Vec<DaemonId> = Vec::new();
        for id in named {
            if !candidates.contains(&id) {
                candidates.push(id);
            }
        }
        candidates
    }
}

/// Control daemons that were tried in this round, and those that gave no answer recently.
#[derive(Debug, Default)]
struct LeaderSearch {
    tried: Vec<DaemonId>,
    suspects: BTreeMap<DaemonId, Millis>,
}

impl LeaderSearch {
    /// Returns the first candidate that was not tried in this round and is not suspected.
    fn next(&self, candidates: &[DaemonId]) -> Option<DaemonId> {
        let now = clock::boot_now();
        let is_eligible = |id: &&DaemonId| {
            let suspected = self.suspects.get(*id).is_some_and(|until| now < *until);
            !suspected && !self.tried.contains(id)
        };
        candidates.iter().find(is_eligible).cloned()
    }

    /// Skips a replica for this round because it does not lead or nothing could be sent to it.
    fn mark_tried(&mut self, id: DaemonId) {
        self.tried.push(id);
    }

    /// Skips a replica for [`SUSPECT_TIME`] because it gave no answer.
    fn suspect(&mut self, id: DaemonId) {
        self.suspects.insert(id, clock::boot_now() + SUSPECT_TIME);
    }

    fn begin_round(&mut self) {
        self.tried.clear();
    }
}
