//! Why the planner made an order, for the record and for operators.

use std::fmt;

/// Reason of one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// A zone has fewer regular upstreams than the service's floor.
    Floor {
        /// Upstreams there.
        have: u32,
        /// Floor.
        want: u32,
    },
    /// Interactive demand would not be carried if the fullest cheap zone vanished.
    Reserve {
        /// Upstreams that would remain.
        have: u32,
        /// Upstreams that the demand needs.
        want: u32,
    },
    /// Rollouts want more upstreams.
    Rollouts {
        /// Upstreams for rollouts.
        have: u32,
        /// Upstreams that the demand needs.
        want: u32,
    },
    /// Rollouts want more, and no cheap upstream can be had in any zone.
    Fallback {
        /// Upstreams missing.
        missing: u32,
    },
    /// More upstreams than demand has needed for the hold time.
    Surplus {
        /// Upstreams there.
        have: u32,
        /// Upstreams needed.
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
