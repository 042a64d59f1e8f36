//! The table of upstreams: reports that arrive late, again or from an earlier incarnation never
//! replace newer ones.

use std::collections::BTreeSet;

use dandelion_control::tables::UpstreamsCommand;
use dandelion_control::tables::UpstreamsTable;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::codec;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamEnd;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;
use quickcheck::quickcheck;

fn life(id: &str, born: u64, address: &str, ready: bool) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: WallMillis(born),
        service: "llm".parse().unwrap(),
        address: address.parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots: 4,
        ready,
        software: SoftwareVersion::default(),
    }
}

fn apply(table: &mut UpstreamsTable, command: UpstreamsCommand) -> Result<(), Rejection> {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(0),
        author: "",
    };
    table.apply(&context, command)
}

fn report(
    table: &mut UpstreamsTable,
    life: UpstreamIncarnation,
    sequence: u64,
) -> Result<(), Rejection> {
    report_cold(table, life, sequence, false)
}

fn report_cold(
    table: &mut UpstreamsTable,
    life: UpstreamIncarnation,
    sequence: u64,
    cold: bool,
) -> Result<(), Rejection> {
    let command = UpstreamsCommand::Report {
        life,
        sequence,
        cold,
    };
    apply(table, command)
}

fn end(table: &mut UpstreamsTable, id: &str, born: Option<u64>) {
    let end = UpstreamEnd {
        id: id.parse().unwrap(),
        born: born.map(WallMillis),
    };
    apply(table, UpstreamsCommand::End(end)).unwrap();
}

fn ready(table: &UpstreamsTable, id: &str) -> Option<bool> {
    table
        .incarnations()
        .find(|l| l.id.as_str() == id)
        .map(|l| l.ready)
}

const A: &str = "10.0.0.1:80";
const B: &str = "10.0.0.2:80";

#[test]
fn late_ready() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("i", 5, A, true), 1).unwrap();
    report(&mut table, life("i", 5, A, false), 3).unwrap();
    report(&mut table, life("i", 5, A, true), 2).unwrap_err();
    assert_eq!(ready(&table, "i"), Some(false));
}

#[test]
fn report_after_end() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("i", 5, A, true), 1).unwrap();
    end(&mut table, "i", Some(5));
    report(&mut table, life("i", 5, A, true), 9).unwrap_err();
    assert_eq!(ready(&table, "i"), None);
    report(&mut table, life("i", 6, A, true), 1).unwrap();
    end(&mut table, "i", Some(5));
    assert_eq!(ready(&table, "i"), Some(true));
}

#[test]
fn reused_address() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("old", 5, A, true), 1).unwrap();
    report(&mut table, life("new", 9, A, true), 1).unwrap();
    assert_eq!(ready(&table, "old"), None);
    report(&mut table, life("old", 5, A, true), 2).unwrap_err();
    assert_eq!(ready(&table, "new"), Some(true));
}

#[test]
fn forgotten_reports_again() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("i", 5, A, true), 1).unwrap();
    forget(&mut table, "i", 5);
    assert_eq!(ready(&table, "i"), None);
    report(&mut table, life("i", 5, A, true), 2).unwrap();
    assert_eq!(ready(&table, "i"), Some(true));
}

fn forget(table: &mut UpstreamsTable, id: &str, born: u64) {
    let command = UpstreamsCommand::Forget {
        id: id.parse().unwrap(),
        born: WallMillis(born),
    };
    apply(table, command).unwrap();
}

#[test]
fn late_report_revives_drained() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("i", 5, A, true), 79).unwrap();
    report(&mut table, life("i", 5, A, false), 80).unwrap();
    forget(&mut table, "i", 5);
    report(&mut table, life("i", 5, A, true), 79).unwrap_err();
    assert_eq!(ready(&table, "i"), None);
}

#[test]
fn late_report_revives_predecessor() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("i", 5, A, true), 9).unwrap();
    report(&mut table, life("i", 6, B, true), 1).unwrap();
    forget(&mut table, "i", 6);
    report(&mut table, life("i", 5, A, true), 8).unwrap_err();
    assert_eq!(ready(&table, "i"), None);
}

#[test]
fn later_report_revives_drained() {
    let mut table = UpstreamsTable::default();
    report(&mut table, life("i", 5, A, false), 80).unwrap();
    report(&mut table, life("i", 5, A, true), 81).unwrap();
    assert_eq!(ready(&table, "i"), Some(false));
}

#[test]
fn software_changes_within_incarnation() {
    let mut table = UpstreamsTable::default();
    let of = |software: &str| UpstreamIncarnation {
        software: SoftwareVersion(software.to_owned()),
        ..life("i", 5, A, true)
    };
    for (sequence, software) in ["", "v1", "", "v2"].into_iter().enumerate() {
        report(&mut table, of(software), sequence as u64).unwrap();
    }
    let known = table.incarnations().next().unwrap();
    assert_eq!(known.software, SoftwareVersion("v1".to_owned()));
}

#[test]
fn ended_long_ago_revived() {
    let mut table = UpstreamsTable::default();
    for number in 1..=5_000 {
        end(&mut table, &format!("i{number}"), Some(number));
    }
    report(&mut table, life("i1", 1, A, true), 7).unwrap_err();
    report(&mut table, life("new", 5_001, A, true), 1).unwrap();
}

/// An incarnation that has drained or ended is never ready again, whatever arrives later and however
/// often it was removed for being silent.
#[test]
fn drained_ready_again() {
    fn prop(steps: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut table = UpstreamsTable::default();
        let mut left = BTreeSet::new();
        for (kind, id, born, sequence) in steps {
            let (id, born) = (format!("i{}", id % 2), u64::from(born % 3) + 1);
            let address = format!("10.0.0.{}:80", born + 1);
            match kind % 4 {
                0 => forget(&mut table, &id, born),
                1 => {
                    end(&mut table, &id, Some(born));
                    left.insert((id, born));
                }
                kind => {
                    let is_ready = kind == 2;
                    let reported = life(&id, born, &address, is_ready);
                    let accepted = report(&mut table, reported, u64::from(sequence));
                    if accepted.is_ok() && !is_ready {
                        left.insert((id, born));
                    }
                }
            }
            let is_back =
                |l: &UpstreamIncarnation| l.ready && left.contains(&(l.id.to_string(), l.born.0));
            if table.incarnations().any(is_back) {
                return false;
            }
        }
        true
    }
    quickcheck(prop as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

/// In whatever order reports of several incarnations arrive, an address has at most one upstream,
/// and a newer one is never replaced by an older one.
#[test]
fn unique_address() {
    fn prop(reports: Vec<(u8, u8, bool, u8)>) -> bool {
        let mut table = UpstreamsTable::default();
        let mut newest = [0; 2];
        for (id, born, second, sequence) in reports {
            let at = usize::from(second);
            let address = [A, B][at];
            let born = u64::from(born % 8) + 1;
            let reported = life(&format!("i{}", id % 3), born, address, true);
            if report(&mut table, reported, u64::from(sequence)).is_ok() {
                if born < newest[at] {
                    return false;
                }
                newest[at] = born;
            }
            let on = |a: &str| {
                table
                    .incarnations()
                    .filter(|l| l.address.to_string() == a)
                    .count()
            };
            if on(A) > 1 || on(B) > 1 {
                return false;
            }
        }
        true
    }
    quickcheck(prop as fn(Vec<(u8, u8, bool, u8)>) -> bool);
}

/// Wall-clock time of the commands below.
const NOW: u64 = 1_773_188_804_599;

fn apply_now(table: &mut UpstreamsTable, command: UpstreamsCommand) -> Result<(), Rejection> {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(NOW),
        author: "",
    };
    table.apply(&context, command)
}

fn report_now(
    table: &mut UpstreamsTable,
    life: UpstreamIncarnation,
    sequence: u64,
) -> Result<(), Rejection> {
    apply_now(
        table,
        UpstreamsCommand::Report {
            life,
            sequence,
            cold: false,
        },
    )
}

#[test]
fn odd_report_blocks_upstream() {
    let honest = || life("i", NOW - 5_000, A, true);
    let odd = [
        (life("i", u64::MAX, A, true), 1),
        (life("i", NOW + 86_400_000, A, true), 1),
        (life("j", u64::MAX, A, true), 1),
        (life("i", NOW - 5_000, A, true), u64::MAX),
        (life("i", NOW - 5_000, "10.0.0.1:0", true), 1),
        (life("i", NOW - 5_000, "0.0.0.0:80", true), 1),
        (
            UpstreamIncarnation {
                slots: u32::MAX,
                ..honest()
            },
            1,
        ),
    ];
    for (odd, sequence) in odd {
        let mut table = UpstreamsTable::default();
        report_now(&mut table, odd.clone(), sequence).unwrap_err();
        assert_eq!(table.incarnations().count(), 0, "{odd:?}");
        report_now(&mut table, honest(), 4).unwrap();
        report_now(&mut table, odd, sequence).unwrap_err();
        report_now(&mut table, honest(), 5).unwrap();
    }
}

#[test]
fn odd_end_blocks_upstream() {
    let mut table = UpstreamsTable::default();
    let end = UpstreamEnd {
        id: "i".parse().unwrap(),
        born: Some(WallMillis(u64::MAX)),
    };
    apply_now(&mut table, UpstreamsCommand::End(end)).unwrap_err();
    report_now(&mut table, life("i", NOW - 5_000, A, true), 1).unwrap();
}

/// A table that a daemon without these checks has written, as it comes from a snapshot.
#[test]
fn recorded_odd_report_blocks_upstream() {
    let mut table = UpstreamsTable::default();
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(u64::MAX),
        author: "",
    };
    for odd in [life("i", u64::MAX, B, true), life("j", u64::MAX, A, true)] {
        let command = UpstreamsCommand::Report {
            life: odd,
            sequence: 1,
            cold: false,
        };
        table.apply(&context, command).unwrap();
    }
    let end = UpstreamEnd {
        id: "k".parse().unwrap(),
        born: Some(WallMillis(u64::MAX)),
    };
    table.apply(&context, UpstreamsCommand::End(end)).unwrap();
    let bytes = codec::encode(&table).unwrap();
    let mut table: UpstreamsTable = codec::decode(&bytes).unwrap();
    for id in ["i", "k"] {
        let address = if id == "i" { A } else { "10.0.0.3:80" };
        report_now(&mut table, life(id, NOW - 5_000, address, true), 1).unwrap();
        assert_eq!(ready(&table, id), Some(true));
    }
}

#[test]
fn reports_without_end() {
    let mut table = UpstreamsTable::default();
    let mut rejected = 0;
    for number in 0..40_000_u32 {
        let [_, a, b, c] = number.to_be_bytes();
        let address = format!("10.{a}.{b}.{c}:80");
        let odd = life(&format!("i{number}"), NOW, &address, true);
        rejected += u32::from(report_now(&mut table, odd, 1).is_err());
    }
    assert_eq!(rejected, 40_000 - 32_768);
}

/// Whatever odd reports and ends come first, an honest upstream at an address of its own is known
/// afterwards.
#[test]
fn honest_after_odd() {
    fn prop(odd: Vec<(bool, u8, u64, u64, u16)>) -> bool {
        let mut table = UpstreamsTable::default();
        for (is_end, id, born, sequence, port) in odd {
            let id = format!("i{}", id % 2);
            // Odd starts are spread over the whole range, and some are just too late.
            let born = if born % 3 == 0 {
                u64::MAX - born
            } else {
                NOW + 3_600_001 + born % 1_000
            };
            let command = if is_end {
                UpstreamsCommand::End(UpstreamEnd {
                    id: id.parse().unwrap(),
                    born: Some(WallMillis(born)),
                })
            } else {
                UpstreamsCommand::Report {
                    life: life(&id, born, &format!("10.0.0.1:{port}"), true),
                    sequence,
                    cold: false,
                }
            };
            let _rejected = apply_now(&mut table, command);
        }
        let honest = life("i0", NOW - 1, "10.0.0.1:80", true);
        report_now(&mut table, honest, 1).is_ok() && ready(&table, "i0") == Some(true)
    }
    quickcheck(prop as fn(Vec<(bool, u8, u64, u64, u16)>) -> bool);
}

/// A late report must not make an upstream warm that has turned cold since, nor the reverse.
#[test]
fn late_report_warms() {
    let mut table = UpstreamsTable::default();
    let is_cold = |table: &UpstreamsTable| table.warmth().next().unwrap().1.cold;
    let mut report = |sequence, cold| {
        let life = life("i", 5, A, true);
        let applied = report_cold(&mut table, life, sequence, cold).is_ok();
        (applied, is_cold(&table))
    };
    assert_eq!(report(3, true), (true, true));
    assert_eq!(report(2, false), (false, true));
    assert_eq!(report(4, false), (true, false));
    assert_eq!(report(3, true), (false, false));
    assert_eq!(report(5, true), (true, true));
}

/// Reports of warm upstreams are stored as daemons of earlier versions store them, and theirs count as
/// warm.
#[test]
fn stored_without_cold() {
    let command = UpstreamsCommand::Report {
        life: life("i", 5, A, true),
        sequence: 1,
        cold: false,
    };
    let stored = serde_json::to_value(command.clone()).unwrap();
    assert!(!stored.to_string().contains("cold"));
    assert_eq!(
        serde_json::from_value::<UpstreamsCommand>(stored).unwrap(),
        command
    );
}
