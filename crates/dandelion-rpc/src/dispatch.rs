//! Dispatch of HTTP requests to the operators' procedures.

use crate::codec;
use crate::codec::BodyCodec;
use crate::error::RpcError;
use crate::generated;
use crate::generated::Operator;

/// HTTP response to a procedure call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RpcResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Encoded answer or error.
    pub body: Vec<u8>,
}

impl RpcResponse {
    /// Creates the response for an error; its body is always JSON.
    pub fn refused(error: &RpcError) -> Self {
        Self {
            status: error.code.status(),
            content_type: codec::JSON,
            body: serde_json::to_vec(error).unwrap_or_default(),
        }
    }
}

/// Returns whether `path` belongs to the operators' procedures.
pub fn is_procedure(path: &str) -> bool {
    path.starts_with(generated::PREFIX)
}

/// Calls the procedure that `path` names. Errors are JSON, whatever the content type of the
/// request.
pub async fn dispatch<S>(server: &S, path: &str, content_type: &str, body: &[u8]) -> RpcResponse
where
    S: Operator + Sync,
{
    match call(server, path, content_type, body).await {
        Ok(response) => response,
        Err(error) => RpcResponse::refused(&error),
    }
}

async fn call<S>(
    server: &S,
    path: &str,
    content_type: &str,
    body: &[u8],
) -> Result<RpcResponse, RpcError>
where
    S: Operator + Sync,
{
    let Some(method) = path.strip_prefix(generated::PREFIX) else {
        return Err(RpcError::unknown_method(path));
    };
    let codec = BodyCodec::from_content_type(content_type)?;
    let body = generated::call(server, method, codec, body).await?;
    Ok(RpcResponse {
        status: 200,
        content_type: codec.content_type(),
        body,
    })
}
