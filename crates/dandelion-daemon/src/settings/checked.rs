//! The validated settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::time::Millis;
use dandelion_rpc::secret::Secret;
use dandelion_telemetry::logging;

use crate::settings::peer::Peer;

/// Settings of a daemon after the check; every value is usable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedSettings {
    /// Name of the daemon, unique in its cell.
    pub name: DaemonId,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
    /// Number of the control cell.
    pub cell: CellId,
    /// Addresses on which it listens.
    pub listen: ListenSettings,
    /// Secrets shared with other daemons, operators and upstreams.
    pub secrets: SecretSettings,
    /// Replicated state and lease.
    pub control: ControlSettings,
    /// Traffic under the route plan, and batch jobs.
    pub gateway: GatewaySettings,
    /// Platform and usage windows.
    pub platform: PlatformSettings,
    /// Sizes, counts and timeouts.
    pub limits: LimitSettings,
    /// Level, format and folder of the log.
    pub log: LogSettings,
}

/// Addresses on which the daemon listens; port 0 takes a free one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenSettings {
    /// Address for callers, trainers, upstreams and operators.
    pub http: SocketAddr,
    /// Address for other daemons.
    pub mesh: SocketAddr,
    /// Address under which other daemons reach this one; port 0 stands for the bound port.
    pub mesh_address: SocketAddr,
}

/// Secrets of at least 32 bytes each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SecretSettings {
    /// Secrets between daemons, never empty: the first is presented, the first two are accepted.
    pub mesh: Vec<Secret>,
    /// Token that operators must present; none refuses them all.
    pub operator: Option<Secret>,
    /// Secret that upstreams must present in announcements; none accepts them all.
    pub announce: Option<Secret>,
}

/// Replicated state and lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlSettings {
    /// Data folder of a control daemon; none on other daemons.
    pub folder: Option<PathBuf>,
    /// Voters of a new cell, this daemon among them; empty unless it may bootstrap one.
    pub bootstrap: Vec<Peer>,
    /// Control daemons other than this one: the listed peers and seeds, then the other voters.
    pub peers: Vec<Peer>,
    /// Interval between renewals of the lease.
    pub feed_period: Millis,
}

/// Traffic under the route plan, and batch jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewaySettings {
    /// Address for callers of the route plan, if they are served here.
    pub front: Option<SocketAddr>,
    /// Address for the load balancer's probes, if any.
    pub ready: Option<SocketAddr>,
    /// Address for operators, upstreams and trainers, if they are served here.
    pub control: Option<SocketAddr>,
    /// Folder of the stored batch jobs; none unless this is a store daemon.
    pub folder: Option<PathBuf>,
    /// Whether the cell starts for the first time.
    pub first_start: bool,
    /// Number of VMs with a disk that may be lost at the same time.
    pub tolerate: usize,
    /// Name by which operators refer to the VM; may be empty.
    pub vm_name: String,
}

impl GatewaySettings {
    /// Returns whether the gateway runs here: an address for callers or for operators, or a store
    /// folder, is set.
    pub fn is_used(&self) -> bool {
        self.front.is_some() || self.control.is_some() || self.folder.is_some()
    }

    /// Returns the number of voters of a group that survives the loss of `tolerate` VMs.
    pub fn voters(&self) -> usize {
        2 * self.tolerate + 1
    }
}

/// Platform and usage windows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Address of the platform; none orders no upstreams and reports no usage.
    pub address: Option<SocketAddr>,
    /// Length of a usage window; equal on all daemons of a cell.
    pub window: Millis,
    /// Shortest time between acts of one leader if another one may have acted in between.
    pub holder_gap: Millis,
}

/// Sizes, counts and timeouts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Maximum number of concurrent connections from one IP number; 0 means no limit.
    pub peer_connections: usize,
    /// Bytes that clients may make the process hold; a part of the machine's memory if `None`.
    pub client_memory: Option<usize>,
    /// Minimum rate of a request body, in bytes per second.
    pub body_rate: u64,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a caller may take to send a head.
    pub head_timeout: Millis,
    /// Longest time that a caller's connection may be idle.
    pub idle_timeout: Millis,
    /// Time from failing the health probe until connections are drained when stopping.
    pub balancer_grace: Millis,
    /// Longest wait for running requests when stopping.
    pub stop_timeout: Millis,
    /// Time from the stop signal until the process is killed; none if it is not known.
    pub stop_grace: Option<Millis>,
    /// Number of teams with metrics of their own.
    pub metric_teams: usize,
}

/// Level, format and folder of the log.
pub type LogSettings = logging::LogSettings;
