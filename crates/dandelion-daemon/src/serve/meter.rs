//! Counts tokens in an engine's event stream as it passes through.

use dandelion_route::ticket::Work;
use serde::Deserialize;

/// Longest line that is kept across two chunks, in bytes.
const MAX_LINE: usize = 64 * 1024;

const DATA: &[u8] = b"data:";

/// Fields of an engine's event that are counted.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct EventFields {
    token: Option<serde::de::IgnoredAny>,
    prompt_tokens: Option<u64>,
    done: bool,
}

/// Tokens seen so far in one answer.
#[derive(Debug, Default)]
pub struct TokenMeter {
    line: Vec<u8>,
    prompt: u64,
    output: u64,
    done: bool,
}

impl TokenMeter {
    /// Reads the next bytes of the answer.
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
        if self.line.len() + rest.len() <= MAX_LINE {
            self.line.extend_from_slice(rest);
        }
    }

    fn count(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(DATA) else {
            return;
        };
        let Ok(event) = serde_json::from_slice::<EventFields>(data) else {
            return;
        };
        self.output += u64::from(event.token.is_some());
        self.prompt = event.prompt_tokens.unwrap_or(self.prompt);
        self.done |= event.done;
    }

    /// Returns the generated tokens.
    pub fn output(&self) -> u64 {
        self.output
    }

    /// Returns the prompt tokens that the engine reported.
    pub fn prompt(&self) -> u64 {
        self.prompt
    }

    /// Returns the work done so far.
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
