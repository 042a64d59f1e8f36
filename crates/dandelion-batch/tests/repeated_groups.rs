//! Groups that were not complete when their job ended, and come again in a later job. The trainer waits
//! for them whatever other groups are complete.

mod support;

use std::collections::BTreeSet;

use dandelion_batch::BatchTable;
use dandelion_batch::Scheduler;
use dandelion_batch::scheduler::Action;
use dandelion_batch::scheduler::Event;
use dandelion_batch::table::BatchCommand;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

const NOW: Millis = Millis(1_000);

/// Returns a job of four groups of two, of which the trainer waits for three. The items of the first
/// group have the longest outputs.
fn step() -> BatchJob {
    let mut job = support::job("step", 8);
    job.wanted = 3;
    for item in &mut job.items[..2] {
        item.expected = Some(5_000);
    }
    job
}

/// Returns the indexes of the items that are started on one engine with `slots`.
fn started(repeated: &[usize], slots: u32) -> Vec<usize> {
    let mut scheduler = Scheduler::default();
    let mut actions = Vec::new();
    let engines = [(support::engine("e", 1, slots), None)];
    let limited = &BTreeSet::new();
    let engines = &engines;
    scheduler.record(NOW, Event::Engines { engines, limited }, &mut actions);
    let job = step();
    let opened = Event::Opened {
        job: &job,
        open: vec![true; job.items.len()],
        service: Some(support::service()),
        kept: Vec::new(),
    };
    scheduler.record(NOW, opened, &mut actions);
    let (job, items) = (job.id.as_str(), repeated);
    scheduler.record(NOW, Event::Repeated { job, items }, &mut actions);
    scheduler.advance(NOW, &mut actions);
    let started = actions.into_iter().filter_map(|action| match action {
        Action::Run { item, .. } => Some(item),
        _ => None,
    });
    started.collect()
}

/// The longest group was taken for the spare one though the trainer waited for it, and began last.
#[test]
fn repeated_before_spare() {
    assert_eq!(started(&[0, 1], 6)[..2], [0, 1]);
}

/// Without an earlier job the longest group is the spare one.
#[test]
fn longest_is_spare() {
    assert!(started(&[], 6).iter().all(|item| *item >= 2));
}

/// An index that the job doesn't have is ignored.
#[test]
fn unknown_items_ignored() {
    assert_eq!(started(&[usize::MAX, 8], 6), started(&[], 6));
}

fn apply(table: &mut BatchTable, command: BatchCommand) {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(1),
        author: "",
    };
    let applied = table.apply(&context, command);
    applied.expect("the command is valid");
}

/// Items count as repeated only if an ended job of the same team has them: an open one still runs them.
#[test]
fn only_ended_jobs() {
    let mut table = BatchTable::default();
    let earlier = support::job("earlier", 4);
    let mut later = support::job("later", 6);
    for (n, item) in later.items[4..].iter_mut().enumerate() {
        item.id = format!("new{n}");
    }
    apply(&mut table, BatchCommand::Submit(Box::new(earlier.clone())));
    apply(&mut table, BatchCommand::Submit(Box::new(later)));
    assert_eq!(table.repeated_items("later"), []);
    let (job, team) = (earlier.id, earlier.team);
    apply(&mut table, BatchCommand::End { job, team });
    assert_eq!(table.repeated_items("later"), [0, 1, 2, 3]);
    assert_eq!(table.repeated_items("unknown"), []);
}
