//! Tracks an engine's token stream, so that another engine can continue an interrupted one.

use std::borrow::Cow;

use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::upstream::UpstreamKind;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::serve::prepare;

/// Path at which engines generate tokens.
const GENERATE_PATH: &str = "/generate";

const POST: &str = "POST";
const RESUME_FROM: &str = "resume_from";
const RESUME_TEXT: &str = "resume_text";
const RESUME_SOFTWARE: &str = "resume_software";
const DATA_PREFIX: &[u8] = b"data:";

/// Longest incomplete event that is buffered, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why a stream does not continue what was passed to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// It does not continue from the last token, or its engine changes its software meanwhile.
    Gap,
    /// Other software generates it, or an engine that names none.
    OtherSoftware,
}

#[derive(Debug, Deserialize)]
struct TokenEvent<'a> {
    #[serde(default, borrow)]
    token: Option<Cow<'a, str>>,
    #[serde(default)]
    index: Option<u32>,
    #[serde(default)]
    software: SoftwareVersion,
    #[serde(default)]
    done: bool,
}

/// Returns the version of the software that generated the part which a request for tokens continues;
/// unknown if it continues none. Fails if it names no version: then no engine may continue it.
pub fn continued_software(request: &ServeRequest) -> Result<SoftwareVersion, Refusal> {
    let path = request.path.split('?').next();
    let parameters = match serde_json::from_slice::<Map<String, Value>>(&request.body) {
        Ok(parameters) if path == Some(GENERATE_PATH) => parameters,
        _ => return Ok(SoftwareVersion::default()),
    };
    let from = parameters.get(RESUME_FROM).and_then(Value::as_u64);
    let software = parameters.get(RESUME_SOFTWARE).and_then(Value::as_str);
    let software = SoftwareVersion(software.unwrap_or_default().to_owned());
    if from.unwrap_or(0) > 0 && !software.is_known() {
        return Err(Refusal::not_run(
            RefusalCode::BadRequest,
            "the request continues tokens without the software that generated them",
            "send the `software` of their events as `resume_software`, or begin anew",
        ));
    }
    Ok(software)
}

/// Tracks a generation, so that another engine can continue it.
#[derive(Debug)]
pub struct TokenTracker {
    /// JSON body of the request.
    parameters: Map<String, Value>,
    /// Index of the next token.
    next_index: u32,
    /// Text of all tokens so far.
    text: String,
    /// Version of the software that generated them.
    software: SoftwareVersion,
    /// Bytes of an incomplete event.
    partial: Vec<u8>,
    /// Whether the next token is the first one of an attempt that continues others.
    is_resumed: bool,
    has_tokens: bool,
    done: bool,
}

impl TokenTracker {
    /// Starts to track a request for tokens. Returns nothing for a request that cannot be resumed.
    pub fn open(kind: UpstreamKind, request: &ServeRequest) -> Option<Self> {
        let path = request.path.split('?').next();
        let fits = kind == UpstreamKind::Engine
            && request.idempotent
            && request.method == POST
            && path == Some(GENERATE_PATH);
        if !fits {
            return None;
        }
        let parameters: Map<String, Value> = serde_json::from_slice(&request.body).ok()?;
        let complete =
            parameters.get("prompt")?.is_string() && parameters.get("max_tokens")?.is_u64();
        let next_index = parameters.get(RESUME_FROM).and_then(Value::as_u64);
        let text = parameters.get(RESUME_TEXT).and_then(Value::as_str);
        let software = parameters.get(RESUME_SOFTWARE).and_then(Value::as_str);
        complete.then(|| Self {
            next_index: next_index.unwrap_or(0) as u32,
            text: text.unwrap_or_default().to_owned(),
            software: SoftwareVersion(software.unwrap_or_default().to_owned()),
            parameters: parameters.clone(),
            is_resumed: next_index.is_some_and(|index| index > 0),
            partial: Vec::new(),
            has_tokens: false,
            done: false,
        })
    }

    /// Adds the next bytes and returns those that belong to complete events.
    pub fn read(&mut self, bytes: Vec<u8>) -> Result<Vec<u8>, Broken> {
        let mut bytes = if self.partial.is_empty() {
            bytes
        } else {
            let mut joined = std::mem::take(&mut self.partial);
            joined.extend_from_slice(&bytes);
            joined
        };
        let complete = bytes.windows(2).rposition(|pair| pair == b"\n\n");
        let complete = complete.map_or(0, |at| at + 2);
        self.partial = bytes.split_off(complete);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(Broken::Gap);
        }
        for line in bytes.split(|b| *b == b'\n') {
            self.read_line(line)?;
        }
        Ok(bytes)
    }

    fn read_line(&mut self, line: &[u8]) -> Result<(), Broken> {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return Ok(());
        };
        let Ok(event) = serde_json::from_slice::<TokenEvent<'_>>(data) else {
            return Ok(());
        };
        self.done |= event.done;
        let Some(token) = event.token else {
            return Ok(());
        };
        if event.index.is_some_and(|index| index != self.next_index) {
            return Err(Broken::Gap);
        }
        if self.next_index > 0 && !self.software.may_continue_at(&event.software) {
            if self.is_resumed {
                return Err(Broken::OtherSoftware);
            }
            // An engine that names no software goes on with its own tokens.
            if self.software != event.software {
                return Err(Broken::Gap);
            }
        }
        self.is_resumed = false;
        self.software = event.software;
        self.has_tokens = true;
        self.next_index += 1;
        self.text.push_str(&token);
        Ok(())
    }

    /// Returns the bytes after the last complete event, when the stream has ended.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Returns whether the engine marked the end, or has sent no token event.
    pub fn is_complete(&self) -> bool {
        self.done || !self.has_tokens
    }

    /// Returns whether another engine can continue the generation; `ran` is the state of the last
    /// attempt.
    pub fn can_resume(&self, ran: Ran) -> bool {
        let is_known = self.next_index == 0 || self.software.is_known();
        !self.done && is_known && (self.has_tokens || ran == Ran::NotRun)
    }

    /// Changes `request` into one for the missing tokens. The bytes of an incomplete event are
    /// dropped.
    pub fn resume(&mut self, request: &mut ServeRequest) {
        self.partial.clear();
        self.is_resumed = true;
        request.software = self.software.clone();
        prepare::set_origin(request);
        self.parameters
            .insert(RESUME_FROM.to_owned(), self.next_index.into());
        self.parameters
            .insert(RESUME_TEXT.to_owned(), self.text.clone().into());
        request.body = serde_json::to_vec(&self.parameters).unwrap_or_default();
    }
}
