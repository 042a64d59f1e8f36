//! What a daemon says of itself by `/metrics`.

use std::net::SocketAddr;

use anyhow::Context;

use crate::cluster::http::Caller;

/// Figures read from a daemon's metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Term under which the daemon is in charge; 0 if it is not.
    pub charge: u64,
    /// Revision held.
    pub revision: u64,
    /// Whether keyed routes are served.
    pub leased: bool,
    /// Daemons known.
    pub members: u64,
    /// Mesh payload bytes sent for control: every family but the callers' requests and answers.
    pub control_bytes: u64,
}

impl Gauges {
    /// Reads them from a daemon.
    pub async fn read(caller: &Caller, daemon: SocketAddr) -> anyhow::Result<Self> {
        let answer = caller.get(daemon, "/metrics").await;
        let answer = answer.context("no metrics were answered")?;
        Ok(Self::parse(&answer.text()))
    }

    /// Reads them from the text form of Prometheus.
    pub fn parse(text: &str) -> Self {
        let mut gauges = Self::default();
        for line in text.lines() {
            if let Some((name, value)) = line.rsplit_once(' ') {
                gauges.take(name, value.parse().unwrap_or(0.0));
            }
        }
        gauges
    }

    fn take(&mut self, name: &str, value: f64) {
        let count = value as u64;
        match name {
            "dandelion_charge_term" => self.charge = count,
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
