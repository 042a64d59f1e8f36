//! The interface through which a daemon handles messages from its peers.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServeRequest;

use crate::mesh::parts::PartSender;

/// Handles messages from authenticated peers, and those that a daemon sends to itself.
pub trait MeshHandler: Clone + Send + Sync + 'static {
    /// Handles a one-way message: `Raft`, `StoreRaft`, `Feed`, `Lived`, `JobsLeader` or `Digest`.
    /// It must not block.
    fn on_message(&self, from: &DaemonId, message: MeshMessage);

    /// Answers a call. The future is dropped when the connection is lost.
    fn on_call(&self, from: &DaemonId, body: CallBody) -> impl Future<Output = ReplyBody> + Send;

    /// Serves a request, sending the answer through `parts`, which must end with `End` or
    /// `Failed`. The future is dropped when the peer cancels or its connection is lost.
    fn on_serve(
        &self,
        from: &DaemonId,
        request: ServeRequest,
        parts: &mut PartSender,
    ) -> impl Future<Output = ()> + Send;
}
