//! Settings, events and actions of a control daemon.

use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::mesh::MeshMessage;

use crate::raft::ChangeError;
use crate::raft::Fault;
use crate::raft::VoterChange;
use crate::timing::Timing;

/// Log size, in bytes, beyond twice the snapshot at which the log is compacted.
pub const COMPACT_BYTES: u64 = 8 * 1024 * 1024;

/// Settings of a control daemon.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Its name.
    pub daemon: DaemonId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// All control daemons of the cell at its first start, this one included.
    pub peers: Vec<DaemonId>,
    /// Voters wanted; further replicas learn.
    pub voters: usize,
    /// Periods and leases.
    pub timing: Timing,
    /// Log size at which it is compacted, see [`COMPACT_BYTES`].
    pub compact_bytes: u64,
    /// Safety rule left out by a test.
    pub fault: Option<Fault>,
}

impl NodeSettings {
    /// Makes settings with three voters and the usual periods.
    pub fn new(daemon: DaemonId, zone: ZoneId, peers: Vec<DaemonId>) -> Self {
        Self {
            daemon,
            zone,
            peers,
            voters: 3,
            timing: Timing::default(),
            compact_bytes: COMPACT_BYTES,
            fault: None,
        }
    }
}

/// What can happen to a control daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeEvent {
    /// Time has passed; send one about every 20 ms.
    Tick,
    /// A replication message arrived.
    Raft {
        /// Sender.
        from: DaemonId,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A feed message arrived; those for daemons are ignored.
    Feed {
        /// Sender.
        from: DaemonId,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A change is proposed at this daemon.
    Propose {
        /// Names the proposal in the answer.
        ticket: u64,
        /// The change.
        proposal: Proposal,
    },
    /// Daemons of the group that were learnt of otherwise; a replica that no leader knows
    /// introduces itself to them as well.
    Peers(Vec<DaemonId>),
    /// Daemons that leave for good: a leader removes their replicas and takes in none of them.
    Retire(Vec<DaemonId>),
    /// This daemon is about to stop: it hands the leadership over if it can. Repeat it until
    /// [`NodeAction::Follow`] comes. All outside acts must have ended before the first one: the
    /// next leader does not wait for the lease of this one.
    Resign,
    /// An operator changes the voters.
    ChangeVoters {
        /// Names the change in the answer.
        ticket: u64,
        /// The change.
        change: VoterChange,
    },
}

/// What a control daemon asks for, after its writes were synced.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeAction {
    /// Send a message; one to this daemon itself goes to its feed client.
    Send {
        /// Receiver.
        to: DaemonId,
        /// Message.
        message: MeshMessage,
    },
    /// Answer a proposal.
    Answer {
        /// Ticket of the proposal.
        ticket: u64,
        /// Answer.
        result: Result<Answer, ProposeError>,
    },
    /// Answer a change of voters.
    Changed {
        /// Ticket of the change.
        ticket: u64,
        /// Result.
        result: Result<(), ChangeError>,
    },
    /// This daemon leads from now on; outside acts still need [`super::ControlNode::in_charge`].
    Lead {
        /// Term, also the fencing number.
        term: Term,
    },
    /// This daemon no longer leads.
    Follow,
    /// Committed entries were applied.
    Applied {
        /// Revision now held.
        revision: Revision,
    },
}
