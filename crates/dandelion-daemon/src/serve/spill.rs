//! Serves requests of other daemons, including those spilled by a zone that has no upstream or is
//! full.

use dandelion_net::mesh::PartSender;
use dandelion_net::mesh::ServeStream;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;

use crate::core::Handle;
use crate::gateway;
use crate::serve::entry;
use crate::serve::exchange;

/// Serves a request of another daemon. A request from this zone is served by this owner, one from
/// another zone by any owner of this zone; it is never forwarded to a third zone.
pub async fn serve_peer(
    core: &Handle,
    from: &DaemonId,
    mut request: ServeRequest,
    parts: &mut PartSender,
) {
    if let Some(detour) = request.detour.take() {
        return Box::pin(gateway::forward_detoured(core, request, *detour, parts)).await;
    }
    let view = core.control.view();
    let is_remote = view
        .member(from)
        .is_some_and(|m| m.zone != core.identity.zone);
    if !is_remote {
        return exchange::serve_owned(core, request, parts).await;
    }
    match entry::pick(core, &request, false) {
        Ok(owner) if owner == core.identity.daemon => {
            exchange::serve_owned(core, request, parts).await;
        }
        Ok(owner) => forward(core, &owner, request, parts).await,
        Err(refusal) => {
            // If the receiver is gone, nobody needs the refusal.
            let _gone = parts.send(ServePart::Failed(refusal)).await;
        }
    }
}

async fn forward(core: &Handle, owner: &DaemonId, request: ServeRequest, parts: &mut PartSender) {
    let opened = core.mesh().map(|mesh| mesh.serve(owner, request));
    let refusal = match opened {
        Some(Ok(stream)) => relay(stream, parts).await,
        Some(Err(_)) | None => Some(lost(Ran::NotRun)),
    };
    if let Some(refusal) = refusal {
        let _gone = parts.send(ServePart::Failed(refusal)).await;
    }
}

/// Relays all parts of an answer; returns the refusal to send if the stream was lost.
async fn relay(mut stream: ServeStream, parts: &mut PartSender) -> Option<Refusal> {
    loop {
        let Ok(part) = stream.next().await else {
            return Some(lost(Ran::Unknown));
        };
        let ends = part.is_last();
        if parts.send(part).await.is_err() || ends {
            return None;
        }
    }
}

fn lost(ran: Ran) -> Refusal {
    Refusal::not_run(
        RefusalCode::UpstreamFailed,
        "the daemon that owns the upstream was lost",
        "send the request again if it may run twice",
    )
    .with_ran(ran)
}
