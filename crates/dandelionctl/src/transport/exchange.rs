//! One request and its answer on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use dandelion_rpc::TransportError;
use dandelion_rpc::client::RawAnswer;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::Url;

/// Largest accepted answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// Most bytes that are allocated for an answer before they arrive.
const MAX_RESERVED_BYTES: u64 = 1 << 20;

/// A request to be posted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Post<'a> {
    /// Path of the procedure.
    pub(super) path: &'a str,
    /// Content type of the body.
    pub(super) content_type: &'a str,
    /// Operator token; no authorization header is sent if `None`.
    pub(super) token: Option<&'a str>,
    /// Encoded request.
    pub(super) body: &'a [u8],
}

/// Posts one request to one daemon. The timeout applies to the connection and again to the exchange.
pub(super) async fn post(
    daemon: SocketAddr,
    post: &Post<'_>,
    timeout: Duration,
) -> Result<RawAnswer, TransportError> {
    let request = build_request(daemon, post)?;
    let connected = future::timeout(timeout, TcpStream::connect(daemon)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(not_sent(daemon, &error.to_string())),
        Err(_) => return Err(not_sent(daemon, "the connection timed out")),
    };
    match future::timeout(timeout, exchange(stream, request)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(reason)) => Err(TransportError::Unknown(format!("{daemon}: {reason}"))),
        Err(_) => Err(TransportError::Unknown(format!("{daemon}: timed out"))),
    }
}

fn not_sent(daemon: SocketAddr, reason: &str) -> TransportError {
    TransportError::NotSent(format!("{daemon}: {reason}"))
}

fn build_request(daemon: SocketAddr, post: &Post<'_>) -> Result<Request, TransportError> {
    let url = format!("http://{daemon}{}", post.path);
    let url = Url::parse(&url).map_err(|error| not_sent(daemon, &error.to_string()))?;
    let mut request = Request::new(Method::Post, url);
    request.set_body(post.body);
    request.insert_header("content-type", post.content_type);
    request.insert_header("connection", "close");
    if let Some(token) = post.token {
        request.insert_header("authorization", format!("Bearer {token}"));
    }
    Ok(request)
}

async fn exchange(stream: TcpStream, request: Request) -> Result<RawAnswer, String> {
    let response = async_h1::connect(stream, request)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status().into();
    let body = read_body(response).await?;
    Ok(RawAnswer { status, body })
}

/// Reads a body and compares its length with Content-Length: the HTTP library accepts a body that
/// ends early as complete.
async fn read_body(response: Response) -> Result<Vec<u8>, String> {
    let declared = declared_length(&response)?;
    if declared.is_none() && response.header("transfer-encoding").is_none() {
        return Err("the answer has neither Content-Length nor Transfer-Encoding".to_owned());
    }
    let reserved = declared.unwrap_or(0).min(MAX_RESERVED_BYTES);
    let mut body = Vec::with_capacity(reserved as usize);
    response
        .take(MAX_ANSWER_BYTES + 1)
        .read_to_end(&mut body)
        .await
        .map_err(|error| error.to_string())?;
    let length = body.len() as u64;
    if length > MAX_ANSWER_BYTES {
        return Err(format!(
            "the answer is longer than {MAX_ANSWER_BYTES} bytes"
        ));
    }
    match declared {
        Some(declared) if declared != length => Err(format!(
            "the answer ended after {length} of {declared} bytes"
        )),
        _ => Ok(body),
    }
}

fn declared_length(response: &Response) -> Result<Option<u64>, String> {
    let Some(values) = response.header("content-length") else {
        return Ok(None);
    };
    let mut lengths = values
        .iter()
        .map(|value| value.as_str().trim().parse::<u64>());
    match (lengths.next(), lengths.next()) {
        (Some(Ok(length)), None) => Ok(Some(length)),
        _ => Err("the answer's Content-Length is not a single number".to_owned()),
    }
}
