//! What can happen to a coordinator.

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

/// A proposal under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u64);

/// Why an attempt ended without its sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether it reached an engine.
    pub ran: Ran,
    /// Tokens that it generated in all, if known; otherwise its whole reservation is charged.
    pub tokens: Option<u32>,
}

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The job was changed by operators, or ended.
    ConfigChanged(Job),
    /// The scoring service's limits.
    ScorerChanged(ScorerSettings),
    /// Rollout requests that the engines can run for this job at once.
    Capacity(usize),
    /// A trainer feeds prompts.
    Prompts {
        /// Where to answer.
        ticket: Ticket,
        /// Request.
        request: FeedRequest,
    },
    /// A trainer publishes a version.
    Publish {
        /// Where to answer.
        ticket: Ticket,
        /// Version.
        version: WeightVersion,
    },
    /// The configuration feed shows a published version.
    Published {
        /// Version.
        version: WeightVersion,
    },
    /// A trainer pulls a cursor.
    Pull {
        /// Where to answer.
        ticket: Ticket,
        /// Request.
        request: PullRequest,
    },
    /// A trainer renews its lease while it trains.
    Renew {
        /// Where to answer.
        ticket: Ticket,
        /// Trainer process.
        trainer: TrainerId,
        /// Whether it hands the lease back instead.
        release: bool,
    },
    /// The connection behind a ticket is gone.
    TicketClosed {
        /// Ticket.
        ticket: Ticket,
    },
    /// An engine reported tokens of an attempt.
    Progress {
        /// Attempt.
        attempt: AttemptId,
        /// Engine.
        upstream: UpstreamId,
        /// Report.
        report: SegmentReport,
    },
    /// An attempt's answer is whole; every token was reported before.
    Done {
        /// Attempt.
        attempt: AttemptId,
    },
    /// An attempt ended without a whole answer. Also ends a cancelled attempt.
    Failed {
        /// Attempt.
        attempt: AttemptId,
        /// What is known.
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
        /// Proposal.
        token: Token,
        /// Answer.
        answer: Result<Result<LedgerReply, LedgerRefusal>, ProposeError>,
    },
    /// A payload was stored by these daemons, the own one included; fewer than two if no daemon
    /// of another zone took it.
    Replicated {
        /// Payload.
        blob: BlobId,
        /// Holders.
        holders: Vec<DaemonId>,
    },
    /// A payload was fetched, or no holder has it.
    Fetched {
        /// Payload.
        blob: BlobId,
        /// Its bytes.
        payload: Option<Payload>,
    },
    /// Groups that daemons kept from the time before this one took charge; some may lack
    /// samples. May come more than once.
    Recovered(Vec<Arc<Group>>),
    /// Another daemon is to take charge: the membership says so, or this one stops.
    Resign,
    /// Time passed; expected every [`crate::coordinator::settings::TICK`].
    Tick,
}

impl Event {
    /// Returns the ticket that an event asks to be answered.
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
