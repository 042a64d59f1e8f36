//! Changes about as long as a message between daemons. Guards against an entry in the log that no follower
//! can receive: the leader sent it again without end, kept its lease, and nothing after it was committed.

mod support;

use dandelion_control::raft::Entry;
use dandelion_control::raft::MAX_CHANGE_BYTES;
use dandelion_control::raft::Payload;
use dandelion_control::raft::Position;
use dandelion_control::storage::Storage;
use dandelion_control::tables::MAX_PLAN_BYTES;
use dandelion_control::tables::PlanTable;
use dandelion_control::tables::ReplacePlan;
use dandelion_kernel::Table;
use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::control::MAX_COMMAND_BYTES;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::ProposeError;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::MAX_MESSAGE_BYTES;
use dandelion_protocol::mesh::MAX_REPLICATION_BYTES;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::WallMillis;
use support::group::Group;
use support::group::GroupOptions;
use support::tally;

/// Longest message of a link, in bytes.
const LONGEST: usize = 16 * 1024 * 1024;

/// Room in an image for the other tables, in bytes: five times what 3,000 upstreams take.
const OTHER_TABLES: usize = 3 * 1024 * 1024;

/// Simulated time for a change to be acknowledged.
const LIMIT_MS: u64 = 4_000;

/// Returns a proposal of about `length` bytes.
fn long(ticket: u64, length: usize) -> Proposal {
    let mut proposal = tally::count(ticket);
    proposal.command.resize(length, 0);
    proposal
}

fn start(seed: u64) -> Group {
    let mut group = Group::start(GroupOptions::of(3), seed);
    group.network.longest = Some(LONGEST);
    assert!(group.run_until(3_000, Group::is_converged));
    group
}

/// Proposes at the leader and returns whether the proposal is acknowledged in time.
fn is_acknowledged(group: &mut Group, ticket: u64, proposal: Proposal) -> bool {
    let leader = group.leader().expect("a leader");
    group.propose_command(leader, ticket, proposal);
    group.run_until(LIMIT_MS, |group| {
        group.checks.first_answers.contains_key(&ticket)
    })
}

#[test]
fn group_goes_on() {
    for (seed, short_by) in [(1, 0), (2, 150), (3, 300)] {
        let mut group = start(seed);
        let _refused_or_not = is_acknowledged(&mut group, 1, long(1, LONGEST - short_by));
        let small = tally::count(2);
        assert!(
            is_acknowledged(&mut group, 2, small),
            "short by {short_by}:{}",
            group.describe()
        );
    }
}

/// Bytes that a proposal of a long command has besides it, its time included.
fn overhead(group: &Group) -> usize {
    let mut proposal = long(1, MAX_COMMAND_BYTES);
    proposal.at = WallMillis(group.now);
    codec::encode(&proposal).unwrap().len() - MAX_COMMAND_BYTES
}

#[test]
fn longest_change() {
    let mut group = start(4);
    let longest = MAX_CHANGE_BYTES - overhead(&group);
    assert!(longest >= MAX_COMMAND_BYTES);
    assert!(is_acknowledged(&mut group, 1, long(1, longest)));
    let refused = is_acknowledged(&mut group, 2, long(2, longest + 1));
    assert!(!refused);
    let length = MAX_CHANGE_BYTES + 1;
    assert_eq!(
        group.answers[&2],
        [Err(ProposeError::TooLong { length })],
        "{}",
        group.describe()
    );
}

/// An entry that an earlier release has stored is replicated and applied, though it would be refused now.
#[test]
fn earlier_entry() {
    let mut group = start(5);
    let leader = group.leader().expect("a leader");
    group.run(500);
    let node = group.vms[leader].node.take().expect("it runs");
    let last = node.replica().log().last();
    let hard = node.replica().hard_state();
    let change = long(7, LONGEST);
    let entry = Entry {
        at: Position {
            term: last.term,
            index: last.index + 1,
        },
        payload: Payload::Change(codec::encode(&change).unwrap()),
    };
    let mut storage = node.into_storage();
    storage.write(Some(hard), &[entry]).unwrap();
    drop(storage);
    let now = group.now;
    group.vms[leader].kill(now);
    group.network.longest = Some(MAX_REPLICATION_BYTES);
    let small = tally::count(8);
    assert!(group.run_until(LIMIT_MS, |g| g.leader().is_some()));
    assert!(is_acknowledged(&mut group, 8, small));
    assert!(group.run_until(LIMIT_MS, Group::is_converged));
    assert!(group.node(leader).unwrap().revision().0 > last.index + 1);
}

#[test]
fn image_fits_message() {
    let document = vec![7; MAX_PLAN_BYTES - 4096];
    let command = ReplacePlan {
        plan: RoutePlan::default(),
        document: document.into(),
    };
    assert!(codec::encoded_len(&command).unwrap() <= MAX_PLAN_BYTES);
    let mut tables = TableSet::open_all();
    let proposal = Proposal {
        table: PlanTable::NAME.to_owned(),
        command: codec::encode(&command).unwrap(),
        ..tally::count(1)
    };
    tables.apply(Revision(1), &proposal);
    let image = codec::encode(&tables.distributed_image().unwrap()).unwrap();
    assert!(image.len() > MAX_PLAN_BYTES - 4096);
    assert!(image.len() + OTHER_TABLES < MAX_MESSAGE_BYTES);
}
