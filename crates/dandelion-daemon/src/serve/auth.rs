//! Identifies the team of a caller by the key in its headers.

use dandelion_control::keys;
use dandelion_control::keys::KeyError;
use dandelion_protocol::config::Key;
use dandelion_protocol::config::Service;
use dandelion_protocol::ids::KeyId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use http_types::Request;
use http_types::headers::AUTHORIZATION;

use crate::control::View;

/// Header for a key, as an alternative to `authorization: Bearer`.
pub const KEY_HEADER: &str = "x-api-key";

/// Delay after which a caller may retry when the daemon has no lease.
const LEASE_RETRY: Millis = Millis::from_secs(1);

/// An identified caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Team, or none on an open route.
    pub team: Option<TeamId>,
    /// Key that was sent and accepted, or none on an open route without a key.
    pub key: Option<KeyId>,
}

/// Returns the secret of the key that the caller sent, if any.
pub fn presented_secret(request: &Request) -> Option<&str> {
    let bearer = request.header(AUTHORIZATION).map(|values| values.as_str());
    let bearer = bearer.and_then(|text| text.strip_prefix("Bearer "));
    bearer.or_else(|| request.header(KEY_HEADER).map(|values| values.as_str()))
}

/// Identifies the caller of `service`.
///
/// A key that is sent must be valid even on an open route. `leased` is whether the daemon's lease
/// is valid; without a lease no key is accepted.
pub fn authenticate(
    view: &View,
    leased: bool,
    wall: WallMillis,
    service: &Service,
    secret: Option<&str>,
) -> Result<Caller, Refusal> {
    let Some(secret) = secret else {
        if service.open {
            return Ok(Caller {
                team: None,
                key: None,
            });
        }
        return Err(unauthorized("no key was sent"));
    };
    identify(view, leased, wall, &service.id, Some(secret))
}

/// Identifies a caller by a key for `service`. The key is required even if the service is open.
pub fn identify(
    view: &View,
    leased: bool,
    wall: WallMillis,
    service: &ServiceId,
    secret: Option<&str>,
) -> Result<Caller, Refusal> {
    let secret = secret.ok_or_else(|| unauthorized("no key was sent"))?;
    let (caller, key) = find_key(view, leased, wall, secret)?;
    keys::check_scope(key, service).map_err(forbidden)?;
    Ok(caller)
}

fn find_key<'a>(
    view: &'a View,
    leased: bool,
    wall: WallMillis,
    secret: &str,
) -> Result<(Caller, &'a Key), Refusal> {
    if !leased {
        return Err(stale_lease());
    }
    let key = view.keys.find(&view.config, secret, wall);
    let key = key.map_err(|error| unauthorized(&error.to_string()))?;
    let caller = Caller {
        team: Some(key.team.clone()),
        key: Some(key.id.clone()),
    };
    Ok((caller, key))
}

fn unauthorized(message: &str) -> Refusal {
    Refusal::not_run(
        RefusalCode::Unauthorized,
        message,
        "send a valid key as `authorization: Bearer KEY`",
    )
}

fn forbidden(error: KeyError) -> Refusal {
    Refusal::not_run(
        RefusalCode::Forbidden,
        &error.to_string(),
        "ask the operator for a key with this scope",
    )
}

/// Refusal while the daemon has no lease and so cannot know which keys are valid.
pub fn stale_lease() -> Refusal {
    let refusal = Refusal::not_run(
        RefusalCode::StaleLease,
        "this daemon is cut off from control and cannot check keys",
        "send the request again; another daemon may serve it",
    );
    refusal.with_retry_after(LEASE_RETRY)
}

/// Checks again that the caller's key has not been withdrawn.
pub fn recheck(view: &View, caller: &Caller) -> Result<(), Refusal> {
    let is_withdrawn = caller
        .key
        .as_ref()
        .is_some_and(|key| !view.config.keys.contains_key(key));
    if is_withdrawn {
        return Err(unauthorized("the key was withdrawn"));
    }
    Ok(())
}
