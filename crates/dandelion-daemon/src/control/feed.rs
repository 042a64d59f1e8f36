//! Drives the feed client and applies each new revision to the other parts of the daemon.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_net::clock;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::handle::ViewChange;
use crate::control::view::View;
use crate::core::Handle;

/// Longest wait for an event before the feed client gets a tick.
const TICK: Duration = Duration::from_millis(50);

/// Runs the feed until the process ends.
pub async fn run_feed(core: Handle) {
    let queue = core.control.feed_queue();
    let mut leased = false;
    loop {
        let event = match timeout(TICK, queue.recv()).await {
            Ok(Ok(event)) => event,
            Ok(Err(_)) | Err(_) => FeedEvent::Tick,
        };
        handle(&core, event);
        let now_leased = core.control.is_leased();
        if leased && !now_leased {
            abort_keyed(&core);
        }
        leased = now_leased;
    }
}

fn handle(core: &Handle, event: FeedEvent) {
    let mut actions = Vec::new();
    let change = core.control.step(event, &mut actions);
    if let Some(change) = &change {
        apply(core, change);
    }
    for action in actions {
        if let FeedAction::Send { to, message } = action
            && let Some(mesh) = core.mesh()
        {
            // The next renewal replaces a lost one.
            let _lost = mesh.send(&to, *message);
        }
    }
}

/// Applies the changes from one view to the next to every part of the daemon.
fn apply(core: &Handle, change: &ViewChange) {
    let ViewChange { previous, view } = change;
    if view.config_revision != previous.config_revision {
        core.streams.abort_withdrawn(&view.config);
        core.owners.set_config(clock::boot_now(), &view.config);
        core.rollouts.set_config(core, view);
    }
    if view.plan.as_ref().map(|p| p.version) != previous.plan.as_ref().map(|p| p.version) {
        let version = view.plan.as_ref().map_or(0, |p| p.version);
        event!(
            Event::PlanInForce,
            version = version,
            revision = view.revision
        );
    }
    if !Arc::ptr_eq(&view.incarnations, &previous.incarnations) {
        let known = |id: &UpstreamId| view.upstream(id).is_some();
        core.gateway.picker().retain_known(known);
        core.gateway
            .quarantine
            .update_upstreams(core, previous, view);
    }
    core.gateway.limits.update(previous, view);
    log_zones(core, previous, view);
    if view.members != previous.members {
        let known = |id: &DaemonId| view.member(id).is_some();
        core.gateway.detours().retain_known(known);
        update_members(core, previous, view);
    }
}

/// Logs the zones that were evacuated or restored since the previous view. Only control
/// daemons know the term; it is 0 in the lines of the others.
fn log_zones(core: &Handle, previous: &View, view: &View) {
    let replica = core.control.replica();
    let term = replica.map_or(Term(0), |r| r.status().term);
    let (before, now) = (&previous.evacuated, &view.evacuated);
    for zone in now.difference(before) {
        event!(
            Event::ZoneEvacuated,
            zone = zone,
            revision = view.zones_revision,
            term = term
        );
    }
    for zone in before.difference(now) {
        event!(
            Event::ZoneRestored,
            zone = zone,
            revision = view.zones_revision,
            term = term
        );
    }
}

fn update_members(core: &Handle, previous: &View, view: &Arc<View>) {
    if let Some(mesh) = core.mesh() {
        for member in view.members.iter() {
            if let Ok(address) = member.address.parse() {
                mesh.set_peer(&member.id, address);
            }
        }
        let control = core.settings.control.peers.iter().map(|p| &p.id);
        let configured: Vec<_> = control.collect();
        let gone = |m: &&Member| view.member(&m.id).is_none() && !configured.contains(&&m.id);
        for member in previous.members.iter().filter(gone) {
            mesh.remove_peer(&member.id);
        }
    }
    core.control
        .update_feeders(view, &core.settings.control.peers);
    core.usage.members_changed(&view.members);
    let zone = &core.identity.zone;
    let own = &core.identity.daemon;
    core.owners
        .release_others(clock::boot_now(), |u| view.owner(zone, u) == Some(own));
}

fn abort_keyed(core: &Handle) {
    let aborted = core.streams.abort_all();
    log::warn!("the control lease expired; {aborted} keyed requests were aborted");
}
