//! Follows an engine's token stream, so that another engine can go on where it broke.

use std::borrow::Cow;

use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::upstream::UpstreamKind;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::serve::prepare;

/// Path of engines that generate.
const GENERATE_PATH: &str = "/generate";

const POST: &str = "POST";
const RESUME_FROM: &str = "resume_from";
const RESUME_TEXT: &str = "resume_text";
const DATA: &[u8] = b"data:";

/// Longest event that is held back until it is whole, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// The stream does not follow on from what was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the engine's stream repeats or skips tokens; break the answer off")]
pub struct Gap;

#[derive(Debug, Deserialize)]
struct TokenEvent<'a> {
    #[serde(default, borrow)]
    token: Option<Cow<'a, str>>,
    #[serde(default)]
    index: Option<u32>,
    #[serde(default)]
    done: bool,
}

/// What is known of a generation that another engine can finish.
#[derive(Debug)]
pub struct Follower {
    ask: Map<String, Value>,
    next: u32,
    text: String,
    rest: Vec<u8>,
    seen: bool,
    done: bool,
}

impl Follower {
    /// Follows a request for tokens; nothing if it is of another form.
    pub fn open(kind: UpstreamKind, request: &ServeRequest) -> Option<Self> {
        let path = request.path.split('?').next();
        let fits = kind == UpstreamKind::Engine
            && request.idempotent
            && request.method == POST
            && path == Some(GENERATE_PATH);
        if !fits {
            return None;
        }
        let ask: Map<String, Value> = serde_json::from_slice(&request.body).ok()?;
        let whole = ask.get("prompt")?.is_string() && ask.get("max_tokens")?.is_u64();
        let next = ask.get(RESUME_FROM).and_then(Value::as_u64);
        let text = ask.get(RESUME_TEXT).and_then(Value::as_str);
        whole.then(|| Self {
            next: next.unwrap_or(0) as u32,
            text: text.unwrap_or_default().to_owned(),
            ask: ask.clone(),
            rest: Vec::new(),
            seen: false,
            done: false,
        })
    }

    /// Takes the next bytes in and returns the whole events among them.
    pub fn read(&mut self, bytes: Vec<u8>) -> Result<Vec<u8>, Gap> {
        let mut bytes = if self.rest.is_empty() {
            bytes
        } else {
            let mut joined = std::mem::take(&mut self.rest);
            joined.extend_from_slice(&bytes);
            joined
        };
        let whole = bytes.windows(2).rposition(|pair| pair == b"\n\n");
        let whole = whole.map_or(0, |at| at + 2);
        self.rest = bytes.split_off(whole);
        if self.rest.len() > MAX_EVENT {
            return Err(Gap);
        }
        for line in bytes.split(|b| *b == b'\n') {
            self.read_line(line)?;
        }
        Ok(bytes)
    }

    fn read_line(&mut self, line: &[u8]) -> Result<(), Gap> {
        let Some(data) = line.strip_prefix(DATA) else {
            return Ok(());
        };
        let Ok(event) = serde_json::from_slice::<TokenEvent<'_>>(data) else {
            return Ok(());
        };
        self.done |= event.done;
        let Some(token) = event.token else {
            return Ok(());
        };
        if event.index.is_some_and(|index| index != self.next) {
            return Err(Gap);
        }
        self.seen = true;
        self.next += 1;
        self.text.push_str(&token);
        Ok(())
    }

    /// Returns bytes that belong to no whole event, when the stream has ended.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.rest)
    }

    /// Returns whether the engine marked the end, or never sent a token event.
    pub fn is_whole(&self) -> bool {
        self.done || !self.seen
    }

    /// Returns whether another engine can go on.
    pub fn can_resume(&self, ran: Ran) -> bool {
        !self.done && (self.seen || ran == Ran::NotRun)
    }

    /// Changes `request` into one for the tokens that are missing. Bytes of an event that broke
    /// off are dropped.
    pub fn resume(&mut self, request: &mut ServeRequest) {
        self.rest.clear();
        prepare::keep_origin(request);
        self.ask.insert(RESUME_FROM.to_owned(), self.next.into());
        self.ask
            .insert(RESUME_TEXT.to_owned(), self.text.clone().into());
        request.body = serde_json::to_vec(&self.ask).unwrap_or_default();
    }
}
