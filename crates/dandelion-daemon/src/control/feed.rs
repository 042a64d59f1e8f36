//! Drives the feed client and tells the other parts of what changed.

use std::sync::Arc;
use std::time::Duration;

use async_std::future::timeout;
use dandelion_control::feed::FeedAction;
use dandelion_control::feed::FeedEvent;
use dandelion_net::clock;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::UpstreamId;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::control::handle::Renewed;
use crate::control::view::View;
use crate::core::Handle;

/// Longest time between two ticks of the feed.
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
            lose_lease(&core);
        }
        leased = now_leased;
    }
}

fn handle(core: &Handle, event: FeedEvent) {
    let mut actions = Vec::new();
    let renewed = core.control.step(event, &mut actions);
    if let Some(renewed) = &renewed {
        apply(core, renewed);
    }
    for action in actions {
        if let FeedAction::Send { to, message } = action
            && let Some(mesh) = core.mesh()
        {
            // A lost renewal is made good by the next one.
            let _lost = mesh.send(&to, message);
        }
    }
}

/// Makes a new revision take effect in every part of the daemon.
fn apply(core: &Handle, renewed: &Renewed) {
    let Renewed { former, view } = renewed;
    if view.config_revision != former.config_revision {
        core.streams.abort_withdrawn(&view.config);
        core.owners.set_config(clock::boot_now(), &view.config);
        core.rollouts.set_config(core, view);
    }
    if view.plan.as_ref().map(|p| p.version) != former.plan.as_ref().map(|p| p.version) {
        let version = view.plan.as_ref().map_or(0, |p| p.version);
        event!(
            Event::PlanInForce,
            version = version,
            revision = view.revision
        );
    }
    if !Arc::ptr_eq(&view.lives, &former.lives) {
        let known = |id: &UpstreamId| view.lives.iter().any(|life| life.id == *id);
        core.gateway.picker().retain_known(known);
    }
    if view.members != former.members {
        meet_members(core, former, view);
    }
}

fn meet_members(core: &Handle, former: &View, view: &Arc<View>) {
    if let Some(mesh) = core.mesh() {
        for member in view.members.iter() {
            if let Ok(address) = member.address.parse() {
                mesh.set_peer(&member.id, address);
            }
        }
        let control = core.settings.control.peers.iter().map(|p| &p.id);
        let kept: Vec<_> = control.collect();
        let gone = |m: &&Member| view.member(&m.id).is_none() && !kept.contains(&&m.id);
        for member in former.members.iter().filter(gone) {
            mesh.remove_peer(&member.id);
        }
    }
    core.control
        .meet_feeders(view, &core.settings.control.peers);
    core.usage.members_changed(&view.members);
    let zone = &core.identity.zone;
    let own = &core.identity.daemon;
    core.owners
        .release_others(clock::boot_now(), |u| view.owner(zone, u) == Some(own));
}

fn lose_lease(core: &Handle) {
    let cut = core.streams.abort_all();
    log::warn!("the control lease ran out; {cut} keyed requests were cut");
}
