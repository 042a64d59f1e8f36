//! Encodings of request and answer bodies.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::ErrorCode;
use crate::error::RpcError;

/// Content type of JSON bodies.
pub const JSON: &str = "application/json";

/// Content type of Protocol Buffers bodies.
pub const PROTO: &str = "application/proto";

/// Encoding of request and answer bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyCodec {
    /// JSON with the field names of the schema; unknown fields are refused.
    Json,
    /// Protocol Buffers; unknown fields are ignored.
    Proto,
}

impl BodyCodec {
    /// Returns the encoding for a content type; its parameters are ignored.
    pub fn from_content_type(content_type: &str) -> Result<Self, RpcError> {
        let essence = content_type.split(';').next().unwrap_or_default().trim();
        if essence.eq_ignore_ascii_case(JSON) {
            return Ok(Self::Json);
        }
        if essence.eq_ignore_ascii_case(PROTO) {
            return Ok(Self::Proto);
        }
        Err(RpcError::new(
            ErrorCode::InvalidArgument,
            &format!("content type `{}` is not known", essence.escape_default()),
            "send application/json or application/proto",
        ))
    }

    /// Returns the content type of the encoding.
    pub fn content_type(self) -> &'static str {
        match self {
            Self::Json => JSON,
            Self::Proto => PROTO,
        }
    }

    /// Decodes a body.
    pub fn decode<M>(self, body: &[u8]) -> Result<M, RpcError>
    where
        M: Message + Default + DeserializeOwned,
    {
        match self {
            Self::Json => serde_json::from_slice(body).map_err(|e| unreadable(&e.to_string())),
            Self::Proto => M::decode(body).map_err(|e| unreadable(&e.to_string())),
        }
    }

    /// Encodes a body.
    pub fn encode<M>(self, message: &M) -> Result<Vec<u8>, RpcError>
    where
        M: Message + Serialize,
    {
        match self {
            Self::Json => serde_json::to_vec(message).map_err(|e| {
                RpcError::new(
                    ErrorCode::Internal,
                    &format!("the answer has no JSON form: {e}"),
                    "report this as a defect",
                )
            }),
            Self::Proto => Ok(message.encode_to_vec()),
        }
    }
}

fn unreadable(reason: &str) -> RpcError {
    RpcError::new(
        ErrorCode::InvalidArgument,
        &format!("the body does not decode: {reason}"),
        "compare it with schema/dandelion/v1/operator.proto",
    )
}
