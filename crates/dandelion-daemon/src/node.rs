//! Handles messages and calls of other daemons.

use dandelion_control::feed::FeedEvent;
use dandelion_net::clock;
use dandelion_net::mesh::MeshHandler;
use dandelion_net::mesh::PartSender;
use dandelion_protocol::control::Answer;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::time::Millis;
use futures::FutureExt;
use futures::future::BoxFuture;

use crate::api;
use crate::core::Handle;
use crate::duties;
use crate::gateway;
use crate::operator;
use crate::rollouts;
use crate::serve;
use crate::stores;
use crate::stores::StoreEvent;
use crate::zone;

/// Mesh handler of this daemon.
#[derive(Debug, Clone)]
pub struct Node(Handle);

impl Node {
    /// Wraps the shared state.
    pub fn new(core: Handle) -> Self {
        Self(core)
    }
}

impl MeshHandler for Node {
    fn on_message(&self, from: &DaemonId, message: MeshMessage) {
        let core = &self.0;
        match message {
            MeshMessage::Raft(bytes) => {
                if let Some(replica) = core.control.replica() {
                    replica.push_raft(from, bytes);
                }
            }
            MeshMessage::Feed(bytes) => {
                if let Some(replica) = core.control.replica() {
                    replica.push_feed(from, bytes.clone());
                }
                let from = from.clone();
                core.control.push_feed(FeedEvent::Message { from, bytes });
            }
            MeshMessage::StoreRaft(bytes) => {
                if let Some(replica) = core.stores.replica() {
                    replica.push_raft(from, bytes);
                }
            }
            MeshMessage::JobsLeader(_) => core.gateway.set_jobs_leader(Some(from.clone())),
            MeshMessage::Lived(report) => {
                gateway::record_report(core, &report.life.id, report.life.born);
                if core.stores.leader_term(Millis::ZERO).is_some() {
                    core.stores.notify(StoreEvent::Reported(report));
                }
            }
            MeshMessage::Digest(bytes) => serve::ingest(core, from, &bytes),
            _ => log::debug!("daemon {from} sent a message of an unexpected kind"),
        }
    }

    /// Returns a boxed future: a call can lead to a call to this daemon itself, whose future would
    /// then contain itself.
    #[expect(
        refining_impl_trait_reachable,
        reason = "the named type ends the recursion"
    )]
    fn on_call(&self, from: &DaemonId, body: CallBody) -> BoxFuture<'_, ReplyBody> {
        answer(&self.0, from.clone(), body).boxed()
    }

    async fn on_serve(&self, from: &DaemonId, request: ServeRequest, parts: &mut PartSender) {
        serve::serve_peer(&self.0, from, request, parts).await;
    }
}

/// Proposes for another daemon. One of this release checks the length itself; an earlier one learns that
/// nothing was changed.
async fn propose(core: &Handle, proposal: Proposal) -> Result<Answer, ProposeError> {
    let proposed = core.propose_here(proposal).await;
    proposed.map_err(|error| match error {
        ProposeError::TooLong { length } => {
            log::warn!("refused a proposal of {length} bytes of an earlier release");
            ProposeError::NoLeader
        }
        other => other,
    })
}

async fn answer(core: &Handle, from: DaemonId, body: CallBody) -> ReplyBody {
    match body {
        CallBody::Propose(proposal) => ReplyBody::Proposed(propose(core, proposal).await),
        CallBody::Announce(announcement) => {
            core.owners.announced(clock::boot_now(), announcement);
            ReplyBody::Announced
        }
        CallBody::Report(inventory) => {
            core.fleet.ingest(clock::boot_now(), from, inventory);
            ReplyBody::Announced
        }
        CallBody::OrderEngine {
            upstream,
            boot,
            order,
        } => ReplyBody::Ordered(duties::order_engine(core, &upstream, boot, &order).await),
        CallBody::CopyUsage(reports) => {
            core.usage.store_copies(reports);
            ReplyBody::Copied
        }
        CallBody::Notes { bytes, relay } => {
            serve::ingest(core, &from, &bytes);
            if relay {
                zone::relay_notes(core, &bytes).await;
            }
            ReplyBody::Announced
        }
        CallBody::Batch(call) => ReplyBody::Batch(stores::answer(core, call).await),
        CallBody::Texts(call) => ReplyBody::Texts(stores::answer_texts(core, call).await),
        CallBody::Permits(call) => ReplyBody::Permits(gateway::limits::grant(core, &call)),
        CallBody::Origins(call) => ReplyBody::Origins(gateway::origins::answer(core, call)),
        CallBody::Probe => ReplyBody::Alive,
        CallBody::InForce(revision) => {
            ReplyBody::InForce(operator::local_propagation(core, revision))
        }
        CallBody::Payload(bytes) => rollouts::answer_payload(core, &bytes),
        CallBody::Forward {
            path,
            content_type,
            body,
        } => api::forwarded(core, &path, &content_type, body).await,
    }
}
