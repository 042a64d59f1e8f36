//! Actions that a coordinator requests from its daemon.

use std::sync::Arc;

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::SampleId;
use dandelion_protocol::rollout::VoidBatch;
use dandelion_protocol::time::Millis;

use crate::attribution::Prefix;
use crate::coordinator::event::AttemptId;
use crate::coordinator::event::ProposalId;
use crate::coordinator::event::Ticket;
use crate::ledger::LedgerCommand;
use crate::payload::BlobId;
use crate::payload::Payload;

/// A generation request for an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Generate {
    /// Attempt under which progress and end are reported.
    pub attempt: AttemptId,
    /// Sample to generate.
    pub sample: SampleId,
    /// Prompt of the sample's group.
    pub prompt: Arc<str>,
    /// Attributed tokens to continue; empty for a fresh start.
    pub resume: Prefix,
    /// Tokens that this attempt may generate, those in `resume` not included.
    pub max_tokens: u32,
    /// Lowest version that the engine must have loaded.
    pub min_version: WeightVersion,
    /// Engines to avoid if others are available.
    pub avoid: Vec<UpstreamId>,
}

/// A call to the scoring service.
#[derive(Debug, Clone, PartialEq)]
pub struct ScoreCall {
    /// Attempt that finished the sample; the call's idempotency key.
    pub attempt: AttemptId,
    /// Sample to score.
    pub sample: SampleId,
    /// Prompt of the sample's group.
    pub prompt: Arc<str>,
    /// Generated text of the sample.
    pub text: String,
}

/// Answer to a trainer, with its HTTP status.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A batch (200).
    Batch(Arc<Batch>),
    /// The frozen batch can no longer be delivered (410).
    Void(VoidBatch),
    /// The batch is not complete yet (202): pull the same cursor again after this time.
    Pending(Millis),
    /// Prompts of these groups were lost; feed the same ones again (409).
    FeedAgain {
        /// Group number of the first lost prompt.
        first: u64,
        /// Number of lost prompts.
        count: u64,
    },
    /// Prompts fed in total (200).
    Fed(u64),
    /// The lease was renewed for this long, or released if zero (200).
    Renewed(Millis),
    /// Newest published version (200).
    Published(WeightVersion),
    /// The request was refused; the status is that of the refusal.
    Refused(Refusal),
}

/// An action for the daemon to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends a generation request to an engine.
    Generate(Generate),
    /// Cancels an attempt; `Failed` is expected with the tokens that it generated.
    CancelAttempt(AttemptId),
    /// Calls the scoring service; `Scored` is expected.
    Score(ScoreCall),
    /// Proposes a change of the ledger; `LedgerAnswer` is expected.
    Propose {
        /// Names the proposal in its answer.
        proposal: ProposalId,
        /// Change of this job's ledger.
        command: LedgerCommand,
    },
    /// Publishes a version in the configuration, after the ledger recorded it.
    PublishConfig(WeightVersion),
    /// Answers a trainer; each ticket is answered once.
    Reply {
        /// Request that is answered.
        ticket: Ticket,
        /// Status and body.
        answer: Answer,
    },
    /// Stores a payload here and on a second daemon, in another zone if there is one; `Replicated`
    /// is expected.
    Replicate {
        /// Identity under which it is stored.
        blob: BlobId,
        /// Prompts, group or batch.
        payload: Payload,
    },
    /// Fetches a payload from its holders; `Fetched` is expected.
    Fetch {
        /// Identity of the payload.
        blob: BlobId,
        /// Daemons that store it according to the ledger.
        holders: Vec<DaemonId>,
    },
    /// Collects the groups of the job stored on this and the other daemons; `Recovered` is
    /// expected.
    Recover,
    /// Removes the stored groups below this number on every daemon.
    ReleaseGroups(u64),
    /// Removes a payload on its holders.
    Release {
        /// Identity of the payload.
        blob: BlobId,
        /// Daemons that store it according to the ledger.
        holders: Vec<DaemonId>,
    },
    /// This coordinator has stepped down: drop it.
    StepDown,
}
