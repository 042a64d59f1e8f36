//! Operators' lists of the configuration and of owned upstreams, as this daemon holds them.

use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::upstream::PriceKind;
use dandelion_route::registry::Record;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::convert;
use dandelion_rpc::generated as rpc;

use crate::core::Handle;

/// Lists all teams.
pub fn teams(core: &Handle) -> rpc::ListTeamsAnswer {
    let view = core.control.view();
    rpc::ListTeamsAnswer {
        revision: view.config_revision.0,
        teams: view.config.teams.values().map(Into::into).collect(),
    }
}

/// Lists the keys of one team or of all, without their secrets.
pub fn keys(core: &Handle, request: &rpc::ListKeysRequest) -> rpc::ListKeysAnswer {
    let view = core.control.view();
    let matching = |team: &str| request.team.is_empty() || request.team == team;
    let keys = view
        .config
        .keys
        .values()
        .filter(|k| matching(k.team.as_str()));
    rpc::ListKeysAnswer {
        revision: view.config_revision.0,
        keys: keys.map(Into::into).collect(),
    }
}

/// Lists all services.
pub fn services(core: &Handle) -> rpc::ListServicesAnswer {
    let view = core.control.view();
    rpc::ListServicesAnswer {
        revision: view.config_revision.0,
        services: view.config.services.values().map(Into::into).collect(),
    }
}

/// Lists all rollout jobs, ended ones included.
pub fn jobs(core: &Handle) -> rpc::ListJobsAnswer {
    let view = core.control.view();
    rpc::ListJobsAnswer {
        revision: view.config_revision.0,
        jobs: view.config.jobs.values().map(Into::into).collect(),
    }
}

/// Lists the blocked fingerprints of poison requests.
pub fn poisoned(core: &Handle) -> rpc::ListPoisonedAnswer {
    let view = core.control.view();
    let blocks = view.config.poisoned.iter();
    rpc::ListPoisonedAnswer {
        revision: view.config_revision.0,
        poisoned: blocks
            .map(|(fingerprint, since)| rpc::Poisoned {
                fingerprint: format!("{fingerprint:016x}"),
                since_ms: since.0,
            })
            .collect(),
    }
}

/// Lists the evacuated zones.
pub fn zones(core: &Handle) -> rpc::ListZonesAnswer {
    let view = core.control.view();
    rpc::ListZonesAnswer {
        revision: view.zones_revision.0,
        evacuated: view.evacuated.iter().map(ToString::to_string).collect(),
    }
}

/// Lists the upstreams that this daemon owns, filtered by zone and service.
pub fn upstreams(core: &Handle, request: &rpc::ListUpstreamsRequest) -> rpc::ListUpstreamsAnswer {
    let matches = |filter: &str, value: &str| filter.is_empty() || filter == value;
    let records = core.owners.records();
    let matching = records.iter().filter(|r| {
        matches(&request.zone, r.last.zone.as_str())
            && matches(&request.service, r.last.service.as_str())
    });
    rpc::ListUpstreamsAnswer {
        upstreams: matching.map(|r| upstream(core, r)).collect(),
    }
}

fn upstream(core: &Handle, record: &Record) -> rpc::Upstream {
    let last = &record.last;
    let shard = core.owners.shard(&last.service);
    let inflight = shard.read(|queue| queue.inflight_at(&last.upstream));
    rpc::Upstream {
        id: last.upstream.to_string(),
        boot: last.boot.0,
        zone: last.zone.to_string(),
        address: last.address.clone(),
        service: last.service.to_string(),
        kind: convert::kind_text(last.kind).to_owned(),
        price: price_text(last.price).to_owned(),
        owner: core.identity.daemon.to_string(),
        state: state_text(record).to_owned(),
        capacity: last.capacity,
        inflight: inflight as u32,
        version: last.version.map(|v| v.0),
    }
}

/// Returns the name of a price kind in operators' answers.
pub fn price_text(price: PriceKind) -> &'static str {
    match price {
        PriceKind::Regular => "regular",
        PriceKind::Cheap => "cheap",
    }
}

fn state_text(record: &Record) -> &'static str {
    match (record.leaving, record.silent) {
        (true, _) => "draining",
        (false, true) => "gone",
        (false, false) => "up",
    }
}

/// Returns the command that drains an upstream: the incarnation that the operator names, or the one
/// announced to this daemon.
pub fn drain_command(
    core: &Handle,
    request: &rpc::DrainUpstreamRequest,
) -> Result<ConfigCommand, RpcError> {
    let upstream: UpstreamId = convert::parse_name("upstream", &request.upstream)?;
    let boot = match request.boot {
        Some(boot) => Incarnation(boot),
        None => announced_boot(core, &upstream)?,
    };
    Ok(ConfigCommand::Drain(upstream, boot))
}

fn announced_boot(core: &Handle, upstream: &UpstreamId) -> Result<Incarnation, RpcError> {
    let records = core.owners.records();
    let found = records.iter().find(|r| &r.last.upstream == upstream);
    found.map(|r| r.last.boot).ok_or_else(|| {
        RpcError::new(
            ErrorCode::NotFound,
            &format!("upstream `{upstream}` is not announced at this daemon"),
            "ask its owner, or name the boot with --boot",
        )
    })
}

/// Returns the command that unblocks a fingerprint.
pub fn unpoison_command(request: &rpc::UnpoisonRequest) -> Result<ConfigCommand, RpcError> {
    let parsed = u64::from_str_radix(&request.fingerprint, 16);
    let fingerprint = parsed.map_err(|error| {
        RpcError::invalid(
            "fingerprint",
            &error.to_string(),
            "send it as `dandelionctl upstream poisoned` shows it",
        )
    })?;
    Ok(ConfigCommand::Unpoison(fingerprint))
}
