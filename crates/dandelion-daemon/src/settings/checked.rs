//! The settings after the check, typed.

use std::net::SocketAddr;
use std::path::PathBuf;

use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_rpc::secret::Secret;
use dandelion_telemetry::logging;

use crate::settings::peer::Peer;

/// Settings that can be used as they are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Checked {
    /// Name of the daemon.
    pub name: DaemonId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Control cell.
    pub cell: CellId,
    /// Addresses.
    pub listen: ListenSettings,
    /// Secrets.
    pub secrets: SecretSettings,
    /// Replicated state.
    pub control: ControlSettings,
    /// Routes by plan, and batch jobs.
    pub gateway: GatewaySettings,
    /// Platform and usage.
    pub platform: PlatformSettings,
    /// Limits.
    pub limits: LimitSettings,
    /// Logs.
    pub log: LogSettings,
}

/// Addresses of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// For callers, trainers, upstreams and operators.
    pub http: SocketAddr,
    /// For other daemons.
    pub mesh: SocketAddr,
    /// Under which other daemons reach this one; port 0 stands for the bound port.
    pub mesh_address: SocketAddr,
}

/// Secrets of the daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecretSettings {
    /// Between daemons; never empty, the first is shown, all are accepted.
    pub mesh: Vec<Secret>,
    /// Of operators.
    pub operator: Option<Secret>,
    /// Of upstreams that announce themselves.
    pub announce: Option<Secret>,
}

/// Replicated state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Data folder of a control daemon.
    pub folder: Option<PathBuf>,
    /// Voters of a new cell.
    pub bootstrap: Vec<Peer>,
    /// Control daemons other than this one, from both lists, in the order given.
    pub peers: Vec<Peer>,
    /// Time between renewals of the lease.
    pub feed_period: Millis,
}

/// Routes by plan, and batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// For callers of the route plan.
    pub front: Option<SocketAddr>,
    /// For the balancer's probes.
    pub ready: Option<SocketAddr>,
    /// For operators, upstreams and trainers.
    pub control: Option<SocketAddr>,
    /// Folder of the stored batch jobs.
    pub folder: Option<PathBuf>,
    /// Whether the cell starts for the first time.
    pub first_start: bool,
    /// VMs with a disk that may be lost at once.
    pub tolerate: usize,
    /// Name of the VM.
    pub vm_name: String,
}

impl GatewaySettings {
    /// Returns whether any part of the gateway runs here.
    pub fn is_used(&self) -> bool {
        self.front.is_some() || self.control.is_some() || self.folder.is_some()
    }

    /// Voters of a group that outlives the loss of as many disks as are tolerated.
    pub fn voters(&self) -> usize {
        2 * self.tolerate + 1
    }
}

/// Platform and usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform.
    pub address: Option<SocketAddr>,
    /// Length of a usage window.
    pub window: Millis,
}

/// Limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Connections of callers at once.
    pub connections: usize,
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Millis,
    /// Longest idle time of a connection.
    pub idle_timeout: Millis,
    /// Time between failing health and refusing connections.
    pub balancer_grace: Millis,
    /// Longest wait for running requests when stopping.
    pub stop_timeout: Millis,
    /// Teams with metrics of their own.
    pub metric_teams: usize,
}

/// Logs.
pub type LogSettings = logging::LogSettings;
