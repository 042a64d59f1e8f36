//! Reports of every daemon to the control leader on owned upstreams and demand.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::task;
use dandelion_protocol::fleet::DemandReport;
use dandelion_protocol::fleet::Inventory;
use dandelion_protocol::fleet::UpstreamReport;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::usage::Class;
use dandelion_route::registry::Record;

use crate::core::Handle;

/// Interval between two reports in a small cell.
const PERIOD: Duration = Duration::from_secs(1);

/// Interval between two reports in a large cell.
const LARGE_PERIOD: Duration = Duration::from_secs(5);

/// Longest wait for the leader's reply.
const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Reports until the process ends.
pub async fn run_inventory(core: Handle) {
    loop {
        let large = core.control.view().is_large();
        task::sleep(if large { LARGE_PERIOD } else { PERIOD }).await;
        let (Some(leader), Some(mesh)) = (core.control.leader(), core.mesh()) else {
            continue;
        };
        let call = CallBody::Report(inventory(&core));
        // The next report replaces a lost one.
        let _lost = mesh.call(&leader, call, REPORT_TIMEOUT).await;
    }
}

fn inventory(core: &Handle) -> Inventory {
    let records = core.owners.records();
    let live = records.iter().filter(|r| !r.silent);
    Inventory {
        upstreams: live.map(|r| report(core, r)).collect(),
        demand: demand(core),
    }
}

fn report(core: &Handle, record: &Record) -> UpstreamReport {
    let last = &record.last;
    let shard = core.owners.shard(&last.service);
    UpstreamReport {
        upstream: last.upstream.clone(),
        boot: last.boot,
        service: last.service.clone(),
        zone: last.zone.clone(),
        price: last.price,
        capacity: last.capacity,
        inflight: shard.read(|queue| queue.inflight_at(&last.upstream)) as u32,
        version: last.version,
        leaving: record.leaving,
    }
}

/// Returns the demand by service: interactive requests that wait or run here, and samples that the
/// jobs coordinated here request.
fn demand(core: &Handle) -> Vec<DemandReport> {
    let mut rows: BTreeMap<ServiceId, DemandReport> = BTreeMap::new();
    let empty = |service: &ServiceId| DemandReport {
        service: service.clone(),
        interactive: 0,
        rollout: 0,
    };
    for (service, shard) in core.owners.shards() {
        let row = rows
            .entry(service.clone())
            .or_insert_with(|| empty(&service));
        row.interactive = shard.demand(Class::Interactive);
    }
    for (service, samples) in core.rollouts.requested_samples() {
        let row = rows
            .entry(service.clone())
            .or_insert_with(|| empty(&service));
        row.rollout += samples;
    }
    rows.into_values().collect()
}
