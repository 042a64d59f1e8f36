//! Reasons for the planner's orders, recorded with the order and shown to operators.

use std::fmt;

/// Reason for one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A zone has fewer regular upstreams than the service's floor.
    Floor {
        /// Regular upstreams in the zone.
        have: u32,
        /// The service's floor.
        want: u32,
    },
    /// Interactive demand would exceed the remaining capacity if the zone with the most cheap
    /// upstreams lost all of them.
    Reserve {
        /// Upstreams that would remain.
        have: u32,
        /// Upstreams that interactive demand needs.
        want: u32,
    },
    /// Rollouts need more upstreams.
    Rollouts {
        /// Upstreams available to rollouts.
        have: u32,
        /// Upstreams that rollout demand needs.
        want: u32,
    },
    /// Rollouts need more upstreams, and no cheap one can be ordered in any zone.
    Fallback {
        /// Upstreams missing before the fallback.
        missing: u32,
    },
    /// There are more upstreams than the peak demand needs.
    Surplus {
        /// Upstreams available to rollouts.
        have: u32,
        /// Upstreams that rollout demand needs.
        want: u32,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Floor { have, want } => write!(f, "zone floor: {have} of {want} regular"),
            Self::Reserve { have, want } => {
                write!(
                    f,
                    "reserve: {have} of {want} remain if the fullest cheap zone vanishes"
                )
            }
            Self::Rollouts { have, want } => write!(f, "rollouts: {have} of {want} upstreams"),
            Self::Fallback { missing } => {
                write!(
                    f,
                    "fallback: {missing} missing and no cheap stock in any zone"
                )
            }
            Self::Surplus { have, want } => write!(f, "surplus: {have} present, {want} needed"),
        }
    }
}
