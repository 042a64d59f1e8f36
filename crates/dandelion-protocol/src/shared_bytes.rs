//! Encoded bytes of which several queues hold one copy.

use std::ops::Deref;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde_bytes::ByteBuf;

/// Encoded bytes that are cloned by reference. A change that is pushed to all daemons of a feeder is
/// held once, however many links have it queued. Encoded like any byte string.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedBytes(Arc<[u8]>);

impl SharedBytes {
    /// Returns how many holders share the bytes, this one included.
    pub fn holders(&self) -> usize {
        Arc::strong_count(&self.0)
    }
}

impl Deref for SharedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for SharedBytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl Serialize for SharedBytes {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for SharedBytes {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let bytes = ByteBuf::deserialize(deserializer)?;
        Ok(Self::from(bytes.into_vec()))
    }
}
