//! Announcements of upstreams, handed to the owner.

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

/// Header that carries the announcers' secret.
const SECRET_HEADER: &str = "x-announce-secret";

/// Longest wait for the owner.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Serialize)]
struct Taken {
    owner: String,
}

/// Takes one announcement in, at the owner of the upstream.
pub async fn take(core: &Handle, mut request: Request) -> Response {
    if !is_allowed(core, &request) {
        return server::refusal(&Refusal::not_run(
            RefusalCode::Unauthorized,
            "the announcement lacks the announce secret",
            "send it in the header x-announce-secret",
        ));
    }
    match request.body_json::<Announcement>().await {
        Ok(announcement) => hand_over(core, announcement).await,
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
    let shown = request.header(SECRET_HEADER).map(|v| v.as_str());
    shown.is_some_and(|text| secrets::matches(secret, text))
}

async fn hand_over(core: &Handle, announcement: Announcement) -> Response {
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
        return taken(&owner.to_string());
    }
    let Some(mesh) = core.mesh() else {
        return unreachable_owner(&owner.to_string());
    };
    let call = CallBody::Announce(announcement);
    match mesh.call(&owner, call, FORWARD_TIMEOUT).await {
        Ok(ReplyBody::Announced) => taken(&owner.to_string()),
        Ok(_) | Err(_) => unreachable_owner(&owner.to_string()),
    }
}

fn taken(owner: &str) -> Response {
    server::json(
        200,
        &Taken {
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
