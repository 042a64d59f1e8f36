//! The incarnation that must be at the other end of a connection.

use dandelion_net::http::client;
use dandelion_net::http::client::Peer;
use dandelion_platform::incarnations as wire;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use http_types::Request;

/// The incarnation that must answer, where its software version matters. An upstream that comes back
/// under its name and address is told from it by its start.
#[derive(Debug, Clone, Copy)]
pub struct Incarnation<'a>(&'a UpstreamIncarnation);

impl<'a> Incarnation<'a> {
    /// Requires an incarnation.
    pub fn of(upstream: &'a UpstreamIncarnation) -> Self {
        Self(upstream)
    }
}

impl Peer for Incarnation<'_> {
    fn key(&self) -> Option<u64> {
        Some(self.0.born.0)
    }

    fn question(&self) -> Option<Request> {
        client::request(self.0.address, "GET", wire::STATE_PATH, &[], Vec::new()).ok()
    }

    /// A service that doesn't say when it started can't be told from its predecessor; what is
    /// reported of it holds then.
    fn is_answer(&self, _status: u16, body: &[u8]) -> bool {
        wire::decode_born(body).is_none_or(|born| born == self.0.born)
    }
}
