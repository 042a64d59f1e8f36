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
