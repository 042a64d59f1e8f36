//! What an owner tells other daemons: digests of its load, notes on suspects, blocks.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use dandelion_control::tables::ConfigTable;
use dandelion_net::clock;
use dandelion_protocol::codec;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_route::digest::DigestSchedule;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::REMOTE_INTERVAL;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ZoneMessage;
use dandelion_route::digest::remote_senders;
use dandelion_route::ticket::Fingerprint;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::join_all;

use crate::core::Handle;
use crate::serve;
use crate::serve::Outbox;
use crate::serve::Shard;

/// Time between two ticks of the queues.
const TICK: Duration = Duration::from_millis(50);

/// Time between two digests to other zones in a small cell.
const SMALL_FAR_PERIOD: Millis = Millis::from_secs(1);
/// Longest wait for a daemon to take notes.
const NOTES_TIMEOUT: Duration = Duration::from_millis(500);

/// Ticks between two digests.
const DIGEST_TICKS: u64 = 10;

/// Ticks the queues and sends digests until the process ends.
pub async fn run_zone(core: Handle) {
    let mut near = DigestSchedule::default();
    let mut far_sent = Millis::ZERO;
    let mut ticks = 0;
    loop {
        task::sleep(TICK).await;
        ticks += 1;
        core.owners.tick(clock::boot_now());
        tell(&core);
        if ticks % DIGEST_TICKS != 0 {
            continue;
        }
        let config = &core.control.view().config;
        core.streams.abort_expired(config, clock::wall_now());
        send_near(&core, ticks, &mut near);
        let now = clock::boot_now();
        if now.since(far_sent) >= far_period(&core) {
            far_sent = now;
            send_far(&core, ticks);
        }
    }
}

/// Tells daemons of the own zone, this one first, what this owner has.
fn send_near(core: &Handle, sequence: u64, schedule: &mut DigestSchedule) {
    let digest = digest(core, sequence);
    let own = &core.identity;
    let now = clock::boot_now();
    core.entry
        .owners()
        .ingest(now, &own.daemon, &own.zone, &digest);
    let Ok(bytes) = codec::encode(&ZoneMessage::Digest(digest)) else {
        return;
    };
    let view = core.control.view();
    let in_zone = |m: &&Member| m.zone == own.zone && m.id != own.daemon;
    let peers: Vec<&Member> = view.members.iter().filter(in_zone).collect();
    for index in schedule.due(now, peers.len()) {
        send(core, &peers[index].id, bytes.clone());
    }
}

/// In a small cell, other zones are told more often.
fn far_period(core: &Handle) -> Millis {
    if core.control.view().is_large() {
        REMOTE_INTERVAL
    } else {
        SMALL_FAR_PERIOD
    }
}

/// Tells those daemons of other zones that this one is to tell what the own zone has in all.
fn send_far(core: &Handle, sequence: u64) {
    let own = &core.identity;
    let now = clock::boot_now();
    let digest = core
        .entry
        .owners()
        .zone_digest(now, own.incarnation, sequence);
    let Ok(bytes) = codec::encode(&ZoneMessage::Digest(digest)) else {
        return;
    };
    let view = core.control.view();
    let near = || {
        view.members
            .iter()
            .filter(|m| m.zone == own.zone && !m.leaving)
    };
    for member in view.members.iter().filter(|m| m.zone != own.zone) {
        let senders = remote_senders(&member.id, near().map(|m| &m.id));
        if senders.contains(&&own.daemon) {
            send(core, &member.id, bytes.clone());
        }
    }
}

fn send(core: &Handle, to: &DaemonId, bytes: Vec<u8>) {
    if let Some(mesh) = core.mesh() {
        // A lost digest is made good by the next one.
        let _lost = mesh.send(to, MeshMessage::Digest(bytes));
    }
}

fn digest(core: &Handle, sequence: u64) -> OwnerDigest {
    let describe = |(service, shard): &(ServiceId, _)| {
        let shard: &std::sync::Arc<crate::serve::Shard> = shard;
        shard.read(|queue| ServiceDigest::of(service, queue))
    };
    let services = core.owners.shards().iter().map(describe).collect();
    OwnerDigest {
        boot: core.identity.incarnation,
        sequence,
        leaving: core.is_stopping(),
        services,
    }
}

/// Passes on what the queues want others to know.
fn tell(core: &Handle) {
    for (_, shard) in core.owners.shards() {
        if shard.has_outgoing() {
            let core = core.clone();
            task::spawn(async move { tell_now(&core, &shard).await });
        }
    }
}

/// Passes on what one queue wants others to know, and waits until the daemons of the zone and one
/// of each other zone have it or are late. A crash's callers are answered after this.
pub async fn tell_now(core: &Handle, shard: &Shard) {
    let _spreading = shard.lock_broadcast().await;
    pass_on(core, shard.take_outbox()).await;
}

async fn pass_on(core: &Handle, outbox: Outbox) {
    for upstream in outbox.ejected {
        event!(Event::UpstreamEjected, upstream = upstream);
    }
    for fingerprint in outbox.blocks {
        task::spawn(block(core.clone(), fingerprint));
    }
    if outbox.notes.is_empty() {
        return;
    }
    event!(Event::PoisonSuspected, requests = outbox.notes.len());
    serve::ingest_notes(core, &outbox.notes);
    let Ok(bytes) = codec::encode(&ZoneMessage::Notes(outbox.notes)) else {
        return;
    };
    let own = &core.identity.zone;
    let view = core.control.view();
    let mut relays: BTreeMap<&ZoneId, &DaemonId> = BTreeMap::new();
    for member in view.members.iter().filter(|m| m.zone != *own && !m.leaving) {
        relays.entry(&member.zone).or_insert(&member.id);
    }
    let far = relays.values().map(|id| send_notes(core, id, &bytes, true));
    futures::join!(relay_notes(core, &bytes), join_all(far));
}

/// Passes notes on to the other daemons of the own zone and waits until they have them.
pub async fn relay_notes(core: &Handle, bytes: &[u8]) {
    let view = core.control.view();
    let own = &core.identity;
    let peers = view.members.iter();
    let peers = peers.filter(|m| m.zone == own.zone && m.id != own.daemon);
    join_all(peers.map(|m| send_notes(core, &m.id, bytes, false))).await;
}

async fn send_notes(core: &Handle, to: &DaemonId, bytes: &[u8], relay: bool) {
    let Some(mesh) = core.mesh() else {
        return;
    };
    let bytes = bytes.to_vec();
    let call = CallBody::Notes { bytes, relay };
    if let Err(error) = mesh.call(to, call, NOTES_TIMEOUT).await {
        log::debug!("daemon {to} did not take the notes: {error}");
    }
}

async fn block(core: Handle, fingerprint: Fingerprint) {
    event!(
        Event::PoisonBlocked,
        fingerprint = format!("{:016x}", fingerprint.0)
    );
    let command = ConfigCommand::Poison(fingerprint.0);
    if let Err(error) = core.propose_own::<ConfigTable>(&command).await {
        log::warn!("the block holds in this zone only: {error}");
    }
}
