//! The table of limits that upstreams name.

use dandelion_control::tables::LimitsTable;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::Term;
use dandelion_protocol::limits::LimitReport;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::time::WallMillis;

fn permit(term: u64, number: u64) -> PermitNumber {
    PermitNumber {
        term: Term(term),
        number,
    }
}

fn report(
    table: &mut LimitsTable,
    upstream: &str,
    born: u64,
    rate: Option<u64>,
    seen: PermitNumber,
) {
    let report = LimitReport {
        upstream: upstream.parse().unwrap(),
        born: WallMillis(born),
        rate: rate.map(RateLimit),
        seen,
    };
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(0),
        author: "",
    };
    table.apply(&context, report).unwrap();
}

fn rate_of(table: &LimitsTable, upstream: &str) -> Option<u64> {
    let limit = table.limits().get(&upstream.parse().unwrap());
    limit.map(|limit| limit.rate.0)
}

#[test]
fn late_report_ignored() {
    let mut table = LimitsTable::default();
    report(&mut table, "u", 1, Some(1_000), permit(2, 7));
    report(&mut table, "u", 1, Some(9_000), permit(2, 6));
    report(&mut table, "u", 1, Some(9_000), PermitNumber::default());
    report(&mut table, "u", 1, None, permit(1, 80));
    assert_eq!(rate_of(&table, "u"), Some(1_000));
    report(&mut table, "u", 1, Some(3_000), permit(3, 1));
    assert_eq!(rate_of(&table, "u"), Some(3_000));
}

#[test]
fn limit_ends() {
    let mut table = LimitsTable::default();
    report(&mut table, "u", 1, Some(1_000), PermitNumber::default());
    report(&mut table, "u", 1, None, permit(1, 1));
    assert_eq!(rate_of(&table, "u"), None);
}

#[test]
fn next_incarnation() {
    let mut table = LimitsTable::default();
    report(&mut table, "u", 1, Some(1_000), permit(5, 5));
    report(&mut table, "u", 2, Some(2_000), PermitNumber::default());
    report(&mut table, "u", 1, Some(500), permit(5, 6));
    report(&mut table, "u", 1, None, permit(5, 7));
    assert_eq!(rate_of(&table, "u"), Some(2_000));
}

#[test]
fn oldest_forgotten() {
    let mut table = LimitsTable::default();
    for born in 1..=1_025 {
        let upstream = format!("u{born}");
        report(
            &mut table,
            &upstream,
            born,
            Some(1_000),
            PermitNumber::default(),
        );
    }
    assert_eq!(table.limits().len(), 1_024);
    assert_eq!(rate_of(&table, "u1"), None);
    assert_eq!(rate_of(&table, "u1025"), Some(1_000));
}
