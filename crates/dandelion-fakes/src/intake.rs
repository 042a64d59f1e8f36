//! What the fakes have in common: reading JSON bodies and remembering what was sent to them.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use dandelion_net::http::server::json;
use http_types::Request;
use http_types::Response;
use serde::de::DeserializeOwned;
use serde_json::json as value;

/// Requests remembered by [`Seen`].
const SEEN_LIMIT: usize = 10_000;

/// Locks `mutex`, also after a holder panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The text of the last requests: path with query, headers and body.
#[derive(Debug, Default)]
pub struct Seen(Mutex<VecDeque<String>>);

impl Seen {
    /// Remembers a request.
    pub(crate) fn add(&self, request: &Request, body: &[u8]) {
        let headers: Vec<String> = request.iter().map(|(n, v)| format!("{n}: {v}\n")).collect();
        let headers = headers.concat();
        let body = String::from_utf8_lossy(body);
        let text = format!("{}\n{headers}\n{body}", request.url());
        let mut seen = lock(&self.0);
        if seen.len() == SEEN_LIMIT {
            seen.pop_front();
        }
        seen.push_back(text);
    }

    /// Counts the remembered requests that contain `text` anywhere.
    pub fn containing(&self, text: &str) -> usize {
        lock(&self.0).iter().filter(|r| r.contains(text)).count()
    }

    /// Counts the remembered requests.
    pub fn count(&self) -> usize {
        lock(&self.0).len()
    }
}

/// Reads the body, which the server has taken in whole.
pub async fn body_of(request: &mut Request) -> Vec<u8> {
    request.body_bytes().await.unwrap_or_default()
}

/// Parses a JSON body or makes the answer that refuses it.
pub fn parse<T>(body: &[u8]) -> Result<T, Box<Response>>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|error| Box::new(fault(400, &error.to_string())))
}

/// Makes an answer that reports a fault.
pub fn fault(status: u16, reason: &str) -> Response {
    json(status, &value!({ "error": reason }))
}

/// Returns a header's first value, or an empty text.
pub fn header(request: &Request, name: &str) -> String {
    let value = request.header(name);
    value.map(|v| v.as_str().to_owned()).unwrap_or_default()
}
