//! Identifiers. Names are short texts, counters are integers; each has a type of its own, so that
//! the compiler keeps them apart.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// Longest accepted name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A text is not a valid name.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
#[error(
    "{kind} `{name}` is not a valid name; use 1 to {MAX_NAME_BYTES} characters of a-z, 0-9, `-`, `_`, `.`"
)]
pub struct NameError {
    /// Kind of identifier that the text was parsed as, such as `team`.
    pub kind: &'static str,
    /// The rejected text.
    pub name: String,
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_BYTES
        && text
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b))
}

macro_rules! name_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(NameError { kind: $kind, name: text.to_owned() })
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.as_str().to_owned()
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $int:ty) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

name_id!(
    /// Name of a team, which is a tenant of the service.
    TeamId,
    "team"
);
name_id!(
    /// Public name of a granted key; the secret is never an identifier.
    KeyId,
    "key"
);
name_id!(
    /// Name of a service: a model served by engines, or a plain service.
    ServiceId,
    "service"
);
name_id!(
    /// Name of a rollout job; batch jobs have plain text ids.
    JobId,
    "job"
);
name_id!(
    /// Name of an availability zone.
    ZoneId,
    "zone"
);
name_id!(
    /// Name of a back end: a model engine or a plain service process.
    UpstreamId,
    "upstream"
);
name_id!(
    /// Name of a daemon, from its settings.
    DaemonId,
    "daemon"
);
number_id!(
    /// Number of a cell, from the daemons' settings; one control group serves one cell.
    CellId, u16
);
number_id!(
    /// A position in a replicated log, and so a revision of the replicated state; 0 is the empty
    /// state.
    Revision, u64
);
number_id!(
    /// A leadership term; also the fencing number of orders to the platform and to engines.
    Term, u64
);
number_id!(
    /// One incarnation of a daemon process or upstream; a later start has a greater number.
    Incarnation, u64
);
number_id!(
    /// Number of a model's weight version; a later version is greater.
    WeightVersion, u64
);
number_id!(
    /// Identity of a request or change, chosen by its author and the same in every resend.
    RequestId, u128
);
