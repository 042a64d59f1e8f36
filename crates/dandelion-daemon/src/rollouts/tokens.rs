//! Reads an engine's event stream into segment reports.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_rollout::attribution::SegmentReport;
use serde::Deserialize;

const DATA: &[u8] = b"data:";

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
    done: bool,
}

/// Splits the stream into lines and joins tokens of one version into one report.
#[derive(Debug, Default)]
pub struct TokenReader {
    rest: Vec<u8>,
    done: bool,
    tokens: u32,
}

impl TokenReader {
    /// Reads the next bytes and returns what they report, in order.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<SegmentReport> {
        self.rest.extend_from_slice(bytes);
        let mut reports = Vec::new();
        let whole = self
            .rest
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |at| at + 1);
        let lines: Vec<u8> = self.rest.drain(..whole).collect();
        for line in lines.split(|b| *b == b'\n') {
            self.read_line(line, &mut reports);
        }
        reports
    }

    fn read_line(&mut self, line: &[u8], reports: &mut Vec<SegmentReport>) {
        let Some(data) = line.strip_prefix(DATA) else {
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
            Some(last) if continues(last, &event) => {
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
            }),
        }
    }

    /// Returns whether the engine marked the end.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the tokens read.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}

fn continues(last: &SegmentReport, event: &TokenEvent) -> bool {
    last.end == event.index && last.last == event.version && last.boot == event.boot
}
