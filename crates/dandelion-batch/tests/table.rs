//! The table of batch jobs: resent submissions, fixed positions of results, ended jobs.

use dandelion_batch::BatchTable;
use dandelion_batch::table::BatchCommand;
use dandelion_batch::table::MAX_JOB_BYTES;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::batch::BatchItem;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::batch::ListedResult;
use dandelion_protocol::batch::ScoringRequest;
use dandelion_protocol::batch::TextRef;
use dandelion_protocol::codec;
use dandelion_protocol::control::MAX_COMMAND_BYTES;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use quickcheck::quickcheck;

fn team(name: &str) -> TeamId {
    name.parse().unwrap()
}

fn job(id: &str, items: u64) -> BatchJob {
    let item = |n: u64| BatchItem {
        id: format!("i{n}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: vec![n as u8],
        tokens: 100,
        expected: None,
        model: None,
        group: format!("g{}", n / 2),
        scoring: None,
    };
    BatchJob {
        id: id.to_owned(),
        team: team("builders"),
        host: "h.example".to_owned(),
        path: "/p/".to_owned(),
        min_version: 1,
        wanted: 1,
        due: Millis(7_500),
        keep: Millis(40_000),
        attempts: 3,
        pure: false,
        resumable: true,
        items: (0..items).map(item).collect(),
    }
}

/// UNASKED: a job passed the check of its submission, and the entry made of it was too long to be
/// replicated.
#[test]
fn longest_submission() {
    let mut job = job("j", 1);
    let empty = codec::encoded_len(&job).unwrap();
    // The length of a long byte string takes four bytes more than that of a short one.
    job.items[0].body = vec![7; MAX_JOB_BYTES - empty - 4 + 1];
    assert_eq!(codec::encoded_len(&job).unwrap(), MAX_JOB_BYTES);
    let command = BatchCommand::Submit(Box::new(job));
    assert!(codec::encoded_len(&command).unwrap() <= MAX_COMMAND_BYTES);
}

fn listed(item: u64, digest: u64) -> ListedResult {
    ListedResult {
        id: format!("i{item}"),
        text: Some(TextRef { length: 10, digest }),
        versions: vec![1],
        score: None,
    }
}

fn apply(table: &mut BatchTable, command: BatchCommand) -> Result<(), Rejection> {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(0),
        author: "",
    };
    table.apply(&context, command)
}

fn list(job: &str, result: ListedResult) -> BatchCommand {
    BatchCommand::List {
        job: job.to_owned(),
        result,
    }
}

#[test]
fn resent_job() {
    let mut table = BatchTable::default();
    apply(&mut table, BatchCommand::Submit(Box::new(job("j", 4)))).unwrap();
    apply(&mut table, list("j", listed(2, 7))).unwrap();
    apply(&mut table, BatchCommand::Submit(Box::new(job("j", 4)))).unwrap();
    let stored = table.of_team("j", &team("builders")).unwrap();
    assert_eq!(stored.results, [listed(2, 7)]);
    assert!(table.of_team("j", &team("others")).is_none());
}

#[test]
fn foreign_job() {
    let mut table = BatchTable::default();
    apply(&mut table, BatchCommand::Submit(Box::new(job("j", 1)))).unwrap();
    let mut foreign = job("j", 1);
    foreign.team = team("others");
    apply(&mut table, BatchCommand::Submit(Box::new(foreign))).unwrap_err();
    let end = |name: &str| BatchCommand::End {
        job: "j".to_owned(),
        team: team(name),
    };
    apply(&mut table, end("others")).unwrap_err();
    apply(&mut table, end("builders")).unwrap();
    apply(&mut table, end("builders")).unwrap();
    assert!(table.jobs()["j"].ended);
}

/// Results listed in any order and repeatedly: no item appears twice and no position changes.
#[test]
fn positions_fixed() {
    fn prop(commands: Vec<(u8, u8)>) -> bool {
        let mut table = BatchTable::default();
        apply(&mut table, BatchCommand::Submit(Box::new(job("j", 6)))).unwrap();
        let mut seen: Vec<ListedResult> = Vec::new();
        for (item, digest) in commands {
            let result = listed(u64::from(item % 8), u64::from(digest));
            apply(&mut table, list("j", result)).unwrap();
            let results = &table.jobs()["j"].results;
            if !results.starts_with(&seen) {
                return false;
            }
            seen.clone_from(results);
        }
        let mut ids: Vec<&str> = seen.iter().map(|l| l.id.as_str()).collect();
        ids.sort_unstable();
        ids.windows(2).all(|w| w[0] != w[1]) && ids.len() <= 6
    }
    quickcheck(prop as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn bodies_until_listed() {
    let mut table = BatchTable::default();
    apply(&mut table, BatchCommand::Submit(Box::new(job("j", 2)))).unwrap();
    apply(&mut table, list("j", listed(0, 1))).unwrap();
    let stored = &table.jobs()["j"];
    assert_eq!(stored.body("i0"), None);
    assert_eq!(stored.body("i1"), Some([1].as_slice()));
    assert_eq!(stored.body("i9"), None);
}

#[test]
fn page_limit() {
    let mut table = BatchTable::default();
    apply(&mut table, BatchCommand::Submit(Box::new(job("j", 4)))).unwrap();
    let large = |item| ListedResult {
        text: Some(TextRef {
            length: 500 * 1024,
            digest: 1,
        }),
        ..listed(item, 1)
    };
    for item in 0..4 {
        apply(&mut table, list("j", large(item))).unwrap();
    }
    let stored = &table.jobs()["j"];
    assert_eq!(stored.page(0).len(), 1);
    assert_eq!(stored.page(3), [large(3)]);
    assert!(stored.page(4).is_empty());
    assert!(stored.page(99).is_empty());
}

fn scored_job() -> BatchJob {
    let mut job = job("j", 4);
    job.items[1].scoring = Some(ScoringRequest {
        id: "s1".to_owned(),
        host: "h.example".to_owned(),
        path: "/score/1".to_owned(),
        body: vec![7],
    });
    job
}

#[test]
fn unscored_result_rejected() {
    let mut table = BatchTable::default();
    apply(&mut table, BatchCommand::Submit(Box::new(scored_job()))).unwrap();
    apply(&mut table, list("j", listed(1, 7))).unwrap_err();
    let scored = ListedResult {
        score: Some("d1".to_owned()),
        ..listed(1, 7)
    };
    apply(&mut table, list("j", scored.clone())).unwrap();
    assert_eq!(table.jobs()["j"].results, [scored]);
}

#[test]
fn unscored_output_kept() {
    let mut table = BatchTable::default();
    apply(&mut table, BatchCommand::Submit(Box::new(scored_job()))).unwrap();
    let complete = |digest| BatchCommand::Complete {
        job: "j".to_owned(),
        result: listed(1, digest),
    };
    apply(&mut table, complete(7)).unwrap();
    apply(&mut table, complete(8)).unwrap();
    let bytes = codec::encode(&table).unwrap();
    let mut table: BatchTable = codec::decode(&bytes).unwrap();
    let stored = &table.jobs()["j"];
    assert_eq!(stored.unscored()[&1], listed(1, 7));
    assert_eq!(stored.body("i1"), Some(&[1][..]));
    let given_up = ListedResult {
        text: None,
        ..listed(1, 7)
    };
    apply(&mut table, list("j", given_up)).unwrap();
    apply(&mut table, complete(9)).unwrap();
    let stored = &table.jobs()["j"];
    assert!(stored.unscored().is_empty());
    assert_eq!(stored.results.len(), 1);
}
