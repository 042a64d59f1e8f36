//! Probes the other stores after one has joined, and finds those that are lost.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_batch::StoreHealth;
use dandelion_batch::store_health::HealthChange;
use dandelion_batch::store_health::PROBE_PERIOD;
use dandelion_net::clock;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::mesh::CallBody;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use futures::future::join_all;

use crate::core::Handle;
use crate::stores::group::has_group;

/// Interval at which the cell's replicated state is checked for changes of the stores.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Keeps the belief which stores are lost up to date, until the process ends.
pub async fn run_health(core: Handle) {
    let period = Duration::from_millis(PROBE_PERIOD.0);
    let is_new = !has_group(&core) && !core.settings.gateway.first_start;
    *core.stores.health() = StoreHealth::open(is_new);
    loop {
        let round = Instant::now();
        update_members(&core);
        let probed = core.stores.health().to_probe(clock::boot_now());
        if probed.is_empty() {
            task::sleep(POLL_PERIOD).await;
            continue;
        }
        let answers = join_all(probed.iter().map(|store| probe(&core, store, period))).await;
        let answered: Vec<DaemonId> = answers.into_iter().flatten().collect();
        let changes = core.stores.health().record(&probed, &answered);
        log_changes(changes);
        task::sleep(period.saturating_sub(round.elapsed())).await;
    }
}

fn update_members(core: &Handle) {
    let view = core.control.view();
    let stores = view.members.iter().filter(|m| m.role == Role::Store);
    let others = stores.filter(|m| m.id != core.identity.daemon);
    let changes = core.stores.health().update(others, clock::boot_now());
    log_changes(changes);
}

/// Returns the store if it answered in time.
async fn probe(core: &Handle, store: &DaemonId, limit: Duration) -> Option<DaemonId> {
    let answer = core.mesh()?.call(store, CallBody::Probe, limit).await;
    answer.is_ok().then(|| store.clone())
}

fn log_changes(changes: Vec<HealthChange>) {
    for change in changes {
        match change {
            HealthChange::Lost(store) => event!(Event::StoreLost, daemon = store),
            HealthChange::Returned(store) => event!(Event::StoreReturned, daemon = store),
        }
    }
}
