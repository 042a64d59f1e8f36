//! HTTP client of callers and trainers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_protocol::mesh::Header;
use serde::Serialize;

/// Largest answer body that is read, in bytes.
const MAX_ANSWER: usize = 64 * 1024 * 1024;

/// Header with a request's id.
const REQUEST_ID: &str = "x-request-id";

/// A complete HTTP answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Complete body.
    pub body: Vec<u8>,
    /// Request id from the answer's headers, if present.
    pub request_id: Option<String>,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns whether this is a refusal that states that the request did not run.
    pub fn is_not_run(&self) -> bool {
        let refusal: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        self.status != 200 && refusal["ran"] == "not_run"
    }

    /// Returns the code of a refusal, or an empty string.
    pub fn code(&self) -> String {
        let refusal: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        refusal["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the concatenated tokens of an event stream, and whether it has a `done` event.
    pub fn tokens(&self) -> (String, bool) {
        let mut text = String::new();
        let mut done = false;
        for line in self.text().lines() {
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            let event: serde_json::Value = serde_json::from_str(data).unwrap_or_default();
            text.push_str(event["token"].as_str().unwrap_or_default());
            done |= event["done"] == true;
        }
        (text, done)
    }
}

/// HTTP client that sends the same headers with every request.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    headers: Vec<Header>,
    timeout: Duration,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller without a key and with a timeout of 45 seconds.
    pub fn new() -> Self {
        Self {
            client: Client::new(ClientOptions::default()),
            headers: Vec::new(),
            timeout: Duration::from_secs(45),
        }
    }

    /// Adds a header to every request.
    #[must_use]
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push(Header {
            name: name.to_owned(),
            value: value.to_owned(),
        });
        self
    }

    /// Sends a key with every request.
    #[must_use]
    pub fn with_key(self, secret: &str) -> Self {
        self.with("authorization", &format!("Bearer {secret}"))
    }

    /// Sets the longest wait for a complete answer.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a GET request.
    pub async fn get(&self, to: SocketAddr, path: &str) -> Result<Answer, SendError> {
        self.send(to, "GET", path, Vec::new()).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post<T>(&self, to: SocketAddr, path: &str, body: &T) -> Result<Answer, SendError>
    where
        T: Serialize + Sync,
    {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.send(to, "POST", path, body).await
    }

    async fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Answer, SendError> {
        let mut headers = self.headers.clone();
        headers.push(Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        });
        let request = request(to, method, path, &headers, body).map_err(SendError::NotSent)?;
        let options = SendOptions {
            deadline: Instant::now() + self.timeout,
            progress: self.timeout,
            idempotent: false,
            probe: true,
        };
        let mut exchange = self.client.send(to, request, &options).await?;
        let status = exchange.status();
        let headers = exchange.headers().iter();
        let request_id = headers
            .filter(|h| h.name == REQUEST_ID)
            .map(|h| h.value.clone())
            .next();
        let body = exchange.read_all(MAX_ANSWER).await?;
        Ok(Answer {
            status,
            body,
            request_id,
        })
    }
}
