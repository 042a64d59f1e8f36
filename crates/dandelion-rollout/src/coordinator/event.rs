//! Events that a coordinator handles.

use std::sync::Arc;

use dandelion_protocol::config::Job;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::rollout::FeedRequest;
use dandelion_protocol::rollout::Group;
use dandelion_protocol::rollout::PullRequest;
use dandelion_protocol::rollout::TrainerId;

use crate::attribution::SegmentReport;
use crate::ledger::LedgerRefusal;
use crate::ledger::LedgerReply;
use crate::payload::BlobId;
use crate::payload::Payload;
use crate::scorer::ScorerSettings;

/// A trainer's request that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// One generation request; unique within the job, over all daemons and epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// Names an outstanding proposal; unique within one coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProposalId(pub u64);

/// How an attempt ended without a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether it ran on an engine.
    pub ran: Ran,
    /// Tokens that it generated in total, if known; otherwise its whole reservation is charged.
    pub tokens: Option<u32>,
}

/// An event for a [`crate::coordinator::Coordinator`].
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Operators changed or ended the job.
    ConfigChanged(Job),
    /// The limits of the scoring service changed.
    ScorerChanged(ScorerSettings),
    /// Number of attempts that the engines can run for this job concurrently.
    Capacity(usize),
    /// A trainer feeds prompts.
    Prompts {
        /// Request to answer.
        ticket: Ticket,
        /// Prompts and the group number of the first one.
        request: FeedRequest,
    },
    /// A trainer publishes a version.
    Publish {
        /// Request to answer.
        ticket: Ticket,
        /// Version that engines can now fetch.
        version: WeightVersion,
    },
    /// The configuration feed shows a published version.
    Published {
        /// Newest version in the configuration.
        version: WeightVersion,
    },
    /// A trainer pulls a cursor.
    Pull {
        /// Request to answer.
        ticket: Ticket,
        /// Cursor, trainer process and longest wait.
        request: PullRequest,
    },
    /// A trainer renews its lease while it trains.
    Renew {
        /// Request to answer.
        ticket: Ticket,
        /// Trainer process, which must hold the lease.
        trainer: TrainerId,
        /// Whether it releases the lease instead.
        release: bool,
    },
    /// The connection of a trainer's request was closed.
    TicketClosed {
        /// Request that needs no answer any more.
        ticket: Ticket,
    },
    /// An engine reported tokens of an attempt.
    Progress {
        /// Attempt that generates the tokens.
        attempt: AttemptId,
        /// Engine on which it runs.
        upstream: UpstreamId,
        /// Range, versions and text of the tokens.
        report: SegmentReport,
    },
    /// An attempt's answer is complete; every token was reported before.
    Done {
        /// Attempt that ended.
        attempt: AttemptId,
    },
    /// An attempt ended without a complete answer. Also ends a cancelled attempt.
    Failed {
        /// Attempt that ended.
        attempt: AttemptId,
        /// Whether it ran, and the tokens that it generated.
        failure: Failure,
    },
    /// The scoring service answered, or the call failed.
    Scored {
        /// Attempt that finished the sample.
        attempt: AttemptId,
        /// Score, or whether the failed call may have run.
        result: Result<f64, Ran>,
    },
    /// The control group answered a proposal.
    LedgerAnswer {
        /// Proposal that was answered.
        proposal: ProposalId,
        /// The ledger's reply or refusal, or why the outcome is unknown.
        answer: Result<Result<LedgerReply, LedgerRefusal>, ProposeError>,
    },
    /// A payload was replicated.
    Replicated {
        /// Identity of the payload.
        blob: BlobId,
        /// Daemons that stored it, this one included; fewer than two if no other daemon did.
        holders: Vec<DaemonId>,
    },
    /// A payload was fetched, or no holder has it.
    Fetched {
        /// Identity of the payload.
        blob: BlobId,
        /// The payload, or none if no holder has it.
        payload: Option<Payload>,
    },
    /// Groups that daemons stored for earlier coordinators of the job; some may lack samples.
    /// May arrive more than once.
    Recovered(Vec<Arc<Group>>),
    /// Another daemon is to coordinate the job: the membership changed, or this one stops.
    Resign,
    /// Time has passed; expected every [`crate::coordinator::settings::TICK`].
    Tick,
}

impl Event {
    /// Returns the ticket of a trainer's request, which must be answered; none for other events.
    pub fn ticket(&self) -> Option<Ticket> {
        match self {
            Self::Prompts { ticket, .. }
            | Self::Publish { ticket, .. }
            | Self::Pull { ticket, .. }
            | Self::Renew { ticket, .. } => Some(*ticket),
            _ => None,
        }
    }
}
