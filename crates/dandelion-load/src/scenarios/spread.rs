//! Measures the time until a change is in force on every daemon, for cells of several sizes.

use std::time::Duration;
use std::time::Instant;

use async_std::task;
use dandelion_rpc::generated as rpc;
use futures::future::join_all;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Caller;
use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::Gauges;
use crate::cluster::measure_idle;
use crate::scenarios::slope;

const SIZES: [usize; 3] = [3, 9, 27];
const ZONES: usize = 3;

/// Length of a usage window, in seconds; the daemon's default.
const WINDOW_S: u64 = 60;
const CHANGES: usize = 40;
const MEASURE_TIME: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const REACH_TIMEOUT: Duration = Duration::from_secs(10);
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_spread(seed))
}

async fn run_spread(_seed: u64) -> anyhow::Result<Value> {
    let mut sizes = Vec::new();
    let mut largest = 0.0_f64;
    let mut missed = 0;
    for daemons in SIZES {
        let config = ClusterConfig {
            daemons,
            zones: ZONES,
            window_s: WINDOW_S,
            ..ClusterConfig::default()
        };
        let cluster = Cluster::spawn(config).await?;
        let times = time_changes(&cluster).await?;
        missed += CHANGES - times.len();
        let costs = measure_idle(&cluster, MEASURE_TIME).await?;
        let longest = times.last().copied().unwrap_or_default();
        largest = largest.max(longest);
        sizes.push(json!({
            "in_force_s_p50": times.get(times.len() / 2),
            "in_force_s_max": longest,
            "idle": slope::summary(daemons, &costs),
        }));
    }
    Ok(json!({
        "scenario": "spread",
        "kind": "processes",
        "in_force_s_max": largest,
        "not_in_force": missed,
        "sizes": sizes,
    }))
}

/// Makes changes one after the other and returns the seconds until each reached every daemon,
/// sorted. Changes that did not reach all daemons in time are omitted.
async fn time_changes(cluster: &Cluster) -> anyhow::Result<Vec<f64>> {
    let operator = cluster.operator();
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let request = rpc::PutTeamRequest {
            change: operator.change(),
            team: Some(rpc::Team {
                id: format!("team-{number}"),
                weight: 1,
                max_inflight: None,
                token_rate: None,
            }),
        };
        let since = Instant::now();
        let answer = operator.client().put_team(&request).await?;
        let daemons = cluster.addresses();
        let reached = daemons.iter().map(|d| wait_revision(*d, answer.revision));
        if join_all(reached).await.into_iter().all(|reached| reached) {
            times.push(since.elapsed().as_secs_f64());
        }
        task::sleep(CHANGE_INTERVAL).await;
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

/// Waits until a daemon holds `revision`; returns `false` on timeout.
async fn wait_revision(daemon: std::net::SocketAddr, revision: u64) -> bool {
    let caller = Caller::new().with_timeout(REACH_TIMEOUT);
    let until = Instant::now() + REACH_TIMEOUT;
    while Instant::now() < until {
        let gauges = Gauges::read(&caller, daemon).await;
        if gauges.is_ok_and(|g| g.revision >= revision) {
            return true;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    false
}
