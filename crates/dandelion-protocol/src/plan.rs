//! The route plan: which service serves the requests for a host and path, for which teams and under
//! which limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::limits::RateLimit;
use crate::time::Millis;

/// Kind of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests are idempotent; after a failure they are sent to another upstream.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Requests run at most once, and their answers are event streams.
    Stream,
    /// `POST` requests submit batch jobs, whose items run later.
    Batch,
}

/// Part of a route's traffic that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service that receives it.
    pub service: ServiceId,
    /// Weight relative to the other shares of the route; 0 for no traffic.
    pub weight: u32,
}

/// A route of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name, written to the log.
    pub name: String,
    /// Host of the requests, in any letter case.
    pub host: String,
    /// Path prefix; of the routes that match a request, the one with the longest prefix serves it.
    pub prefix: String,
    /// Kind; decides whether a failed request is repeated.
    pub kind: RouteKind,
    /// Longest time until a request is answered; a caller may shorten it for its own requests.
    pub timeout: Millis,
    /// Latency target, from which the timeout of one attempt of an idempotent request follows; 0 if
    /// the plan names none.
    pub target: Millis,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that receive the traffic; a valid plan gives at least one of them a weight.
    pub shares: Vec<Share>,
    /// Most attempts at a request, not counting those that did not run; for a batch item, failures
    /// after which it is given up.
    pub attempts: u32,
    /// Whether callers without a key are served.
    pub open: bool,
    /// Whether another upstream may resume the interrupted stream of a batch item.
    pub resumable: bool,
    /// Time after the submission of a batch job at which its unfinished items may be given up.
    pub keep: Millis,
    /// Time after the submission of a batch job at which its results are due.
    pub due: Millis,
    /// Whether a single version of the weights must generate a complete result.
    pub pure: bool,
}

/// A service of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanService {
    /// Name by which routes refer to it.
    pub name: ServiceId,
    /// Connections that one upstream accepts in total; 0 if the plan names no limit.
    pub connections: u32,
    /// Tokens that fit in the memory of one model engine, 0 if unknown; none for a plain service.
    pub memory: Option<u64>,
    /// Cold phase of its upstreams; none if they have none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdStart>,
}

/// Phase in which an upstream tolerates few requests, after a start and whenever it reports so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time after a start for which an upstream is cold. If zero, a new incarnation is cold only if it
    /// reports so.
    pub time: Millis,
    /// Requests that a cold upstream tolerates.
    pub rate: RateLimit,
}

/// A team of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanTeam {
    /// Name, as upstreams, batch jobs and metrics show it.
    pub name: TeamId,
    /// Secrets that identify its callers; no two teams share one.
    pub keys: Vec<String>,
    /// Priority that replaces the route's, if any; 0 is the highest.
    pub priority: Option<u32>,
}

/// A complete route plan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePlan {
    /// Version; a plan only replaces one with a lower version.
    pub version: u64,
    /// Routes; no two have the same host and prefix.
    pub routes: Vec<RouteRule>,
    /// Services that the routes refer to.
    pub services: Vec<PlanService>,
    /// Teams; without any, no route needs a key.
    pub teams: Vec<PlanTeam>,
}

/// Why a plan is invalid.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum PlanError {
    /// A route refers to a service that the plan lacks.
    #[error(
        "route `{route}` names the unknown service `{service}`; add the service or correct the route"
    )]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Unknown service.
        service: ServiceId,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes, `{first}` and `{second}`, serve `{host}{prefix}`; remove one of them")]
    SameRoute {
        /// Name of the route that comes first in the plan.
        first: String,
        /// Name of the later route.
        second: String,
        /// Shared host, whose letter case doesn't matter.
        host: String,
        /// Shared path prefix.
        prefix: String,
    },
    /// No share of the named route has a weight.
    #[error("the weights of route `{0}` add up to 0; give one share a weight")]
    NoWeight(String),
    /// The timeout of the named route is zero.
    #[error("the timeout of route `{0}` is 0; allow some time")]
    NoTimeout(String),
    /// Two teams share a key.
    #[error("teams `{first}` and `{second}` share a key; give each its own")]
    SharedKey {
        /// Team of the plan that has the key first.
        first: TeamId,
        /// Later team with the same key.
        second: TeamId,
    },
}

impl RoutePlan {
    /// Checks that the parts of the plan are consistent.
    pub fn check(&self) -> Result<(), PlanError> {
        let services: BTreeSet<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        let mut served = BTreeMap::new();
        for route in &self.routes {
            check_route(route, &services)?;
            let place = (route.host.to_ascii_lowercase(), &route.prefix);
            if let Some(first) = served.insert(place, &route.name) {
                return Err(PlanError::SameRoute {
                    first: first.clone(),
                    second: route.name.clone(),
                    host: route.host.clone(),
                    prefix: route.prefix.clone(),
                });
            }
        }
        let mut holders: BTreeMap<&str, &TeamId> = BTreeMap::new();
        for team in &self.teams {
            for key in &team.keys {
                let holder = holders.insert(key, &team.name);
                if let Some(first) = holder.filter(|first| **first != team.name) {
                    return Err(PlanError::SharedKey {
                        first: first.clone(),
                        second: team.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }

    /// Returns the route that serves requests for `host` and `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let matches =
            |r: &&RouteRule| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix);
        let routes = self.routes.iter().filter(matches);
        routes.max_by_key(|r| r.prefix.len())
    }

    /// Returns the team that a key belongs to.
    pub fn holder(&self, key: &str) -> Option<&PlanTeam> {
        self.teams.iter().find(|t| t.keys.iter().any(|k| k == key))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceId) -> Option<&PlanService> {
        self.services.iter().find(|s| s.name == *name)
    }
}

impl RouteRule {
    /// Chooses a service by weight, or none if no share has a weight. `draw` is a random number
    /// from 0 up to but not including 1.
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = draw * total as f64;
        for share in &self.shares {
            remaining -= f64::from(share.weight);
            if remaining < 0.0 {
                return Some(&share.service);
            }
        }
        let weighted = self.shares.iter().rev().find(|s| s.weight > 0);
        weighted.map(|s| &s.service)
    }
}

fn check_route(route: &RouteRule, services: &BTreeSet<&ServiceId>) -> Result<(), PlanError> {
    if route.timeout == Millis::ZERO {
        return Err(PlanError::NoTimeout(route.name.clone()));
    }
    if route.shares.iter().all(|s| s.weight == 0) {
        return Err(PlanError::NoWeight(route.name.clone()));
    }
    match route.shares.iter().find(|s| !services.contains(&s.service)) {
        Some(share) => Err(PlanError::UnknownService {
            route: route.name.clone(),
            service: share.service.clone(),
        }),
        None => Ok(()),
    }
}
