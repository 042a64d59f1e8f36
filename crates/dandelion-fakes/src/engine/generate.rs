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

use crate::engine::state::BatchSlot;
use crate::support::lock;

/// Returns token `index` of the answer to `prompt`; it depends on nothing else.
pub fn token(prompt: &str, index: u32) -> String {
    let mut hasher = DefaultHasher::new();
    prompt.hash(&mut hasher);
    index.hash(&mut hasher);
    format!("t{:04x} ", hasher.finish() & 0xffff)
}

/// A request in progress.
#[derive(Debug)]
pub struct Generation {
    pub slot: BatchSlot,
    pub prompt: String,
    /// Index of the next token to generate.
    pub next: u32,
    /// Index after the last token.
    pub end: u32,
    pub cancel: Signal,
    /// Weight version of the first token generated here.
    pub first_version: Option<u64>,
    pub done: bool,
}

impl Generation {
    /// Returns the request's server-sent events.
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
        let delay = self.token_delay();
        if !delay.is_zero() {
            async_std::task::sleep(delay).await;
        }
        Some(self.token_event())
    }

    fn token_event(&mut self) -> Vec<u8> {
        let state = &self.slot.state;
        let version = state.version.load(Ordering::SeqCst);
        self.first_version.get_or_insert(version);
        lock(&state.counts).tokens += 1;
        let index = self.next;
        self.next += 1;
        let token = token(&self.prompt, index);
        let software = &state.config.software;
        format!(
            "data: {{\"token\":\"{token}\",\"index\":{index},\"version\":{version},\"software\":\"{software}\"}}\n\n"
        )
        .into_bytes()
    }

    fn finish(&mut self) -> Vec<u8> {
        self.done = true;
        self.slot.finished = true;
        let version = self.slot.state.version.load(Ordering::SeqCst);
        data(&json!({
            "done": true,
            "tokens": self.next,
            "version_start": self.first_version.unwrap_or(version),
            "version_end": version,
        }))
    }

    fn token_delay(&self) -> Duration {
        let config = &self.slot.state.config;
        let running = self.slot.state.running.load(Ordering::SeqCst);
        let fill = f64::from(running.saturating_sub(1)) / f64::from(config.capacity.max(1));
        config.token_time.mul_f64(1.0 + config.slowdown * fill)
    }
}

fn data(value: &serde_json::Value) -> Vec<u8> {
    format!("data: {value}\n\n").into_bytes()
}
