//! Measures what the daemons of an idle cell spend on control.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use async_std::task;

use crate::cluster::daemons::Cluster;
use crate::cluster::gauges::Gauges;
use crate::cluster::http::Caller;
use crate::cluster::process::ProcessCost;

/// Role of a daemon in the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ControlRole {
    /// Leads the control group.
    Leader,
    /// Is a member of the control group that doesn't lead it.
    Follower,
    /// Holds no replica of the control state.
    Plain,
}

/// Resource use of one idle daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdleCost {
    /// Role at the end of the measurement.
    pub role: ControlRole,
    /// Mesh payload bytes sent per second.
    pub bytes_s: f64,
    /// Processor time, as a share of one core.
    pub cpu_share: f64,
    /// Resident memory at the end, in MiB.
    pub rss_mb: f64,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    gauges: Gauges,
    cost: ProcessCost,
}

/// Measures every daemon of an idle cell for `window`.
pub async fn measure_idle(cluster: &Cluster, window: Duration) -> anyhow::Result<Vec<IdleCost>> {
    let before = read_all(cluster).await?;
    task::sleep(window).await;
    let after = read_all(cluster).await?;
    let control_count = cluster.control();
    let pairs = before.iter().zip(&after).enumerate();
    let costs = pairs.map(|(index, (first, last))| {
        let role = match (last.gauges.leader_term > 0, index < control_count) {
            (true, _) => ControlRole::Leader,
            (false, true) => ControlRole::Follower,
            (false, false) => ControlRole::Plain,
        };
        let seconds = (last.at - first.at).as_secs_f64();
        let bytes = last.gauges.control_bytes - first.gauges.control_bytes;
        IdleCost {
            role,
            bytes_s: bytes as f64 / seconds,
            cpu_share: last.cost.cpu.saturating_sub(first.cost.cpu).as_secs_f64() / seconds,
            rss_mb: last.cost.rss_mb,
        }
    });
    Ok(costs.collect())
}

async fn read_all(cluster: &Cluster) -> anyhow::Result<Vec<Reading>> {
    let caller = Caller::new();
    let mut readings = Vec::new();
    for index in 0..cluster.len() {
        let pid = cluster.pid(index).context("a daemon is not running")?;
        readings.push(Reading {
            at: Instant::now(),
            gauges: Gauges::read(&caller, cluster.http(index)).await?,
            cost: ProcessCost::read(pid)?,
        });
    }
    Ok(readings)
}
