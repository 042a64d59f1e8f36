//! Errors of the mesh.

use std::io;

use dandelion_protocol::codec::CodecError;
use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use thiserror::Error;

/// A connection or a message failed.
#[derive(Debug, Error)]
pub enum MeshError {
    /// The peer's address is not known.
    #[error("daemon `{0}` has no known address; wait until it has joined")]
    NoPeer(DaemonId),
    /// The queue to the peer is full; the message was not queued.
    #[error("the queue to daemon `{0}` is full; send less or wait")]
    Full(DaemonId),
    /// A secret is too short: it has this many bytes.
    #[error("the mesh secret has {0} bytes; use at least 32 random bytes")]
    WeakSecret(usize),
    /// The peer proved none of this daemon's secrets.
    #[error("the peer could not prove that it knows the mesh secret; give both the same secret")]
    Unauthenticated,
    /// The address is used by another daemon than expected.
    #[error("daemon `{got}` answers at the address of `{expected}`; correct the address")]
    WrongPeer {
        /// Daemon that was dialled.
        expected: DaemonId,
        /// Daemon that answered.
        got: DaemonId,
    },
    /// The peer belongs to this other cell.
    #[error("the peer is in cell {0}; correct the cell in its settings")]
    WrongCell(CellId),
    /// The peer speaks this other version of the mesh protocol.
    #[error("the peer speaks mesh version {0}; upgrade the older daemon")]
    WrongVersion(u16),
    /// The peer violated the protocol.
    #[error("the peer did not send a valid mesh message ({0}); check what is at the other end")]
    Protocol(String),
    /// An encoded message has this many bytes, which is more than a frame may have.
    #[error("a message of {0} bytes is too large for the mesh; send less at a time")]
    TooLarge(usize),
    /// A message could not be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The handshake took too long, or an established connection went silent.
    #[error("the peer did not answer in time; check the network and the peer's load")]
    Timeout,
    /// The connection failed.
    #[error("the connection failed ({0}); it is retried")]
    Io(#[from] io::Error),
    /// The connection was closed.
    #[error("the connection was closed by the peer; it is retried")]
    Closed,
    /// Too many handshakes are in progress.
    #[error("too many handshakes are in progress; the peer tries again")]
    Busy,
    /// The system's random source failed.
    #[error("no random bytes ({0}); check the system's random source")]
    Random(String),
}

/// A call without a reply, or an answer stream that was interrupted.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum CallError {
    /// No byte was sent: the request did not run and can be sent to another daemon.
    #[error("not sent to the daemon; send it to another one")]
    NotSent,
    /// The request may have run.
    #[error("the daemon was lost before it answered; the outcome is unknown")]
    Unknown,
}
