//! Generates the token stream of one request.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dandelion_net::Signal;
use dandelion_net::http::body;
use futures::Stream;
use serde_json::json;

use crate::engine::state::Place;
use crate::intake::lock;

/// Returns token `index` of the answer to `prompt`; every engine generates the same.
pub fn token(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    format!("t{:04x} ", hasher.finish() & 0xffff)
}

/// One request under way.
#[derive(Debug)]
pub struct Generation {
    pub place: Place,
    pub prompt: String,
    pub next: u32,
    pub end: u32,
    pub cancel: Signal,
    pub first: Option<u64>,
    pub done: bool,
}

impl Generation {
    /// Turns the request into its event stream.
    pub fn events(self) -> impl Stream<Item = Result<Vec<u8>, body::BodyAborted>> + Send + 'static {
        futures::stream::unfold(self, |mut generation| async {
            let event = generation.event().await?;
            Some((Ok(event), generation))
        })
    }

    async fn event(&mut self) -> Option<Vec<u8>> {
        if self.done {
            return None;
        }
        if self.cancel.is_raised() {
            self.done = true;
            return Some(data(&json!({ "cancelled": true, "tokens": self.next })));
        }
        if self.next >= self.end {
            return Some(self.finish());
        }
        let span = self.token_span();
        if !span.is_zero() {
            async_std::task::sleep(span).await;
        }
        Some(self.token_event())
    }

    fn token_event(&mut self) -> Vec<u8> {
        let state = &self.place.state;
        let version = state.version.load(Ordering::SeqCst);
        self.first.get_or_insert(version);
        lock(&state.counts).tokens += 1;
        let index = self.next;
        self.next += 1;
        let token = token(&self.prompt, index);
        format!("data: {{\"token\":\"{token}\",\"index\":{index},\"version\":{version}}}\n\n")
            .into_bytes()
    }

    fn finish(&mut self) -> Vec<u8> {
        self.done = true;
        self.place.finished = true;
        let version = self.place.state.version.load(Ordering::SeqCst);
        data(&json!({
            "done": true,
            "tokens": self.next,
            "version_start": self.first.unwrap_or(version),
            "version_end": version,
        }))
    }

    fn token_span(&self) -> Duration {
        let config = &self.place.state.config;
        let running = self.place.state.running.load(Ordering::SeqCst);
        let fill = f64::from(running.saturating_sub(1)) / f64::from(config.capacity.max(1));
        config.token_time.mul_f64(1.0 + config.slowdown * fill)
    }
}

fn data(value: &serde_json::Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
