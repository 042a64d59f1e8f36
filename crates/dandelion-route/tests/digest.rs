//! Size of the digests and their place in the control budget.

use dandelion_protocol::codec;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::time::Millis;
use dandelion_route::digest::DIGESTS_PER_SECOND;
use dandelion_route::digest::DigestSchedule;
use dandelion_route::digest::OwnerDigest;
use dandelion_route::digest::ServiceDigest;
use dandelion_route::digest::ServiceTag;
use dandelion_route::digest::ZoneMessage;
use dandelion_route::poison::MAX_NOTES;
use dandelion_route::poison::Mark;
use dandelion_route::poison::SuspectNote;
use dandelion_route::ticket::Fingerprint;

/// Bytes around one mesh message: IPv4, TCP with timestamps, WebSocket with mask.
const FRAME_BYTES: usize = 20 + 32 + 8;

/// Share of the 4 KB a second for control that digests may take, both ways together.
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

fn wire(message: &ZoneMessage) -> usize {
    let body = codec::encode(message).unwrap();
    codec::encode(&MeshMessage::Digest(body)).unwrap().len() + FRAME_BYTES
}

#[test]
fn within_budget() {
    let mut schedule = DigestSchedule::default();
    for peers in [1, 7, 71] {
        let sent = schedule.due(Millis(1000 * peers as u64), peers).len();
        assert_eq!(sent, peers.min(DIGESTS_PER_SECOND));
        let bytes = 2 * sent * wire(&ZoneMessage::Digest(digest(4)));
        assert!(
            bytes <= DIGEST_BUDGET,
            "{bytes} bytes a second at {peers} peers"
        );
    }
}

#[test]
fn every_peer() {
    let mut schedule = DigestSchedule::default();
    let mut told = [0; 71];
    for second in 0..15 {
        for peer in schedule.due(Millis(second * 1000), told.len()) {
            told[peer] += 1;
        }
        assert!(
            schedule
                .due(Millis(second * 1000 + 500), told.len())
                .is_empty()
        );
    }
    assert!(told.iter().all(|times| *times >= 1));
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
        mark: Mark::Suspect,
    };
    let size = wire(&ZoneMessage::Notes(vec![note; MAX_NOTES]));
    assert!(size <= 60 + 64 * 40, "{size} bytes");
}
