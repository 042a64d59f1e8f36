//! Helpers shared by the fakes: reading JSON bodies and recording received requests.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use dandelion_net::http::server::json;
use http_types::Request;
use http_types::Response;
use serde::de::DeserializeOwned;
use serde_json::json as value;

/// Most requests that [`ReceivedRequests`] retains.
const MAX_REQUESTS: usize = 10_000;

/// Locks `mutex`, ignoring poisoning by a thread that panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Text of the most recent requests: path with query, headers and body.
#[derive(Debug, Default)]
pub struct ReceivedRequests(Mutex<VecDeque<String>>);

impl ReceivedRequests {
    /// Records a request; drops the oldest one at the limit.
    pub(crate) fn add(&self, request: &Request, body: &[u8]) {
        let headers: Vec<String> = request.iter().map(|(n, v)| format!("{n}: {v}\n")).collect();
        let headers = headers.concat();
        let body = String::from_utf8_lossy(body);
        let text = format!("{}\n{headers}\n{body}", request.url());
        let mut requests = lock(&self.0);
        if requests.len() == MAX_REQUESTS {
            requests.pop_front();
        }
        requests.push_back(text);
    }

    /// Returns the number of recorded requests whose text contains `text`.
    pub fn containing(&self, text: &str) -> usize {
        lock(&self.0).iter().filter(|r| r.contains(text)).count()
    }

    /// Returns the number of recorded requests.
    pub fn count(&self) -> usize {
        lock(&self.0).len()
    }
}

/// Returns the request body, which the server has already buffered completely.
pub async fn read_body(request: &mut Request) -> Vec<u8> {
    request.body_bytes().await.unwrap_or_default()
}

/// Parses a JSON body; on failure returns the 400 response to send.
pub fn parse<T>(body: &[u8]) -> Result<T, Box<Response>>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| Box::new(error_response(400, &error.to_string())))
}

/// Builds a JSON error response.
pub fn error_response(status: u16, reason: &str) -> Response {
    json(status, &value!({ "error": reason }))
}

/// Returns a header's first value, or an empty string.
pub fn header(request: &Request, name: &str) -> String {
    let value = request.header(name);
    value.map(|v| v.as_str().to_owned()).unwrap_or_default()
}
