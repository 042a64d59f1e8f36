//! Measures what an idle daemon spends on control at several cell sizes and fits lines to it.

use std::time::Duration;

use async_std::task;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::cluster::Cluster;
use crate::cluster::ClusterConfig;
use crate::cluster::ControlRole;
use crate::cluster::IdleCost;
use crate::cluster::measure_idle;
use crate::fit::Line;
use crate::fit::Point;

const SIZES: [usize; 4] = [3, 9, 27, 54];
const ZONES: usize = 3;

/// Length of a usage window, in seconds; the daemon's default.
const WINDOW_S: u64 = 60;
const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASURE_TIME: Duration = Duration::from_secs(6);

/// Fitted lines of one role over the number of daemons in the cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleLines {
    /// Mesh payload bytes sent per second.
    pub control_bytes_per_s: Line,
    /// Processor time, as a share of one core.
    pub control_cpu_share: Line,
    /// Resident memory, in MiB.
    pub rss_mb: Line,
}

/// Fitted lines of all roles.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The control leader.
    pub leader: RoleLines,
    /// The control daemons that don't lead.
    pub follower: RoleLines,
    /// Daemons without a replica of the control state.
    pub plain: RoleLines,
}

#[derive(Debug, Clone, Copy)]
struct SizedCost {
    size: f64,
    cost: IdleCost,
}

/// Runs the scenario.
pub fn run(seed: u64) -> anyhow::Result<Value> {
    task::block_on(run_slope(seed))
}

async fn run_slope(_seed: u64) -> anyhow::Result<Value> {
    let mut all = Vec::new();
    let mut sizes = Vec::new();
    for daemons in SIZES {
        let config = ClusterConfig {
            daemons,
            zones: ZONES,
            window_s: WINDOW_S,
            ..ClusterConfig::default()
        };
        let cluster = Cluster::spawn(config).await?;
        task::sleep(SETTLE_TIME).await;
        let costs = measure_idle(&cluster, MEASURE_TIME).await?;
        sizes.push(summary(daemons, &costs));
        let size = daemons as f64;
        all.extend(costs.into_iter().map(|cost| SizedCost { size, cost }));
    }
    let slopes = Slopes {
        leader: lines(&all, ControlRole::Leader),
        follower: lines(&all, ControlRole::Follower),
        plain: lines(&all, ControlRole::Plain),
    };
    Ok(json!({
        "scenario": "slope",
        "kind": "processes",
        "control_bytes_per_s": slopes.plain.control_bytes_per_s.slope,
        "control_cpu_share": slopes.plain.control_cpu_share.slope,
        "rss_mb": slopes.plain.rss_mb.slope,
        "sizes": sizes,
        "slopes": slopes,
    }))
}

fn lines(all: &[SizedCost], role: ControlRole) -> RoleLines {
    let fit = |value: fn(&IdleCost) -> f64| {
        let chosen = all.iter().filter(|s| s.cost.role == role);
        let points: Vec<Point> = chosen
            .map(|s| Point {
                size: s.size,
                value: value(&s.cost),
            })
            .collect();
        Line::fit(&points)
    };
    RoleLines {
        control_bytes_per_s: fit(|c| c.bytes_s),
        control_cpu_share: fit(|c| c.cpu_share),
        rss_mb: fit(|c| c.rss_mb),
    }
}

/// Returns the mean and the maximum of each cost by role, for a cell of one size.
pub fn summary(daemons: usize, costs: &[IdleCost]) -> Value {
    let role_summary = |role: ControlRole| {
        let chosen: Vec<IdleCost> = costs.iter().filter(|c| c.role == role).copied().collect();
        json!({
            "daemons": chosen.len(),
            "control_bytes_per_s": mean_and_max(&chosen, |c| c.bytes_s),
            "control_cpu_share": mean_and_max(&chosen, |c| c.cpu_share),
            "rss_mb": mean_and_max(&chosen, |c| c.rss_mb),
        })
    };
    json!({
        "daemons": daemons,
        "leader": role_summary(ControlRole::Leader),
        "follower": role_summary(ControlRole::Follower),
        "plain": role_summary(ControlRole::Plain),
    })
}

fn mean_and_max(costs: &[IdleCost], value: fn(&IdleCost) -> f64) -> Value {
    let count = costs.len().max(1) as f64;
    let mean = costs.iter().map(value).sum::<f64>() / count;
    let largest = costs.iter().map(value).fold(0.0, f64::max);
    json!({ "mean": mean, "max": largest })
}
