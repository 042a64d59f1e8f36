//! Jobs and engines that several tests of the scheduler use.

use dandelion_protocol::batch::BatchItem;
use dandelion_protocol::batch::BatchJob;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

/// Returns the service of all engines.
pub fn service() -> ServiceId {
    "llm".parse().unwrap()
}

/// Returns an engine without a model.
pub fn engine(id: &str, born: u64, slots: u32) -> UpstreamIncarnation {
    UpstreamIncarnation {
        id: id.parse().unwrap(),
        born: WallMillis(born),
        service: service(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z".parse().unwrap(),
        slots,
        ready: true,
        software: SoftwareVersion("v1".to_owned()),
    }
}

/// Returns a job of `items` items without a model, in groups of two.
pub fn job(id: &str, items: usize) -> BatchJob {
    let item = |n: usize| BatchItem {
        id: format!("i{n}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: 1_000,
        expected: Some(100),
        model: None,
        group: format!("g{}", n / 2),
        scoring: None,
    };
    BatchJob {
        id: id.to_owned(),
        team: "builders".parse().unwrap(),
        host: "h".to_owned(),
        path: "/p/".to_owned(),
        min_version: 1,
        wanted: items as u32 / 2,
        due: Millis(7_500),
        keep: Millis(40_000),
        attempts: 3,
        pure: false,
        resumable: true,
        items: (0..items).map(item).collect(),
    }
}
