//! Validates the settings and converts them to their types.

use std::net::SocketAddr;
use std::path::Path;

use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::time::Millis;
use dandelion_rpc::secret::Secret;
use dandelion_telemetry::logging::LogFormat;
use dandelion_telemetry::logging::LogSettings;

use crate::settings::args::ControlArgs;
use crate::settings::args::GatewayArgs;
use crate::settings::args::LimitArgs;
use crate::settings::args::ListenArgs;
use crate::settings::args::LogArgs;
use crate::settings::args::PlatformArgs;
use crate::settings::args::SecretArgs;
use crate::settings::args::Settings;
use crate::settings::checked::CheckedSettings;
use crate::settings::checked::ControlSettings;
use crate::settings::checked::GatewaySettings;
use crate::settings::checked::LimitSettings;
use crate::settings::checked::ListenSettings;
use crate::settings::checked::PlatformSettings;
use crate::settings::checked::SecretSettings;
use crate::settings::error::SettingsError;
use crate::settings::peer::Peer;
use crate::settings::read;
use crate::settings::secret::SecretSource;

const DAY_MS: u64 = 24 * 60 * 60 * 1000;
const GIBIBYTE: u64 = 1 << 30;

impl Settings {
    /// Checks every setting and returns the error of the first that cannot be used.
    pub fn check(&self) -> Result<CheckedSettings, SettingsError> {
        let name: DaemonId = read::read_name("--name", self.identity.name.as_deref())?;
        let zone = read::read_name("--zone", self.identity.zone.as_deref())?;
        let cell = read::read_number("--cell", &self.identity.cell, 0..=u64::from(u16::MAX))?;
        let listen = check_listen(&self.listen)?;
        Ok(CheckedSettings {
            zone,
            cell: CellId(cell as u16),
            listen,
            secrets: check_secrets(&self.secrets)?,
            control: check_control(self, &name, listen.mesh_address)?,
            gateway: check_gateway(&self.gateway)?,
            platform: check_platform(&self.platform)?,
            limits: check_limits(&self.limits)?,
            log: check_log(&self.log)?,
            name,
        })
    }
}

fn check_listen(args: &ListenArgs) -> Result<ListenSettings, SettingsError> {
    let http = read::read_address("--http-listen", &args.http_listen)?;
    let mesh = read::read_address("--mesh-listen", &args.mesh_listen)?;
    if http == mesh && http.port() != 0 {
        return Err(SettingsError::Clash {
            setting: "--mesh-listen",
            value: args.mesh_listen.clone(),
            other: "--http-listen",
            remedy: "give each its own port",
        });
    }
    let mesh_address = match &args.mesh_address {
        Some(text) => read::read_address("--mesh-address", text)?,
        None => mesh,
    };
    if mesh_address.ip().is_unspecified() {
        return Err(SettingsError::invalid(
            "--mesh-address",
            &mesh_address.to_string(),
            "no other daemon can reach this address",
            "set the IP number under which others reach this daemon",
        ));
    }
    Ok(ListenSettings {
        http,
        mesh,
        mesh_address,
    })
}

fn check_secrets(args: &SecretArgs) -> Result<SecretSettings, SettingsError> {
    let mesh = SecretSource {
        setting: "--mesh-secrets",
        values: &args.mesh_secrets,
        file_setting: "--mesh-secrets-file",
        file: args.mesh_secrets_file.as_deref(),
    };
    let mesh = mesh.read()?;
    if mesh.is_empty() {
        return Err(SettingsError::Missing {
            setting: "--mesh-secrets",
            remedy: "give the daemons of a cell one random secret of 32 bytes or more, best by \
                     --mesh-secrets-file",
        });
    }
    Ok(SecretSettings {
        mesh,
        operator: read_secret(
            ("--operator-token", args.operator_token.as_ref()),
            ("--operator-token-file", args.operator_token_file.as_deref()),
        )?,
        announce: read_secret(
            ("--announce-secret", args.announce_secret.as_ref()),
            (
                "--announce-secret-file",
                args.announce_secret_file.as_deref(),
            ),
        )?,
    })
}

fn read_secret(
    (setting, value): (&'static str, Option<&Secret>),
    (file_setting, file): (&'static str, Option<&Path>),
) -> Result<Option<Secret>, SettingsError> {
    let source = SecretSource {
        setting,
        values: value.map_or(&[], std::slice::from_ref),
        file_setting,
        file,
    };
    source.read_one()
}

fn check_control(
    settings: &Settings,
    name: &DaemonId,
    own: SocketAddr,
) -> Result<ControlSettings, SettingsError> {
    let args = &settings.control;
    let mut bootstrap = read::read_peers("--bootstrap", &args.bootstrap)?;
    let mut listed = read::read_peers("--control-peers", &args.control_peers)?;
    let seeds = check_seeds(&settings.gateway, own)?;
    let bootstraps = check_first_start(&settings.gateway)? && args.data_folder.is_some();
    if bootstraps && seeds.iter().any(|seed| seed.id == *name) {
        bootstrap.extend(seeds);
    } else {
        listed.extend(seeds);
    }
    check_folder("--data-folder", args.data_folder.as_deref())?;
    check_bootstrap(args, &bootstrap, name, own)?;
    let peers = other_peers(&bootstrap, &listed, name);
    if peers.is_empty() && bootstrap.is_empty() {
        return Err(SettingsError::Missing {
            setting: "--control-peers",
            remedy: "list the control daemons of the cell as name@ip:port, or start a new cell \
                     with --data-folder and --bootstrap",
        });
    }
    Ok(ControlSettings {
        folder: args.data_folder.clone(),
        bootstrap,
        peers,
        feed_period: read::read_millis("--feed-period-ms", &args.feed_period_ms, 50..=10_000)?,
    })
}

/// Returns the seeds as peers, each named by its IP number and with this daemon's mesh port.
fn check_seeds(args: &GatewayArgs, own: SocketAddr) -> Result<Vec<Peer>, SettingsError> {
    let seeds = args.seeds.iter().filter(|text| !text.is_empty());
    let addresses = seeds.map(|text| read::read_address("--seeds", text));
    let peer = |address: SocketAddr| {
        let ip = address.ip();
        let id = read::read_name("--seeds", Some(&ip.to_string()))?;
        let address = SocketAddr::new(ip, own.port());
        Ok(Peer { id, address })
    };
    addresses.map(|address| peer(address?)).collect()
}

fn check_first_start(args: &GatewayArgs) -> Result<bool, SettingsError> {
    args.first_start.parse().map_err(|_error| {
        SettingsError::invalid(
            "--first-start",
            &args.first_start,
            "it is neither true nor false",
            "use true only while every data folder of the cell is empty",
        )
    })
}

fn check_gateway(args: &GatewayArgs) -> Result<GatewaySettings, SettingsError> {
    let address = |setting, text: &Option<String>| {
        let text = text.as_deref().filter(|text| !text.is_empty());
        text.map(|text| read::read_address(setting, text))
            .transpose()
    };
    let tolerate = read::read_number("--tolerate-vms", &args.tolerate_vms, 0..=8)?;
    check_folder("--store-folder", args.store_folder.as_deref())?;
    Ok(GatewaySettings {
        front: address("--front-listen", &args.front_listen)?,
        ready: address("--ready-listen", &args.ready_listen)?,
        control: address("--control-listen", &args.control_listen)?,
        folder: args.store_folder.clone(),
        first_start: check_first_start(args)?,
        tolerate: tolerate as usize,
        vm_name: args.vm_name.clone(),
    })
}

fn check_folder(setting: &'static str, folder: Option<&Path>) -> Result<(), SettingsError> {
    let Some(folder) = folder else {
        return Ok(());
    };
    if folder.is_dir() {
        return Ok(());
    }
    Err(SettingsError::invalid(
        setting,
        &folder.display().to_string(),
        "there is no such folder",
        "create it for the daemon's user, or leave the setting out on a VM without a disk",
    ))
}

fn check_bootstrap(
    args: &ControlArgs,
    bootstrap: &[Peer],
    name: &DaemonId,
    own: SocketAddr,
) -> Result<(), SettingsError> {
    if bootstrap.is_empty() {
        return Ok(());
    }
    let value = args.bootstrap.join(",");
    if args.data_folder.is_none() {
        return Err(SettingsError::Clash {
            setting: "--bootstrap",
            value,
            other: "the missing --data-folder",
            remedy: "set --data-folder, or use --control-peers on a VM without a disk",
        });
    }
    match bootstrap.iter().find(|peer| peer.id == *name) {
        None => Err(SettingsError::Clash {
            setting: "--bootstrap",
            value,
            other: "--name",
            remedy: "list this daemon too, or join a running cell by --control-peers",
        }),
        Some(peer) if peer.address != own => Err(SettingsError::Clash {
            setting: "--bootstrap",
            value: peer.to_string(),
            other: "--mesh-address",
            remedy: "list this daemon under its mesh address",
        }),
        Some(_) => Ok(()),
    }
}

fn other_peers(bootstrap: &[Peer], listed: &[Peer], name: &DaemonId) -> Vec<Peer> {
    let mut peers: Vec<Peer> = Vec::new();
    for peer in listed.iter().chain(bootstrap) {
        let known = peers.iter().any(|other| other.id == peer.id);
        if peer.id != *name && !known {
            peers.push(peer.clone());
        }
    }
    peers
}

fn check_platform(args: &PlatformArgs) -> Result<PlatformSettings, SettingsError> {
    let address = args.platform.as_deref();
    let address = address.map(|text| read::read_address("--platform", text));
    let window = read::read_number("--usage-window-s", &args.usage_window_s, 1..=86_400)?;
    Ok(PlatformSettings {
        address: address.transpose()?,
        window: Millis::from_secs(window),
        holder_gap: read::read_millis("--holder-gap-ms", &args.holder_gap_ms, 0..=60_000)?,
    })
}

fn check_limits(args: &LimitArgs) -> Result<LimitSettings, SettingsError> {
    let connections = read::read_number("--max-connections", &args.max_connections, 1..=1_000_000)?;
    let head = read::read_number("--max-head-bytes", &args.max_head_bytes, 1024..=1 << 20)?;
    let body = read::read_number("--max-body-bytes", &args.max_body_bytes, 1024..=GIBIBYTE)?;
    let peer = &args.max_peer_connections;
    let peer = read::read_number("--max-peer-connections", peer, 0..=1_000_000)?;
    let memory = args.client_memory_bytes.as_deref();
    let memory = memory.filter(|text| !text.is_empty());
    let memory = memory
        .map(|text| read::read_number("--client-memory-bytes", text, 2 * body..=1024 * GIBIBYTE));
    let rate = read::read_number("--min-body-rate", &args.min_body_rate, 0..=GIBIBYTE)?;
    let teams = read::read_number("--metric-teams", &args.metric_teams, 1..=10_000)?;
    let grace = args.stop_grace_s.as_deref().filter(|text| !text.is_empty());
    let grace = grace.map(|text| read::read_seconds("--stop-grace-s", text, 1..=DAY_MS / 1000));
    Ok(LimitSettings {
        connections: connections as usize,
        peer_connections: peer as usize,
        client_memory: memory.transpose()?.map(|bytes| bytes as usize),
        body_rate: rate,
        head_bytes: head as usize,
        body_bytes: body as usize,
        head_timeout: read::read_millis("--head-timeout-ms", &args.head_timeout_ms, 100..=600_000)?,
        idle_timeout: read::read_millis("--idle-timeout-ms", &args.idle_timeout_ms, 1000..=DAY_MS)?,
        balancer_grace: read::read_millis(
            "--balancer-grace-ms",
            &args.balancer_grace_ms,
            0..=600_000,
        )?,
        stop_timeout: read::read_millis("--stop-timeout-ms", &args.stop_timeout_ms, 0..=DAY_MS)?,
        stop_grace: grace.transpose()?,
        metric_teams: teams as usize,
    })
}

fn check_log(args: &LogArgs) -> Result<LogSettings, SettingsError> {
    let level = args.log_level.parse().map_err(|_error| {
        SettingsError::invalid(
            "--log-level",
            &args.log_level,
            "there is no such level",
            "use error, warn, info, debug or trace",
        )
    })?;
    let format = match args.log_format.as_str() {
        "text" => LogFormat::Text,
        "json" => LogFormat::Json,
        other => {
            return Err(SettingsError::invalid(
                "--log-format",
                other,
                "there is no such form",
                "use text or json",
            ));
        }
    };
    Ok(LogSettings {
        level,
        format,
        folder: args.log_folder.clone(),
    })
}
