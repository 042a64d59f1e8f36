//! Counts the tokens in an engine's event stream while it is relayed.

use dandelion_route::ticket::Work;
use serde::Deserialize;

/// Longest line that is buffered across chunks, in bytes.
const MAX_LINE_BYTES: usize = 64 * 1024;

const DATA_PREFIX: &[u8] = b"data:";

/// Fields of an engine's event that the meter reads.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventFields {
    token: Option<serde::de::IgnoredAny>,
    prompt_tokens: Option<u64>,
    done: bool,
}

/// Counts the tokens of one answer.
#[derive(Debug, Default)]
pub struct TokenMeter {
    line: Vec<u8>,
    prompt: u64,
    output: u64,
    done: bool,
}

impl TokenMeter {
    /// Counts the tokens in the next bytes of the answer.
    pub fn read(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|b| *b == b'\n') {
            if self.line.is_empty() {
                self.count(&rest[..end]);
            } else {
                self.line.extend_from_slice(&rest[..end]);
                let line = std::mem::take(&mut self.line);
                self.count(&line);
            }
            rest = &rest[end + 1..];
        }
        if self.line.len() + rest.len() <= MAX_LINE_BYTES {
            self.line.extend_from_slice(rest);
        }
    }

    fn count(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return;
        };
        let Ok(event) = serde_json::from_slice::<EventFields>(data) else {
            return;
        };
        self.output += u64::from(event.token.is_some());
        self.prompt = event.prompt_tokens.unwrap_or(self.prompt);
        self.done |= event.done;
    }

    /// Returns the number of tokens generated so far.
    pub fn output(&self) -> u64 {
        self.output
    }

    /// Returns the number of prompt tokens that the engine reported; 0 until it does.
    pub fn prompt(&self) -> u64 {
        self.prompt
    }

    /// Returns the prompt and output tokens so far.
    pub fn work(&self) -> Work {
        Work {
            prompt: self.prompt,
            output: self.output,
        }
    }

    /// Returns whether the engine marked the end of its answer.
    pub fn is_done(&self) -> bool {
        self.done
    }
}
