//! What a feeder holds while many daemons follow it. Guards against memory and encoding that grow as
//! daemons times upstreams: a control daemon exceeded 256 MB at 290 daemons and 3,001 upstreams.

#[path = "support/feeder.rs"]
mod feeder;

use std::collections::BTreeSet;

use dandelion_control::node::NodeAction;
use dandelion_control::node::images::MAX_IMAGE_BYTES;
use dandelion_control::raft::GroupId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MeshMessage;
use feeder::FeederBench;
use feeder::daemons;
use feeder::grants;

const DAEMONS: usize = 290;
const UPSTREAMS: u32 = 3_000;

fn open() -> (tempfile::TempDir, FeederBench) {
    let folder = tempfile::tempdir().unwrap();
    let bench = FeederBench::open(folder.path());
    (folder, bench)
}

/// Fails if each subscriber gets its own encoded copy of the same changes.
#[test]
fn pushes_share_bytes() {
    let (_folder, mut bench) = open();
    let names = daemons(DAEMONS);
    let mut actions = bench.renew(&names, GroupId::default(), Revision(0));
    actions.extend(bench.step(Vec::new()));
    assert_eq!(grants(&actions).len(), DAEMONS);
    let actions = bench.report(UPSTREAMS, 1);
    let mut copies = BTreeSet::new();
    let mut pushes = 0;
    for action in &actions {
        if let NodeAction::Send {
            message: MeshMessage::Feed(bytes),
            ..
        } = action
        {
            pushes += 1;
            copies.insert(bytes.as_ptr());
        }
    }
    assert_eq!((pushes, copies.len()), (DAEMONS, 1));
}

/// Fails if all daemons that start at once are sent an image at once, or if some never get theirs.
#[test]
fn images_in_flight() {
    let (_folder, mut bench) = open();
    bench.report(UPSTREAMS, 1);
    let mut missing = daemons(DAEMONS);
    let mut actions = bench.renew(&missing, GroupId::default(), Revision(0));
    let mut steps = 0;
    loop {
        let granted = grants(&actions);
        let images = granted.iter().filter_map(|(_, g)| g.update.image.as_ref());
        let bytes: usize = images.map(|image| image.len()).sum();
        assert!(bytes <= MAX_IMAGE_BYTES, "{bytes} bytes at once");
        let names: Vec<_> = granted.iter().map(|(daemon, _)| daemon.clone()).collect();
        missing.retain(|daemon| !names.contains(daemon));
        if missing.is_empty() {
            break;
        }
        steps += 1;
        assert!(steps < DAEMONS, "{} daemons got no image", missing.len());
        actions = match granted.first() {
            Some((_, grant)) => bench.renew(&names, grant.group, grant.update.to),
            None if steps % 20 == 0 => bench.renew(&missing, GroupId::default(), Revision(0)),
            None => bench.step(Vec::new()),
        };
    }
    assert!(steps > 2);
}

/// Fails if images that are lost with their daemons block later ones for good.
#[test]
fn lost_images_expire() {
    let (_folder, mut bench) = open();
    bench.report(UPSTREAMS, 1);
    let names = daemons(DAEMONS);
    let (lost, late) = names.split_at(DAEMONS / 2);
    let mut sent = 0;
    for _ in 0..200 {
        let actions = bench.renew(lost, GroupId::default(), Revision(0));
        sent += grants(&actions).len();
    }
    assert!(sent > 0);
    let mut served = 0;
    for _ in 0..200 {
        let actions = bench.renew(late, GroupId::default(), Revision(0));
        served += grants(&actions).len();
    }
    assert!(served > 0);
}

/// Fails if a cell of a few daemons waits for images: all get theirs in the step that confirms them.
#[test]
fn small_cells_unchanged() {
    let (_folder, mut bench) = open();
    bench.report(100, 1);
    let names = daemons(30);
    let mut actions = bench.renew(&names, GroupId::default(), Revision(0));
    actions.extend(bench.step(Vec::new()));
    assert_eq!(grants(&actions).len(), names.len());
}
