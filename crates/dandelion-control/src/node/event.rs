//! Settings of a control daemon, its input (events) and output (actions).

use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::shared_bytes::SharedBytes;
use dandelion_protocol::time::Millis;

use crate::raft::ChangeError;
use crate::raft::Fault;
use crate::raft::VoterChange;
use crate::timing::Timing;

/// Default of [`NodeSettings::compact_bytes`].
pub const COMPACT_BYTES: u64 = 8 * 1024 * 1024;

/// Settings of a control daemon.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Availability zone of this daemon.
    pub zone: ZoneId,
    /// All control daemons of the cell at its first start, this one included if it is one of them.
    /// The first by name bootstraps the group; a daemon that is not listed can only join.
    pub peers: Vec<DaemonId>,
    /// Whether this daemon was started after the cell's first start. If its folder is empty as well, it
    /// may have been started to replace a voter.
    pub added: bool,
    /// Target number of voters; further replicas are learners.
    pub voters: usize,
    /// Periods and leases.
    pub timing: Timing,
    /// The log is compacted once its file exceeds this size, in bytes, plus twice the snapshot's.
    pub compact_bytes: u64,
    /// Safety rule that a test disables; none in production.
    pub fault: Option<Fault>,
}

impl NodeSettings {
    /// Makes settings with three voters and default periods.
    pub fn new(daemon: DaemonId, zone: ZoneId, peers: Vec<DaemonId>) -> Self {
        Self {
            daemon,
            zone,
            peers,
            added: false,
            voters: 3,
            timing: Timing::default(),
            compact_bytes: COMPACT_BYTES,
            fault: None,
        }
    }
}

/// Input of a control daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// Time has passed; send one about every 20 ms.
    Tick,
    /// A replication message arrived.
    Raft {
        /// Daemon that sent it.
        from: DaemonId,
        /// A [`crate::raft::RaftMessage`] as CBOR.
        bytes: Vec<u8>,
    },
    /// A feed message arrived; kinds that only a [`crate::FeedClient`] handles are ignored.
    Feed {
        /// Daemon that sent it.
        from: DaemonId,
        /// A [`crate::feed::FeedMessage`] as CBOR.
        bytes: SharedBytes,
    },
    /// A change is proposed at this daemon.
    Propose {
        /// Number chosen by the proposer, returned with the answer.
        ticket: u64,
        /// The proposal; the leader sets its time.
        proposal: Proposal,
    },
    /// Further daemons that may know the group, in place of those set before; a replica without a
    /// group or a leader sends its join requests to them as well.
    Peers(Vec<DaemonId>),
    /// Daemons that leave the group permanently, in place of those set before: a leader removes
    /// their replicas and refuses their join requests.
    Retire(Vec<DaemonId>),
    /// Daemons that stop as planned and may come back, in place of those set before: a leader hands the
    /// vote of each over if a learner was added to replace it.
    Stopping(Vec<DaemonId>),
    /// This daemon is about to stop and transfers its leadership if it can. Repeat it until
    /// [`NodeAction::Follow`]. All external side effects must have ended before the first one: the
    /// next leader does not wait for the lease of this one to expire.
    Resign,
    /// An operator changes the voters.
    ChangeVoters {
        /// Number chosen by the requester, returned with the result.
        ticket: u64,
        /// Voters to add or remove.
        change: VoterChange,
    },
}

/// Output of a control daemon, returned after its writes were synced.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Send a message; one to this daemon itself is for its [`crate::FeedClient`].
    Send {
        /// Daemon to send it to.
        to: DaemonId,
        /// Encoded replication or feed message.
        message: MeshMessage,
    },
    /// Answer a proposal.
    Answer {
        /// Ticket of the proposal.
        ticket: u64,
        /// Result of applying the proposal, or why it is not known.
        result: Result<Answer, ProposeError>,
    },
    /// Answer a change of voters.
    Changed {
        /// Ticket of the change.
        ticket: u64,
        /// Whether the change was committed.
        result: Result<(), ChangeError>,
    },
    /// This daemon leads from now on; external side effects still require
    /// [`super::ControlNode::leased_term`].
    Lead {
        /// Term of the leadership, also used as the fencing token.
        term: Term,
    },
    /// This daemon no longer leads.
    Follow,
    /// The vote of a daemon that stops as planned is being handed over.
    HandOver {
        /// Daemon that stops.
        from: DaemonId,
        /// Daemon of the learner that gets the vote.
        to: DaemonId,
    },
    /// The vote of a lost voter is being given to another daemon.
    WithdrawVote {
        /// Daemon that is lost.
        from: DaemonId,
        /// Daemon of the learner that gets the vote.
        to: DaemonId,
        /// Time since it counts as unresponsive.
        silent: Millis,
    },
    /// Fewer voters reply than the group is meant to have.
    Short {
        /// Daemons of the voters that reply.
        voters: Vec<DaemonId>,
        /// Daemons of the voters that don't.
        silent: Vec<DaemonId>,
        /// Daemons of the learners that reply.
        learners: Vec<DaemonId>,
    },
    /// All voters that the group is meant to have reply again.
    Complete {
        /// Time for which some were missing.
        lasted: Millis,
    },
    /// Committed entries were applied.
    Applied {
        /// Revision of the last applied entry.
        revision: Revision,
    },
}
