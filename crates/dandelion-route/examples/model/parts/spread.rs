//! Scenario: ownership and digests at several sizes of a zone.

use std::collections::BTreeMap;

use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_route::digest::DigestSchedule;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::REMOTE_INTERVAL;
use dandelion_route::digest::REMOTE_SENDERS;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ServiceTag;
use dandelion_route::digest::ZoneMessage;
use dandelion_route::ownership::rendezvous;
use serde_json::Value;
use serde_json::json;

/// Numbers of daemons and upstreams of a zone.
const SIZES: [(usize, usize); 4] = [(2, 4), (8, 62), (24, 185), (72, 555)];

/// Number of services of an owner.
const SERVICES: u32 = 4;

/// Number of other zones of the cell.
const OTHER_ZONES: usize = 4;

/// Overhead of one mesh message in bytes: IPv4, TCP with timestamps, WebSocket with mask.
const FRAME_BYTES: usize = 20 + 32 + 8;

fn owners(daemons: &[DaemonId], upstreams: usize) -> Vec<DaemonId> {
    let owner = |n| {
        let id: UpstreamId = format!("engine-{n}").parse().expect("name");
        rendezvous(id.as_str().as_bytes(), daemons).cloned()
    };
    (0..upstreams).filter_map(owner).collect()
}

fn digest_bytes() -> usize {
    let service = |n| ServiceDigest {
        tag: ServiceTag(u32::MAX - n),
        slots: 2000,
        inflight: 1900,
        queued: 4000,
        upstreams: 8,
    };
    let digest = OwnerDigest {
        boot: Incarnation(1_796_000_000_000),
        sequence: 1_000_000,
        leaving: false,
        services: (0..SERVICES).map(service).collect(),
    };
    let body = codec::encode(&ZoneMessage::Digest(digest)).expect("digest");
    let message = codec::encode(&MeshMessage::Digest(body)).expect("message");
    message.len() + FRAME_BYTES
}

fn measure_size(daemons: usize, upstreams: usize) -> Value {
    let names: Vec<DaemonId> = (0..daemons)
        .map(|n| format!("daemon-{n}").parse().expect("name"))
        .collect();
    let before = owners(&names, upstreams);
    let after = owners(&names[1..], upstreams);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let mut counts: BTreeMap<&DaemonId, usize> = BTreeMap::new();
    for id in &before {
        *counts.entry(id).or_default() += 1;
    }
    let mut schedule = DigestSchedule::default();
    let own_zone = schedule.due(Millis(1), daemons - 1).len();
    let other_zones = (OTHER_ZONES * REMOTE_SENDERS) as f64 * 1000.0 / REMOTE_INTERVAL.0 as f64;
    json!({
        "daemons": daemons,
        "upstreams": upstreams,
        "moved_when_one_leaves": moved,
        "most_at_one_owner": counts.values().max(),
        "digest_bytes": digest_bytes(),
        "digest_bytes_each_s_both_ways": 2.0 * (own_zone as f64 + other_zones) * digest_bytes() as f64,
        "round_s": (daemons - 1).div_ceil(own_zone.max(1)),
    })
}

/// Computes the figures for every size.
pub fn measure() -> Value {
    SIZES
        .iter()
        .map(|(daemons, upstreams)| measure_size(*daemons, *upstreams))
        .collect()
}
