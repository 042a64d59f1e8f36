//! The table of upstreams: reports that arrive late, again or from an earlier incarnation never
//! replace newer ones.

use dandelion_control::tables::UpstreamsCommand;
use dandelion_control::tables::UpstreamsTable;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Revision;
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
    apply(table, UpstreamsCommand::Report { life, sequence })
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
    let forget = UpstreamsCommand::Forget {
        id: "i".parse().unwrap(),
        born: WallMillis(5),
    };
    apply(&mut table, forget).unwrap();
    assert_eq!(ready(&table, "i"), None);
    report(&mut table, life("i", 5, A, true), 2).unwrap();
    assert_eq!(ready(&table, "i"), Some(true));
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
