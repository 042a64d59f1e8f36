//! What an idle daemon spends on control at several sizes of the cell, and the fitted slopes.

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

/// Length of a usage window, in seconds, as installed by default.
const WINDOW_S: u64 = 60;
const SETTLED: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(6);

/// Lines of one role over the number of daemons.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct RoleLines {
    /// Mesh payload bytes sent in a second.
    pub control_bytes_per_s: Line,
    /// Share of one core.
    pub control_cpu_share: Line,
    /// Resident memory, in MiB.
    pub rss_mb: Line,
}

/// Lines of every role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Slopes {
    /// The control leader.
    pub leader: RoleLines,
    /// The other control daemons.
    pub follower: RoleLines,
    /// Daemons without a replica.
    pub plain: RoleLines,
}

#[derive(Debug, Clone, Copy)]
struct Sized {
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
        task::sleep(SETTLED).await;
        let costs = measure_idle(&cluster, WINDOW).await?;
        sizes.push(summary(daemons, &costs));
        let size = daemons as f64;
        all.extend(costs.into_iter().map(|cost| Sized { size, cost }));
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

fn lines(all: &[Sized], role: ControlRole) -> RoleLines {
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

/// Describes a cell of one size: mean and largest by role.
pub fn summary(daemons: usize, costs: &[IdleCost]) -> Value {
    let of = |role: ControlRole| {
        let chosen: Vec<IdleCost> = costs.iter().filter(|c| c.role == role).copied().collect();
        json!({
            "daemons": chosen.len(),
            "control_bytes_per_s": spread_of(&chosen, |c| c.bytes_s),
            "control_cpu_share": spread_of(&chosen, |c| c.cpu_share),
            "rss_mb": spread_of(&chosen, |c| c.rss_mb),
        })
    };
    json!({
        "daemons": daemons,
        "leader": of(ControlRole::Leader),
        "follower": of(ControlRole::Follower),
        "plain": of(ControlRole::Plain),
    })
}

fn spread_of(costs: &[IdleCost], value: fn(&IdleCost) -> f64) -> Value {
    let count = costs.len().max(1) as f64;
    let mean = costs.iter().map(value).sum::<f64>() / count;
    let largest = costs.iter().map(value).fold(0.0, f64::max);
    json!({ "mean": mean, "max": largest })
}
