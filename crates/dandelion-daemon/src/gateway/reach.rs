//! Finds out whether this daemon has lost its own links to the upstreams, which the table of
//! upstreams doesn't show.

use std::slice;
use std::time::Duration;

use async_std::task;
use dandelion_net::clock;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_route::reach;
use dandelion_route::reach::Change;
use dandelion_route::reach::LOST_INTERVAL;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::Either;
use futures::future::join_all;
use futures::future::select;
use futures::pin_mut;

use crate::core::Handle;

/// Time within which most upstreams that are up accept a connection; later than that, others are
/// tried as well.
const USUAL_CONNECT_TIME: Duration = Duration::from_millis(50);

/// Takes in that no connection to an upstream could be made, and checks the links to others.
pub fn connection_failed(core: &Handle, upstream: &UpstreamId) {
    if core.gateway.reach().connection_failed(clock::boot_now()) {
        task::spawn(check_until_restored(core.clone(), upstream.clone(), None));
    }
}

/// What is known of an upstream that gave no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Contact {
    /// It accepts connections.
    Accepts,
    /// It accepts no connection, though this daemon reaches others.
    Ended,
    /// This daemon reaches no upstream, so it can't tell.
    Unclear,
}

/// Finds out whether an upstream that gave no complete answer has ended.
pub async fn contact(core: &Handle, upstream: &UpstreamIncarnation) -> Contact {
    if core.gateway.reach().is_lost() {
        return Contact::Unclear;
    }
    let accepts = core.gateway.client.accepts(upstream.address);
    let others = async {
        task::sleep(USUAL_CONNECT_TIME).await;
        connect_to_some(core, slice::from_ref(&upstream.id)).await
    };
    pin_mut!(accepts, others);
    let (accepts, others) = match select(accepts, others).await {
        Either::Left((true, _)) => return Contact::Accepts,
        Either::Left((false, others)) => (false, others.await),
        Either::Right((others, accepts)) => (accepts.await, others),
    };
    if accepts {
        return Contact::Accepts;
    }
    // With no other upstream to compare with, the failure is the upstream's.
    if others.reached > 0 || others.tried <= 1 {
        return Contact::Ended;
    }
    if core.gateway.reach().connection_failed(clock::boot_now()) {
        let failed = upstream.id.clone();
        task::spawn(check_until_restored(core.clone(), failed, Some(others)));
    }
    Contact::Unclear
}

/// How many upstreams were tried and accepted a connection.
#[derive(Debug, Clone, Copy)]
struct Found {
    reached: usize,
    tried: usize,
}

/// Records what a check has found, and checks again while the links are lost.
async fn check_until_restored(core: Handle, failed: UpstreamId, mut found: Option<Found>) {
    let failed = slice::from_ref(&failed);
    loop {
        let found = match found.take() {
            Some(found) => found,
            None => connect_to_some(&core, failed).await,
        };
        if !record(&core, found) {
            return;
        }
        task::sleep(Duration::from_millis(LOST_INTERVAL.0)).await;
    }
}

/// Records what a check has found; returns whether the links are lost.
fn record(core: &Handle, found: Found) -> bool {
    let revision = core.control.revision();
    let mut reach = core.gateway.reach();
    match reach.checked(clock::boot_now(), found.reached, found.tried) {
        Some(Change::Lost) => {
            event!(Event::LinksLost, tried = found.tried, revision = revision);
        }
        Some(Change::Restored(lost)) => {
            event!(Event::LinksRestored, lost_ms = lost.0, revision = revision);
        }
        None => (),
    }
    reach.is_lost()
}

/// Connects to some upstreams at the same time.
async fn connect_to_some(core: &Handle, failed: &[UpstreamId]) -> Found {
    let view = core.control.view();
    let targets = reach::targets(
        &view.incarnations,
        &core.identity.zone,
        failed,
        &mut rand::rng(),
    );
    let client = &core.gateway.client;
    let connections = targets.iter().map(|u| client.accepts(u.address));
    let accepted = join_all(connections).await;
    Found {
        reached: accepted.iter().filter(|a| **a).count(),
        tried: accepted.len(),
    }
}
