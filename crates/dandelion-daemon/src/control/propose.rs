//! Proposals to the control leader, from any daemon.

use std::time::Duration;

use dandelion_kernel::Table;
use dandelion_net::mesh::CallError;
use dandelion_protocol::codec;
use dandelion_protocol::codec::CodecError;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::time::WallMillis;
use thiserror::Error;

use crate::core::Handle;
use crate::core::new_request_id;

/// Longest wait for the answer to a proposal.
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Daemons that are asked in turn when the leader is not known.
const MAX_HOPS: usize = 4;

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

    /// Proposes to the leader, wherever it is. A proposal that may have been appended is not
    /// sent again here.
    pub async fn propose_raw(&self, proposal: Proposal) -> Result<Answer, ProposeError> {
        let mut tried = Vec::new();
        for _ in 0..MAX_HOPS {
            let Some(target) = self.next_target(&tried) else {
                break;
            };
            match self.propose_at(&target, proposal.clone()).await {
                Err(ProposeError::NoLeader) => tried.push(target),
                done => return done,
            }
        }
        Err(ProposeError::NoLeader)
    }

    async fn propose_at(&self, to: &DaemonId, proposal: Proposal) -> Result<Answer, ProposeError> {
        if to == &self.identity.daemon {
            return self.propose_here(proposal).await;
        }
        let mesh = self.mesh().ok_or(ProposeError::NoLeader)?;
        let call = CallBody::Propose(proposal);
        match mesh.call(to, call, PROPOSE_TIMEOUT).await {
            Ok(ReplyBody::Proposed(result)) => result,
            Ok(_) | Err(CallError::NotSent) => Err(ProposeError::NoLeader),
            Err(CallError::Unknown) => Err(ProposeError::Unknown),
        }
    }

    /// Proposes at this daemon's own replica.
    pub async fn propose_here(&self, proposal: Proposal) -> Result<Answer, ProposeError> {
        match self.control.replica() {
            Some(replica) => replica.propose(proposal, PROPOSE_TIMEOUT).await,
            None => Err(ProposeError::NoLeader),
        }
    }

    /// Returns the leader if known and not tried, else the next control daemon.
    fn next_target(&self, tried: &[DaemonId]) -> Option<DaemonId> {
        let leader = self.control.leader();
        let own = self.control.replica().map(|_| self.identity.daemon.clone());
        let peers = self.settings.control.peers.iter().map(|p| p.id.clone());
        leader
            .into_iter()
            .chain(own)
            .chain(peers)
            .find(|candidate| !tried.contains(candidate))
    }
}
