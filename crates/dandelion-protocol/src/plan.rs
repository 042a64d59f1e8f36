//! The route plan: which caller reaches which service, under which limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::ServiceId;
use crate::ids::TeamId;
use crate::time::Millis;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests are idempotent.
    Idempotent,
    /// Requests run at most once.
    Once,
    /// Answers are event streams; at most once, unless the route is resumable.
    Stream,
    /// Jobs of many requests that run later.
    Batch,
}

/// Part of a route's traffic that goes to one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Service.
    pub service: ServiceId,
    /// Weight against the other shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that callers ask for.
    pub host: String,
    /// Path prefix; the longest one that begins the path wins.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Millis,
    /// Latency target.
    pub target: Millis,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services that take the traffic; never empty.
    pub shares: Vec<Share>,
    /// Most upstreams to which one request may be sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Time after its submission at which an unfinished batch item may be given up.
    pub keep: Millis,
    /// Time after its submission at which the results of a batch job are due.
    pub due: Millis,
    /// Whether one version of the weights must generate a whole result.
    pub pure: bool,
}

/// A service of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanService {
    /// Name.
    pub name: ServiceId,
    /// Connections that one upstream takes from all callers together.
    pub connections: u32,
    /// Tokens that one model engine holds in memory; none for a plain service.
    pub memory: Option<u64>,
}

/// A team of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanTeam {
    /// Name.
    pub name: TeamId,
    /// Secrets of its keys.
    pub keys: Vec<String>,
    /// Rank; goes before the route's.
    pub priority: Option<u32>,
}

/// A whole route plan.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutePlan {
    /// Version; the highest is in force.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<PlanService>,
    /// Teams; without any, no route needs a key.
    pub teams: Vec<PlanTeam>,
}

/// Why a plan cannot be put in force.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum PlanError {
    /// A route names a service that the plan lacks.
    #[error(
        "route `{route}` names the unknown service `{service}`; add the service or correct the route"
    )]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: ServiceId,
    },
    /// Two routes share host and prefix.
    #[error("two routes serve `{host}{prefix}`; remove one of them")]
    SameRoute {
        /// Host.
        host: String,
        /// Prefix.
        prefix: String,
    },
    /// The weights of a route add up to nothing.
    #[error("the weights of route `{0}` add up to 0; give one share a weight")]
    NoWeight(String),
    /// A route's timeout is zero.
    #[error("the timeout of route `{0}` is 0; allow some time")]
    NoTimeout(String),
    /// Two teams share a key.
    #[error("teams `{first}` and `{second}` share a key; give each its own")]
    SharedKey {
        /// Team that holds the key.
        first: TeamId,
        /// Team that holds it too.
        second: TeamId,
    },
}

impl RoutePlan {
    /// Checks what can be wrong between the parts of a plan.
    pub fn check(&self) -> Result<(), PlanError> {
        let services: BTreeSet<&ServiceId> = self.services.iter().map(|s| &s.name).collect();
        let mut places = BTreeSet::new();
        for route in &self.routes {
            check_route(route, &services)?;
            if !places.insert((&route.host, &route.prefix)) {
                return Err(PlanError::SameRoute {
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

    /// Returns the route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        let fits =
            |r: &&RouteRule| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.prefix);
        let routes = self.routes.iter().filter(fits);
        routes.max_by_key(|r| r.prefix.len())
    }

    /// Returns the team that holds a key.
    pub fn holder(&self, key: &str) -> Option<&PlanTeam> {
        self.teams.iter().find(|t| t.keys.iter().any(|k| k == key))
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceId) -> Option<&PlanService> {
        self.services.iter().find(|s| s.name == *name)
    }
}

impl RouteRule {
    /// Returns the service for a draw between 0 and 1, each as often as its weight says.
    pub fn pick(&self, draw: f64) -> Option<&ServiceId> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = draw * total as f64;
        for share in &self.shares {
            left -= f64::from(share.weight);
            if left < 0.0 {
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
