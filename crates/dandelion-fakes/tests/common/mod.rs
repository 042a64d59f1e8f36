//! HTTP calls to the fakes.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_protocol::mesh::Header;
use serde_json::Value;

pub const TIMEOUT: Duration = Duration::from_secs(20);

pub async fn post(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Exchange, SendError> {
    let header = |(name, value): &(&str, &str)| Header {
        name: (*name).to_owned(),
        value: (*value).to_owned(),
    };
    let headers: Vec<Header> = headers.iter().map(header).collect();
    let request = request(to, "POST", path, &headers, body.as_bytes().to_vec());
    let options = SendOptions {
        deadline: Instant::now() + TIMEOUT,
        progress: TIMEOUT,
        idempotent: false,
        probe: true,
    };
    let client = Client::new(ClientOptions::default());
    client
        .send(to, request.expect("valid request"), &options)
        .await
}

/// Posts, and returns the status and the JSON body of the answer (`Null` if it isn't JSON).
pub async fn post_json(
    to: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<(u16, Value), SendError> {
    let mut exchange = post(to, path, headers, body).await?;
    let bytes = exchange.read_all(1 << 20).await?;
    let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    Ok((exchange.status(), value))
}
