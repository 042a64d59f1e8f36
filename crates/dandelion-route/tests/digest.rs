//! Size of digests and notes against their budget, and the schedule of digests.

use std::collections::BTreeMap;

use dandelion_protocol::codec;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_route::digest::DigestSchedule;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::REMOTE_INTERVAL;
use dandelion_route::digest::REMOTE_SENDERS;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ServiceTag;
use dandelion_route::digest::ZoneMessage;
use dandelion_route::digest::remote_senders;
use dandelion_route::poison::MAX_NOTES;
use dandelion_route::poison::Status;
use dandelion_route::poison::SuspectNote;
use dandelion_route::ticket::Fingerprint;

/// Overhead of one mesh message in bytes: IPv4, TCP with timestamps, WebSocket with mask.
const FRAME_BYTES: usize = 20 + 32 + 8;

/// Bytes a second that digests may use, both ways together, of 4 KB a second for control.
const DIGEST_BUDGET: usize = 2048;

fn digest(services: u32) -> OwnerDigest {
    let service = |n| ServiceDigest {
        tag: ServiceTag(u32::MAX - n),
        slots: 2000,
        inflight: 1900,
        queued: 4000,
        upstreams: 8,
    };
    OwnerDigest {
        boot: Incarnation(1_796_000_000_000),
        sequence: 1_000_000,
        leaving: false,
        services: (0..services).map(service).collect(),
    }
}

fn wire_size(message: &ZoneMessage) -> usize {
    let body = codec::encode(message).unwrap();
    codec::encode(&MeshMessage::Digest(body)).unwrap().len() + FRAME_BYTES
}

/// Returns the bytes a second, both ways, of the digests of a daemon with `peers` others in its
/// zone and four other zones.
fn bytes_each_second(peers: usize, services: u32) -> usize {
    let mut schedule = DigestSchedule::default();
    let sent = schedule.due(Millis(1), peers).len();
    let size = wire_size(&ZoneMessage::Digest(digest(services)));
    let secs = REMOTE_INTERVAL.0 as usize / 1000;
    (2 * (sent * secs + 4 * REMOTE_SENDERS) * size).div_ceil(secs)
}

#[test]
fn within_budget() {
    let bytes = [1, 7, 71].map(|peers| bytes_each_second(peers, 4));
    assert!(bytes[0] < bytes[1] && bytes[1] == bytes[2], "{bytes:?}");
    assert!(bytes[2] <= DIGEST_BUDGET, "{bytes:?}");
}

#[test]
fn remote_senders_even() {
    let id = |zone: char, n| format!("{zone}-{n}").parse().unwrap();
    let members: Vec<DaemonId> = (0..72).map(|n| id('b', n)).collect();
    let mut receivers = BTreeMap::new();
    for n in 0..72 {
        let senders = remote_senders(&id('a', n), &members);
        assert_eq!(senders.len(), REMOTE_SENDERS);
        for sender in senders {
            *receivers.entry(sender.clone()).or_insert(0) += 1;
        }
    }
    let most = receivers.values().max().copied().unwrap_or(0);
    assert!(most <= 4 * REMOTE_SENDERS, "one daemon sends to {most}");
}

#[test]
fn every_peer() {
    let mut schedule = DigestSchedule::default();
    let mut received = [0; 71];
    for second in 0..15 {
        for peer in schedule.due(Millis(second * 1000), received.len()) {
            received[peer] += 1;
        }
        assert!(
            schedule
                .due(Millis(second * 1000 + 500), received.len())
                .is_empty()
        );
    }
    assert!(received.iter().all(|times| *times >= 1));
}

#[test]
fn round_trip() {
    let message = ZoneMessage::Digest(digest(3));
    let bytes = codec::encode(&message).unwrap();
    assert_eq!(codec::decode::<ZoneMessage>(&bytes).unwrap(), message);
}

#[test]
fn bounded_notes() {
    let note = SuspectNote {
        fingerprint: Fingerprint(u64::MAX),
        mark: Status::Suspect,
    };
    let size = wire_size(&ZoneMessage::Notes(vec![note; MAX_NOTES]));
    assert!(size <= 60 + 64 * 40, "{size} bytes");
}
