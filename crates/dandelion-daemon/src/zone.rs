//! What an owner tells other daemons: digests of its load, notes on suspects, blocks.

use std::time::Duration;

use async_std::task;
use dandelion_control::tables::ConfigTable;
use dandelion_net::clock;
use dandelion_protocol::codec;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Member;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_route::digest::DigestSchedule;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ZoneMessage;
use dandelion_route::ticket::Fingerprint;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::serve::Outbox;

/// Time between two ticks of the queues.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two digests.
const DIGEST_TICKS: u64 = 10;

/// Ticks the queues and sends digests until the process ends.
pub async fn run_zone(core: Handle) {
    let mut near = DigestSchedule::default();
    let mut far = DigestSchedule::default();
    let mut ticks = 0;
    loop {
        task::sleep(TICK).await;
        ticks += 1;
        core.owners.tick(clock::boot_now());
        tell(&core);
        if ticks % DIGEST_TICKS == 0 {
            send_digests(&core, ticks, &mut near, &mut far);
        }
    }
}

fn send_digests(core: &Handle, sequence: u64, near: &mut DigestSchedule, far: &mut DigestSchedule) {
    let digest = digest(core, sequence);
    let own = &core.identity;
    let now = clock::boot_now();
    core.entry
        .owners()
        .hear(now, &own.daemon, &own.zone, &digest);
    let Ok(bytes) = codec::encode(&ZoneMessage::Digest(digest)) else {
        return;
    };
    let view = core.control.view();
    let in_zone = |m: &&Member| m.zone == own.zone && m.id != own.daemon;
    let peers: Vec<&Member> = view.members.iter().filter(in_zone).collect();
    let others: Vec<&Member> = view.members.iter().filter(|m| m.zone != own.zone).collect();
    for (schedule, members) in [(near, peers), (far, others)] {
        for index in schedule.due(now, members.len()) {
            send(core, &members[index].id, bytes.clone());
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
        let outbox = shard.take_outbox();
        if !outbox.is_empty() {
            pass_on(core, outbox);
        }
    }
}

fn pass_on(core: &Handle, outbox: Outbox) {
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
    let Ok(bytes) = codec::encode(&ZoneMessage::Notes(outbox.notes)) else {
        return;
    };
    let view = core.control.view();
    let own = &core.identity;
    let peers = view.members.iter().filter(|m| m.zone == own.zone);
    for member in peers {
        send(core, &member.id, bytes.clone());
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
