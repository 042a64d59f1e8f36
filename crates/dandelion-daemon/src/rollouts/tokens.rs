//! Parses an engine's event stream into segment reports.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_rollout::attribution::SegmentReport;
use serde::Deserialize;

/// Prefix of an event's data line.
const DATA_PREFIX: &[u8] = b"data:";

/// Longest incomplete line that is buffered, in bytes.
const MAX_LINE_BYTES: usize = 256 * 1024;

/// Data of one event: a token, or the end of the stream.
#[derive(Debug, Deserialize)]
struct TokenEvent {
    #[serde(default)]
    token: Option<String>,
    #[serde(default)]
    index: u32,
    #[serde(default)]
    version: Option<WeightVersion>,
    #[serde(default)]
    boot: Incarnation,
    #[serde(default)]
    software: SoftwareVersion,
    #[serde(default)]
    done: bool,
}

/// Incremental parser, which joins consecutive tokens of one version into one report. Lines that it
/// cannot parse are ignored.
#[derive(Debug, Default)]
pub struct TokenReader {
    /// Bytes after the last complete line.
    buffer: Vec<u8>,
    done: bool,
    broken: bool,
    tokens: u32,
}

impl TokenReader {
    /// Parses the next bytes; returns the reports of the lines that they complete, in order.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<SegmentReport> {
        self.buffer.extend_from_slice(bytes);
        let mut reports = Vec::new();
        let complete = self
            .buffer
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |at| at + 1);
        let lines: Vec<u8> = self.buffer.drain(..complete).collect();
        for line in lines.split(|b| *b == b'\n') {
            self.read_line(line, &mut reports);
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            self.buffer = Vec::new();
            self.broken = true;
        }
        reports
    }

    fn read_line(&mut self, line: &[u8], reports: &mut Vec<SegmentReport>) {
        let Some(data) = line.strip_prefix(DATA_PREFIX) else {
            return;
        };
        let Ok(event) = serde_json::from_slice::<TokenEvent>(data) else {
            return;
        };
        self.done |= event.done;
        let Some(text) = event.token.as_deref() else {
            return;
        };
        self.tokens += 1;
        match reports.last_mut() {
            Some(last) if extends(last, &event) => {
                last.end += 1;
                last.text.push_str(text);
            }
            _ => reports.push(SegmentReport {
                boot: event.boot,
                start: event.index,
                end: event.index + 1,
                first: event.version,
                last: event.version,
                swap_at: None,
                text: text.to_owned(),
                software: event.software,
            }),
        }
    }

    /// Returns whether the engine has marked the end of its answer.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns whether a line was too long to be one of an event stream.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Returns the number of tokens read.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

fn extends(last: &SegmentReport, event: &TokenEvent) -> bool {
    last.end == event.index
        && last.last == event.version
        && last.boot == event.boot
        && last.software == event.software
}
