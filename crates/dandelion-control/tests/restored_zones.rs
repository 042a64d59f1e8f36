//! Upstreams of a zone whose evacuation was cancelled. They got full load at once though they had turned
//! cold while they got nothing.

use dandelion_control::tables::UpstreamsCommand;
use dandelion_control::tables::UpstreamsTable;
use dandelion_control::tables::ZonesCommand;
use dandelion_control::tables::ZonesTable;
use dandelion_control::tables::cold_incarnations;
use dandelion_control::tables::zones::Order;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;

#[derive(Default)]
struct Cell {
    upstreams: UpstreamsTable,
    zones: ZonesTable,
    revision: u64,
}

impl Cell {
    fn report(&mut self, id: &str, zone: &str, cold: bool) {
        self.revision += 1;
        let life = UpstreamIncarnation {
            id: id.parse().unwrap(),
            born: WallMillis(1),
            service: "llm".parse().unwrap(),
            address: format!("10.0.0.{}:80", id.len()).parse().unwrap(),
            zone: zone.parse().unwrap(),
            slots: 8,
            ready: true,
            software: SoftwareVersion::default(),
        };
        let command = UpstreamsCommand::Report {
            life,
            sequence: self.revision,
            cold,
        };
        let context = context(self.revision);
        let reported = self.upstreams.apply(&context, command);
        reported.expect("the report is newer than the others");
    }

    fn order(&mut self, command: ZonesCommand) {
        self.revision += 1;
        let context = context(self.revision);
        let ordered = self.zones.apply(&context, command);
        ordered.expect("an order is never rejected");
    }

    fn evacuate(&mut self, zone: &str) {
        let (zone, order) = (zone.parse().unwrap(), Order::Identified);
        self.order(ZonesCommand::Evacuate { zone, order });
    }

    fn restore(&mut self, zone: &str) {
        let (zone, order) = (zone.parse().unwrap(), Order::Identified);
        self.order(ZonesCommand::Restore { zone, order });
    }

    fn cold(&self) -> Vec<String> {
        let cold = cold_incarnations(&self.upstreams, Some(&self.zones));
        cold.into_keys().map(|id| id.to_string()).collect()
    }
}

fn context(revision: u64) -> ApplyContext<'static> {
    ApplyContext {
        revision: Revision(revision),
        at: WallMillis(1_000_000 + revision),
        author: "",
    }
}

#[test]
fn restored_counts_cold() {
    let mut cell = Cell::default();
    cell.report("a", "near", false);
    cell.report("bb", "far", false);
    cell.evacuate("near");
    assert!(cell.cold().is_empty());
    cell.restore("near");
    assert_eq!(cell.cold(), ["a"]);
    cell.report("a", "near", false);
    assert!(cell.cold().is_empty());
}

/// A report that says so keeps the upstream cold after the restore.
#[test]
fn reported_stays_cold() {
    let mut cell = Cell::default();
    cell.report("a", "near", false);
    cell.evacuate("near");
    cell.restore("near");
    cell.report("a", "near", true);
    assert_eq!(cell.cold(), ["a"]);
}
