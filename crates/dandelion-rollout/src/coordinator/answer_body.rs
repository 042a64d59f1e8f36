//! HTTP status and body of an answer to a trainer.

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::rollout::Batch;
use dandelion_protocol::rollout::VoidBatch;
use dandelion_protocol::time::Millis;
use serde::Serialize;
use serde::Serializer;

use crate::coordinator::action::Answer;

#[derive(Serialize)]
#[serde(untagged)]
enum Body<'a> {
    Batch(&'a Batch),
    Void { void: &'a VoidBatch },
    Pending { retry_after: Millis },
    FeedAgain { feed_again: FeedAgain },
    Fed { fed: u64 },
    Renewed { lease: Millis },
    Published { version: WeightVersion },
    Refused { error: &'a Refusal },
}

#[derive(Serialize)]
struct FeedAgain {
    first: u64,
    count: u64,
}

impl Answer {
    /// Returns the HTTP status code.
    pub fn status(&self) -> u16 {
        match self {
            Self::Batch(_) | Self::Fed(_) | Self::Renewed(_) | Self::Published(_) => 200,
            Self::Pending(_) => 202,
            Self::FeedAgain { .. } => 409,
            Self::Void(_) => 410,
            Self::Refused(refusal) => refusal.status(),
        }
    }

    fn body(&self) -> Body<'_> {
        match self {
            Self::Batch(batch) => Body::Batch(batch),
            Self::Void(void) => Body::Void { void },
            Self::Pending(wait) => Body::Pending { retry_after: *wait },
            Self::FeedAgain { first, count } => Body::FeedAgain {
                feed_again: FeedAgain {
                    first: *first,
                    count: *count,
                },
            },
            Self::Fed(fed) => Body::Fed { fed: *fed },
            Self::Renewed(lease) => Body::Renewed { lease: *lease },
            Self::Published(version) => Body::Published { version: *version },
            Self::Refused(refusal) => Body::Refused { error: refusal },
        }
    }
}

/// Serializes the JSON body that is documented for trainers.
impl Serialize for Answer {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.body().serialize(serializer)
    }
}
