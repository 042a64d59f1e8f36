//! Messages from an owner to other daemons: digests of its load, notes on suspected poison requests
//! and blocks of their fingerprints.

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

/// Interval between two ticks of the queues.
const TICK: Duration = Duration::from_millis(50);

/// Interval between two digests to other zones in a small cell.
const SMALL_REMOTE_PERIOD: Millis = Millis::from_secs(1);

/// Longest wait for a daemon to confirm notes.
const NOTES_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of ticks from one digest to the next.
const DIGEST_TICKS: u64 = 10;

/// Ticks the queues and sends digests until the process ends.
pub async fn run_zone(core: Handle) {
    let mut schedule = DigestSchedule::default();
    let mut remote_sent = Millis::ZERO;
    let mut ticks = 0;
    loop {
        task::sleep(TICK).await;
        ticks += 1;
        core.owners.tick(clock::boot_now());
        send_outboxes(&core);
        if ticks % DIGEST_TICKS != 0 {
            continue;
        }
        let config = &core.control.view().config;
        core.streams.abort_expired(config, clock::wall_now());
        send_local(&core, ticks, &mut schedule);
        let now = clock::boot_now();
        if now.since(remote_sent) >= remote_period(&core) {
            remote_sent = now;
            send_remote(&core, ticks);
        }
    }
}

/// Applies this owner's digest to its own entry, and sends it to the peers of the zone that are
/// due.
fn send_local(core: &Handle, sequence: u64, schedule: &mut DigestSchedule) {
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

/// Returns the interval between two digests to other zones; it is shorter in a small cell.
fn remote_period(core: &Handle) -> Millis {
    if core.control.view().is_large() {
        REMOTE_INTERVAL
    } else {
        SMALL_REMOTE_PERIOD
    }
}

/// Sends the digest of the whole zone to those daemons of other zones that this one is to notify.
fn send_remote(core: &Handle, sequence: u64) {
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
    let local = || {
        view.members
            .iter()
            .filter(|m| m.zone == own.zone && !m.leaving)
    };
    for member in view.members.iter().filter(|m| m.zone != own.zone) {
        let senders = remote_senders(&member.id, local().map(|m| &m.id));
        if senders.contains(&&own.daemon) {
            send(core, &member.id, bytes.clone());
        }
    }
}

fn send(core: &Handle, to: &DaemonId, bytes: Vec<u8>) {
    if let Some(mesh) = core.mesh() {
        // The next digest replaces a lost one.
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

/// Spawns a task for each queue that has messages for other daemons.
fn send_outboxes(core: &Handle) {
    for (_, shard) in core.owners.shards() {
        if shard.has_outgoing() {
            let core = core.clone();
            task::spawn(async move { flush_outbox(&core, &shard).await });
        }
    }
}

/// Sends the outbox of one queue and waits until the daemons of the zone and one of each other zone
/// have confirmed it or timed out. Callers whose requests were interrupted by a crash are answered
/// after this.
pub async fn flush_outbox(core: &Handle, shard: &Shard) {
    let _broadcast = shard.lock_broadcast().await;
    send_outbox(core, shard.take_outbox()).await;
}

async fn send_outbox(core: &Handle, outbox: Outbox) {
    for upstream in outbox.ejected {
        event!(Event::UpstreamEjected, upstream = upstream);
    }
    for fingerprint in outbox.blocks {
        task::spawn(block_fingerprint(core.clone(), fingerprint));
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
    let remote = relays.values().map(|id| send_notes(core, id, &bytes, true));
    futures::join!(relay_notes(core, &bytes), join_all(remote));
}

/// Sends notes to the other daemons of this zone and waits until they have confirmed them or timed
/// out.
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
        log::debug!("daemon {to} did not confirm the notes: {error}");
    }
}

async fn block_fingerprint(core: Handle, fingerprint: Fingerprint) {
    event!(
        Event::PoisonBlocked,
        fingerprint = format!("{:016x}", fingerprint.0)
    );
    let command = ConfigCommand::Poison(fingerprint.0);
    if let Err(error) = core.propose_own::<ConfigTable>(&command).await {
        log::warn!("the fingerprint is blocked in this zone only: {error}");
    }
}
