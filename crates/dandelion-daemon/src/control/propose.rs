//! Proposals to the control leader, from any daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use dandelion_kernel::Table;
use dandelion_net::clock;
use dandelion_net::mesh::CallError;
use dandelion_protocol::codec;
use dandelion_protocol::codec::CodecError;
use dandelion_protocol::config::Role;
use dandelion_protocol::control::Answer;
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

/// Time for a proposal to find the leader and be answered; it covers a takeover.
const PROPOSE_LIMIT: Millis = Millis(5000);

/// Pause after every control daemon was asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a replica that gave no answer is asked only after the others.
const SUSPECT_TIME: Millis = Millis(1500);

/// Identity of a change and of who makes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Author {
    /// Identity of the change.
    pub request: RequestId,
    /// Operator or daemon.
    pub name: String,
    /// Revision of the table that the author saw.
    pub expected: Option<Revision>,
}

/// Why a typed proposal gave no reply.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum Failed {
    /// No answer can be given.
    #[error(transparent)]
    Unanswered(#[from] ProposeError),
    /// It took no effect.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The command or reply has no encoding.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// A typed reply with the revision at which it was given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied<R> {
    /// Revision.
    pub revision: Revision,
    /// The table's reply.
    pub reply: R,
}

impl Handle {
    /// Proposes a command in this daemon's own name under a new request id.
    pub async fn propose_own<T>(&self, command: &T::Command) -> Result<Applied<T::Reply>, Failed>
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
    ) -> Result<Applied<T::Reply>, Failed>
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

    /// Proposes to the leader, wherever it is, and goes on through a takeover. Sending a proposal
    /// again is safe: a request id takes effect once and keeps its first answer.
    pub async fn propose_raw(&self, proposal: Proposal) -> Result<Answer, ProposeError> {
        let until = clock::boot_now() + PROPOSE_LIMIT;
        let mut search = LeaderSearch::default();
        let mut failed = ProposeError::NoLeader;
        while clock::boot_now() < until {
            let Some(target) = search.next(&self.candidates()) else {
                search.begin_round();
                task::sleep(ROUND_PAUSE).await;
                continue;
            };
            match self.propose_at(&target, proposal.clone()).await {
                Err(ProposeError::NoLeader) => search.pass(target),
                Err(ProposeError::Unknown) => {
                    failed = ProposeError::Unknown;
                    search.suspect(target);
                }
                done => return done,
            }
        }
        Err(failed)
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

    /// Proposes at this daemon's own replica.
    pub async fn propose_here(&self, proposal: Proposal) -> Result<Answer, ProposeError> {
        match self.control.replica() {
            Some(replica) => replica.propose(proposal, ATTEMPT_TIMEOUT).await,
            None => Err(ProposeError::NoLeader),
        }
    }

    /// Returns the leader if known, then the other control daemons.
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

/// Which control daemons were asked in this round, and which gave no answer lately.
#[derive(Debug, Default)]
struct LeaderSearch {
    asked: Vec<DaemonId>,
    suspects: BTreeMap<DaemonId, Millis>,
}

impl LeaderSearch {
    /// Returns the first candidate that was not asked and gave no cause for suspicion.
    fn next(&self, candidates: &[DaemonId]) -> Option<DaemonId> {
        let now = clock::boot_now();
        let fit = |id: &&DaemonId| {
            let suspected = self.suspects.get(*id).is_some_and(|until| now < *until);
            !suspected && !self.asked.contains(id)
        };
        candidates.iter().find(fit).cloned()
    }

    /// Notes a replica that knows itself not to lead, or could not be reached.
    fn pass(&mut self, id: DaemonId) {
        self.asked.push(id);
    }

    /// Notes a replica that gave no answer.
    fn suspect(&mut self, id: DaemonId) {
        self.suspects.insert(id, clock::boot_now() + SUSPECT_TIME);
    }

    fn begin_round(&mut self) {
        self.asked.clear();
    }
}
