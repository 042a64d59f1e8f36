//! Raft replication of the log: elections, appends, snapshots and membership changes.

pub mod bootstrap;
pub mod election;
pub mod faults;
pub mod install;
pub mod log;
pub mod membership;
pub mod message;
pub mod progress;
pub mod replica;
pub mod replication;
pub mod types;

pub use faults::Fault;
pub use log::Log;
pub use membership::ChangeError;
pub use membership::Membership;
pub use membership::ReplicaInfo;
pub use membership::VoterChange;
pub use message::Body;
pub use message::Envelope;
pub use message::Join;
pub use message::JoinReply;
pub use message::RaftMessage;
pub use progress::Progress;
pub use replica::Replica;
pub use replica::Role;
pub use replica::Settings;
pub use types::Entry;
pub use types::GroupId;
pub use types::HardState;
pub use types::MAX_CHANGE_BYTES;
pub use types::Payload;
pub use types::Position;
pub use types::ReplicaId;
pub use types::Snapshot;
pub use types::Writes;
