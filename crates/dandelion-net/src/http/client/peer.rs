//! Which process a request is meant for.

use http_types::Request;

/// The process that must be at the other end of a connection. A process can't change under an open
/// connection, so each connection is asked once.
pub trait Peer {
    /// Returns what tells the process from others at its address; none if any process will do.
    fn key(&self) -> Option<u64>;

    /// Returns the request that asks a process who it is.
    fn question(&self) -> Option<Request>;

    /// Returns whether the answer is that of the process.
    fn is_answer(&self, status: u16, body: &[u8]) -> bool;
}

/// Any process at the address.
#[derive(Debug, Clone, Copy)]
pub struct AnyPeer;

impl Peer for AnyPeer {
    fn key(&self) -> Option<u64> {
        None
    }

    fn question(&self) -> Option<Request> {
        None
    }

    fn is_answer(&self, _status: u16, _body: &[u8]) -> bool {
        true
    }
}
