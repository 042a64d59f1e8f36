//! The part of the client stub that does not depend on the procedure.

use prost::Message;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::codec;
use crate::codec::BodyCodec;
use crate::error::RpcError;
use crate::generated;

/// Answer as a transport received it, not decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body, in the content type of the request or, for an error, in JSON.
    pub body: Vec<u8>,
}

/// Why a transport got no answer.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum TransportError {
    /// The request was never sent.
    #[error("request was not sent: {0}; check the daemon's address and that it runs")]
    NotSent(String),
    /// The request was sent and may have been executed.
    #[error("no complete answer was received: {0}; resend with the same request id")]
    Unknown(String),
}

/// Why a call failed.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum ClientError {
    /// The daemon refused the request.
    #[error(transparent)]
    Refused(#[from] RpcError),
    /// No complete answer was received.
    #[error(transparent)]
    Transport(#[from] TransportError),
    /// The answer cannot be decoded.
    #[error("answer with status {status} does not decode ({reason}); check the daemon's version")]
    Malformed {
        /// HTTP status.
        status: u16,
        /// Message of the decoder.
        reason: String,
    },
}

/// Sends one request and receives its answer.
pub trait Transport {
    /// Posts `body` to `path`.
    fn post(
        &self,
        path: &str,
        content_type: &str,
        body: &[u8],
    ) -> impl Future<Output = Result<RawAnswer, TransportError>> + Send;
}

/// Encodes a request, sends it and decodes the answer.
pub(crate) async fn send<T, Q, A>(
    transport: &T,
    method: &str,
    request: &Q,
) -> Result<A, ClientError>
where
    T: Transport,
    Q: Message + Serialize,
    A: Message + Default + DeserializeOwned,
{
    let path = format!("{}{method}", generated::PREFIX);
    let body = BodyCodec::Proto.encode(request)?;
    let answer = transport.post(&path, codec::PROTO, &body).await?;
    if answer.status != 200 {
        return Err(refusal(&answer));
    }
    BodyCodec::Proto
        .decode(&answer.body)
        .map_err(|error| malformed(&answer, &error.message))
}

fn refusal(answer: &RawAnswer) -> ClientError {
    match serde_json::from_slice(&answer.body) {
        Ok(error) => ClientError::Refused(error),
        Err(error) => malformed(answer, &error.to_string()),
    }
}

fn malformed(answer: &RawAnswer, reason: &str) -> ClientError {
    ClientError::Malformed {
        status: answer.status,
        reason: reason.to_owned(),
    }
}
