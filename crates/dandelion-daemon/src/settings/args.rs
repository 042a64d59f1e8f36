//! The settings as given by flags and environment variables, unchecked.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use dandelion_rpc::secret::Secret;

/// Daemon of dandelionrun: accepts requests from callers, trainers and operators, owns upstreams of
/// its zone and, with a data folder, holds the replicated state.
#[derive(Debug, Clone, Parser)]
#[command(
    name = "dandelionrun",
    version,
    after_help = "Every setting is a flag and an environment variable; the flag goes first. A \
                  setting that cannot be used ends the process with status 2 and a message that \
                  names the setting, its value and the remedy."
)]
pub struct Settings {
    /// Name, zone and cell of the daemon.
    #[command(flatten)]
    pub identity: IdentityArgs,
    /// Addresses on which it listens.
    #[command(flatten)]
    pub listen: ListenArgs,
    /// Secrets shared with other daemons, operators and upstreams.
    #[command(flatten)]
    pub secrets: SecretArgs,
    /// Replicated state and lease.
    #[command(flatten)]
    pub control: ControlArgs,
    /// Traffic under the route plan, and batch jobs.
    #[command(flatten)]
    pub gateway: GatewayArgs,
    /// Platform and usage windows.
    #[command(flatten)]
    pub platform: PlatformArgs,
    /// Sizes, counts and timeouts.
    #[command(flatten)]
    pub limits: LimitArgs,
    /// Level, format and folder of the log.
    #[command(flatten)]
    pub log: LogArgs,
}

/// Name, zone and cell of the daemon.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Identity")]
pub struct IdentityArgs {
    /// Name of the daemon, unique in its cell
    #[arg(long, env = "DANDELION_NAME", value_name = "NAME")]
    pub name: Option<String>,
    /// Availability zone of the daemon
    #[arg(long, env = "DANDELION_ZONE", value_name = "ZONE")]
    pub zone: Option<String>,
    /// Number of the control cell
    #[arg(
        long,
        env = "DANDELION_CELL",
        value_name = "NUMBER",
        default_value = "0"
    )]
    pub cell: String,
}

/// Addresses on which the daemon listens.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Addresses")]
pub struct ListenArgs {
    /// Address for callers, trainers, upstreams and operators
    #[arg(
        long,
        env = "DANDELION_HTTP_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7080"
    )]
    pub http_listen: String,
    /// Address for other daemons
    #[arg(
        long,
        env = "DANDELION_MESH_LISTEN",
        value_name = "IP:PORT",
        default_value = "127.0.0.1:7081"
    )]
    pub mesh_listen: String,
    /// Address under which other daemons reach this one; the mesh listen address if absent
    #[arg(long, env = "DANDELION_MESH_ADDRESS", value_name = "IP:PORT")]
    pub mesh_address: Option<String>,
}

/// Secrets shared with other daemons, operators and upstreams.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Secrets")]
pub struct SecretArgs {
    /// Secrets with which daemons authenticate each other: the first is presented, the first two
    /// are accepted
    #[arg(
        long,
        env = "DANDELION_MESH_SECRETS",
        value_name = "SECRET",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub mesh_secrets: Vec<Secret>,
    /// File with the secrets of the daemons, one per line
    #[arg(long, env = "DANDELION_MESH_SECRETS_FILE", value_name = "PATH")]
    pub mesh_secrets_file: Option<PathBuf>,
    /// Token that operators must present; without one, operators are refused
    #[arg(
        long,
        env = "DANDELION_OPERATOR_TOKEN",
        value_name = "TOKEN",
        hide_env_values = true
    )]
    pub operator_token: Option<Secret>,
    /// File with the token that operators must present
    #[arg(long, env = "DANDELION_OPERATOR_TOKEN_FILE", value_name = "PATH")]
    pub operator_token_file: Option<PathBuf>,
    /// Secret that upstreams must present when they announce themselves; without one, any may
    #[arg(
        long,
        env = "DANDELION_ANNOUNCE_SECRET",
        value_name = "SECRET",
        hide_env_values = true
    )]
    pub announce_secret: Option<Secret>,
    /// File with the secret that upstreams must present
    #[arg(long, env = "DANDELION_ANNOUNCE_SECRET_FILE", value_name = "PATH")]
    pub announce_secret_file: Option<PathBuf>,
}

/// Replicated state and lease.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Control")]
pub struct ControlArgs {
    /// Folder of the replicated state; makes this a control daemon
    #[arg(long, env = "DANDELION_DATA_FOLDER", value_name = "PATH")]
    pub data_folder: Option<PathBuf>,
    /// Voters of a new cell, this daemon among them; used only while the data folder is empty
    #[arg(
        long,
        env = "DANDELION_BOOTSTRAP",
        value_name = "NAME@IP:PORT",
        value_delimiter = ','
    )]
    pub bootstrap: Vec<String>,
    /// Control daemons with which the lease is renewed, those of the own zone first
    #[arg(
        long,
        env = "DANDELION_CONTROL_PEERS",
        value_name = "NAME@IP:PORT",
        value_delimiter = ','
    )]
    pub control_peers: Vec<String>,
    /// Interval between renewals of the lease, in milliseconds
    #[arg(
        long,
        env = "DANDELION_FEED_PERIOD_MS",
        value_name = "MS",
        default_value = "500"
    )]
    pub feed_period_ms: String,
}

/// Traffic under the route plan, and batch jobs.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Gateway")]
pub struct GatewayArgs {
    /// Address for callers of the route plan
    #[arg(long, env = "DANDELION_FRONT_LISTEN", value_name = "IP:PORT")]
    pub front_listen: Option<String>,
    /// Address for the balancer's probes
    #[arg(long, env = "DANDELION_READY_LISTEN", value_name = "IP:PORT")]
    pub ready_listen: Option<String>,
    /// Address for operators of the route plan, reports of upstreams, and trainers
    #[arg(long, env = "DANDELION_CONTROL_LISTEN", value_name = "IP:PORT")]
    pub control_listen: Option<String>,
    /// Folder of the stored batch jobs; makes this a store daemon
    #[arg(long, env = "DANDELION_STORE_FOLDER", value_name = "PATH")]
    pub store_folder: Option<PathBuf>,
    /// Control listen addresses of some control daemons; each is named by its IP number and has
    /// this daemon's mesh port
    #[arg(
        long,
        env = "DANDELION_SEEDS",
        value_name = "IP:PORT",
        value_delimiter = ','
    )]
    pub seeds: Vec<String>,
    /// Whether the whole cell starts for the first time; the seeds then bootstrap it
    #[arg(
        long,
        env = "DANDELION_FIRST_START",
        value_name = "BOOL",
        default_value = "false"
    )]
    pub first_start: String,
    /// Number of VMs with a disk that may be lost at the same time
    #[arg(
        long,
        env = "DANDELION_TOLERATE_VMS",
        value_name = "COUNT",
        default_value = "1"
    )]
    pub tolerate_vms: String,
    /// Name by which operators refer to the VM
    #[arg(
        long,
        env = "DANDELION_VM_NAME",
        value_name = "NAME",
        default_value = ""
    )]
    pub vm_name: String,
}

/// Platform and usage windows.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Platform")]
pub struct PlatformArgs {
    /// Address of the platform; without one, no upstream is ordered and no usage is reported
    #[arg(long, env = "DANDELION_PLATFORM", value_name = "IP:PORT")]
    pub platform: Option<String>,
    /// Length of a usage window, in seconds; the same on every daemon of a cell
    #[arg(
        long,
        env = "DANDELION_USAGE_WINDOW_S",
        value_name = "S",
        default_value = "60"
    )]
    pub usage_window_s: String,
    /// Shortest time between two acts of one leader towards the platform or an engine if another
    /// leader may have acted in between, in milliseconds
    #[arg(
        long,
        env = "DANDELION_HOLDER_GAP_MS",
        value_name = "MS",
        default_value = "3000"
    )]
    pub holder_gap_ms: String,
}

/// Sizes, counts and timeouts.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Limits")]
pub struct LimitArgs {
    /// Maximum number of concurrent connections of callers
    #[arg(
        long,
        env = "DANDELION_MAX_CONNECTIONS",
        value_name = "COUNT",
        default_value = "4096"
    )]
    pub max_connections: String,
    /// Maximum number of concurrent connections from one IP number; 0 means no limit, because a load
    /// balancer's address may stand for all callers
    #[arg(
        long,
        env = "DANDELION_MAX_PEER_CONNECTIONS",
        value_name = "COUNT",
        default_value = "0"
    )]
    pub max_peer_connections: String,
    /// Memory that clients may make the process hold, in bytes, at least twice the largest body; a
    /// quarter of the machine's memory if absent
    #[arg(long, env = "DANDELION_CLIENT_MEMORY_BYTES", value_name = "BYTES")]
    pub client_memory_bytes: Option<String>,
    /// Minimum rate of a request body over 10 s, in bytes per second, while half of the client memory
    /// or of the connections is used
    #[arg(
        long,
        env = "DANDELION_MIN_BODY_RATE",
        value_name = "BYTES",
        default_value = "1024"
    )]
    pub min_body_rate: String,
    /// Maximum size of a request head, in bytes
    #[arg(
        long,
        env = "DANDELION_MAX_HEAD_BYTES",
        value_name = "BYTES",
        default_value = "16384"
    )]
    pub max_head_bytes: String,
    /// Maximum size of a request body, in bytes
    #[arg(
        long,
        env = "DANDELION_MAX_BODY_BYTES",
        value_name = "BYTES",
        default_value = "4194304"
    )]
    pub max_body_bytes: String,
    /// Longest time that a caller may take to send a head, in milliseconds
    #[arg(
        long,
        env = "DANDELION_HEAD_TIMEOUT_MS",
        value_name = "MS",
        default_value = "10000"
    )]
    pub head_timeout_ms: String,
    /// Longest time that a caller's connection may be idle, in milliseconds
    #[arg(
        long,
        env = "DANDELION_IDLE_TIMEOUT_MS",
        value_name = "MS",
        default_value = "60000"
    )]
    pub idle_timeout_ms: String,
    /// Time from failing the health probe until connections are drained when stopping, in
    /// milliseconds
    #[arg(
        long,
        env = "DANDELION_BALANCER_GRACE_MS",
        value_name = "MS",
        default_value = "5000"
    )]
    pub balancer_grace_ms: String,
    /// Longest wait for running requests when stopping, in milliseconds
    #[arg(
        long,
        env = "DANDELION_STOP_TIMEOUT_MS",
        value_name = "MS",
        default_value = "600000"
    )]
    pub stop_timeout_ms: String,
    /// Time from the stop signal until the process is killed, in seconds, of which an eighth is kept
    /// for the last reports; replaces the stop timeout. Without it the two times above hold
    #[arg(long, env = "DANDELION_STOP_GRACE_S", value_name = "S")]
    pub stop_grace_s: Option<String>,
    /// Number of teams with metrics of their own; further teams are counted as `other`
    #[arg(
        long,
        env = "DANDELION_METRIC_TEAMS",
        value_name = "COUNT",
        default_value = "64"
    )]
    pub metric_teams: String,
}

/// Level, format and folder of the log.
#[derive(Debug, Clone, Args)]
#[command(next_help_heading = "Logs")]
pub struct LogArgs {
    /// Minimum level of events: error, warn, info, debug or trace
    #[arg(
        long,
        env = "DANDELION_LOG_LEVEL",
        value_name = "LEVEL",
        default_value = "info"
    )]
    pub log_level: String,
    /// Format of events: text or json
    #[arg(
        long,
        env = "DANDELION_LOG_FORMAT",
        value_name = "FORM",
        default_value = "text"
    )]
    pub log_format: String,
    /// Folder of log files; without one, events go to standard output
    #[arg(long, env = "DANDELION_LOG_FOLDER", value_name = "PATH")]
    pub log_folder: Option<PathBuf>,
}
