//! Announcements of upstreams, forwarded to the owner.

use std::time::Duration;

use dandelion_net::clock;
use dandelion_net::http::server;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::upstream::Announcement;
use http_types::Request;
use http_types::Response;
use serde::Serialize;

use crate::api::secrets;
use crate::core::Handle;

/// Header with the secret of upstreams that announce themselves.
const SECRET_HEADER: &str = "x-announce-secret";

/// Longest wait for the owner's reply.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of the answer to an accepted announcement.
#[derive(Debug, Serialize)]
struct Accepted {
    owner: String,
}

/// Forwards an announcement to the upstream's owner and answers once the owner has accepted it.
pub async fn accept(core: &Handle, mut request: Request) -> Response {
    if !is_allowed(core, &request) {
        return server::refusal(&Refusal::not_run(
            RefusalCode::Unauthorized,
            "the announcement lacks the announce secret",
            "send it in the header x-announce-secret",
        ));
    }
    match request.body_json::<Announcement>().await {
        Ok(announcement) => deliver(core, announcement).await,
        Err(error) => server::refusal(&Refusal::not_run(
            RefusalCode::BadRequest,
            &format!("not an announcement: {error}"),
            "send the JSON form shown in docs/operators/install.md",
        )),
    }
}

fn is_allowed(core: &Handle, request: &Request) -> bool {
    let Some(secret) = &core.settings.secrets.announce else {
        return true;
    };
    let presented = request.header(SECRET_HEADER).map(|v| v.as_str());
    presented.is_some_and(|text| secrets::matches(secret, text))
}

async fn deliver(core: &Handle, announcement: Announcement) -> Response {
    let view = core.control.view();
    let owner = view
        .owner(&announcement.zone, &announcement.upstream)
        .cloned();
    let Some(owner) = owner else {
        return server::refusal(&Refusal::not_run(
            RefusalCode::NotFound,
            &format!("no daemon of zone `{}` is known", announcement.zone),
            "announce to a daemon of the upstream's own zone, or correct the zone",
        ));
    };
    if owner == core.identity.daemon {
        core.owners.announced(clock::boot_now(), announcement);
        return accepted(&owner.to_string());
    }
    let Some(mesh) = core.mesh() else {
        return unreachable_owner(&owner.to_string());
    };
    let call = CallBody::Announce(announcement);
    match mesh.call(&owner, call, FORWARD_TIMEOUT).await {
        Ok(ReplyBody::Announced) => accepted(&owner.to_string()),
        Ok(_) | Err(_) => unreachable_owner(&owner.to_string()),
    }
}

fn accepted(owner: &str) -> Response {
    server::json(
        200,
        &Accepted {
            owner: owner.to_owned(),
        },
    )
}

fn unreachable_owner(owner: &str) -> Response {
    server::refusal(&Refusal::not_run(
        RefusalCode::NoUpstream,
        &format!("the owner `{owner}` is out of reach"),
        "announce again in a second",
    ))
}
