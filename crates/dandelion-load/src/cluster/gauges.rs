//! Values from a daemon's `/metrics`.

use std::net::SocketAddr;

use anyhow::Context;

use crate::cluster::http::Caller;

/// Values read from a daemon's metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Term in which the daemon leads the control group; 0 if it doesn't.
    pub leader_term: u64,
    /// Revision of the replicated state that the daemon holds.
    pub revision: u64,
    /// Whether the daemon serves keyed routes.
    pub leased: bool,
    /// Number of daemons in its membership view.
    pub members: u64,
    /// Mesh payload bytes sent for control since the daemon's start: all families except `serve`,
    /// which carries callers' requests and answers.
    pub control_bytes: u64,
}

impl Gauges {
    /// Fetches and parses a daemon's metrics.
    pub async fn read(caller: &Caller, daemon: SocketAddr) -> anyhow::Result<Self> {
        let answer = caller.get(daemon, "/metrics").await;
        let answer = answer.context("the metrics request failed")?;
        Ok(Self::parse(&answer.text()))
    }

    /// Parses the Prometheus text format; absent metrics stay 0.
    pub fn parse(text: &str) -> Self {
        let mut gauges = Self::default();
        for line in text.lines() {
            if let Some((name, value)) = line.rsplit_once(' ') {
                gauges.record(name, value.parse().unwrap_or(0.0));
            }
        }
        gauges
    }

    fn record(&mut self, name: &str, value: f64) {
        let count = value as u64;
        match name {
            "dandelion_charge_term" => self.leader_term = count,
            "dandelion_revision" => self.revision = count,
            "dandelion_leased" => self.leased = count == 1,
            "dandelion_members" => self.members = count,
            _ if name.starts_with("dandelion_mesh_sent_bytes_total{")
                && !name.contains("\"serve\"") =>
            {
                self.control_bytes += count;
            }
            _ => (),
        }
    }
}
