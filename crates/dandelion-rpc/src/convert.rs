//! Conversion between the messages of the schema and the configuration types.

use std::str::FromStr;

use dandelion_protocol::config;
use dandelion_protocol::ids::NameError;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::upstream::UpstreamKind;

use crate::error::RpcError;
use crate::generated::GrantKeyRequest;
use crate::generated::Job;
use crate::generated::Key;
use crate::generated::Service;
use crate::generated::Team;
use crate::secret;

/// Parses the identifier in the field `field`.
pub fn parse_name<N>(field: &str, text: &str) -> Result<N, RpcError>
where
    N: FromStr<Err = NameError>,
{
    text.parse()
        .map_err(|error| RpcError::bad_name(field, &error))
}

/// Returns the message in the field `field`, which must be present.
pub fn require<'a, M>(field: &str, message: Option<&'a M>) -> Result<&'a M, RpcError> {
    message.ok_or_else(|| RpcError::missing(field))
}

/// Parses the kind of an upstream.
pub fn parse_kind(text: &str) -> Result<UpstreamKind, RpcError> {
    match text {
        "engine" => Ok(UpstreamKind::Engine),
        "plain" => Ok(UpstreamKind::Plain),
        other => Err(RpcError::invalid(
            "kind",
            &format!("`{}` is not a kind", other.escape_default()),
            "send `engine` or `plain`",
        )),
    }
}

/// Returns the text of a kind.
pub fn kind_text(kind: UpstreamKind) -> &'static str {
    match kind {
        UpstreamKind::Engine => "engine",
        UpstreamKind::Plain => "plain",
    }
}

impl TryFrom<&Team> for config::Team {
    type Error = RpcError;

    fn try_from(team: &Team) -> Result<Self, RpcError> {
        Ok(Self {
            id: parse_name("team.id", &team.id)?,
            weight: team.weight,
            max_inflight: team.max_inflight,
            token_rate: team.token_rate,
        })
    }
}

impl From<&config::Team> for Team {
    fn from(team: &config::Team) -> Self {
        Self {
            id: team.id.to_string(),
            weight: team.weight,
            max_inflight: team.max_inflight,
            token_rate: team.token_rate,
        }
    }
}

/// Converts the key of a grant request; `digest` is the digest of its secret.
pub fn key_from_grant(
    request: &GrantKeyRequest,
    digest: [u8; 32],
) -> Result<config::Key, RpcError> {
    let key = require("key", request.key.as_ref())?;
    let scopes: Result<Vec<ServiceId>, RpcError> = key
        .scopes
        .iter()
        .map(|scope| parse_name("key.scopes", scope))
        .collect();
    Ok(config::Key {
        id: parse_name("key.id", &key.id)?,
        team: parse_name("key.team", &key.team)?,
        digest: digest.to_vec(),
        scopes: scopes?,
        expires: key.expires_ms.map(WallMillis),
    })
}

/// Returns the digest that the operator sent with a grant, if any.
pub fn sent_digest(request: &GrantKeyRequest) -> Result<Option<[u8; 32]>, RpcError> {
    if request.secret_digest.is_empty() {
        return Ok(None);
    }
    secret::parse_digest(&request.secret_digest).map(Some)
}

impl From<&config::Key> for Key {
    fn from(key: &config::Key) -> Self {
        Self {
            id: key.id.to_string(),
            team: key.team.to_string(),
            scopes: key.scopes.iter().map(ToString::to_string).collect(),
            expires_ms: key.expires.map(|at| at.0),
        }
    }
}

impl TryFrom<&Service> for config::Service {
    type Error = RpcError;

    fn try_from(service: &Service) -> Result<Self, RpcError> {
        Ok(Self {
            id: parse_name("service.id", &service.id)?,
            kind: parse_kind(&service.kind)?,
            open: service.open,
            idempotent: service.idempotent,
            timeout: Millis(service.timeout_ms),
            floor: service.floor,
            ceiling: service.ceiling,
        })
    }
}

impl From<&config::Service> for Service {
    fn from(service: &config::Service) -> Self {
        Self {
            id: service.id.to_string(),
            kind: kind_text(service.kind).to_owned(),
            open: service.open,
            idempotent: service.idempotent,
            timeout_ms: service.timeout.0,
            floor: service.floor,
            ceiling: service.ceiling,
        }
    }
}

impl TryFrom<&Job> for config::Job {
    type Error = RpcError;

    fn try_from(job: &Job) -> Result<Self, RpcError> {
        let scorer = job.scorer.as_deref();
        let scorer = scorer.map(|name| parse_name("job.scorer", name));
        Ok(Self {
            id: parse_name("job.id", &job.id)?,
            team: parse_name("job.team", &job.team)?,
            service: parse_name("job.service", &job.service)?,
            group_size: job.group_size,
            step_groups: job.step_groups,
            max_staleness: job.max_staleness,
            token_budget: job.token_budget,
            max_tokens: job.max_tokens,
            scorer: scorer.transpose()?,
            ended: job.ended,
        })
    }
}

impl From<&config::Job> for Job {
    fn from(job: &config::Job) -> Self {
        Self {
            id: job.id.to_string(),
            team: job.team.to_string(),
            service: job.service.to_string(),
            group_size: job.group_size,
            step_groups: job.step_groups,
            max_staleness: job.max_staleness,
            token_budget: job.token_budget,
            max_tokens: job.max_tokens,
            scorer: job.scorer.as_ref().map(ToString::to_string),
            ended: job.ended,
        }
    }
}
