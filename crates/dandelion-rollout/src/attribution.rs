//! Attribution of generated tokens to weight versions, solely from what engines report.

use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::rollout::Segment;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// An engine's report on a run of consecutive generated tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// Incarnation of the engine that generated the tokens; a restart changes it.
    pub boot: Incarnation,
    /// First token, counted from the start of the sample.
    pub start: u32,
    /// One past the last token.
    pub end: u32,
    /// Version loaded at the first token.
    pub first: Option<WeightVersion>,
    /// Version loaded at the last token.
    pub last: Option<WeightVersion>,
    /// First token under `last`, if the version changed and the engine knows where.
    pub swap_at: Option<u32>,
    /// Text of these tokens.
    pub text: String,
    /// Version of the engine's software; unknown if it names none.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// Why tokens cannot be attributed. Such tokens are never delivered.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discard {
    /// The version changed within a report and the boundary is not known.
    #[error("version changed at an unknown token; let the engine report the boundary of a swap")]
    UnknownBoundary,
    /// The report names no version.
    #[error("no version reported; check that the engine reports versions per segment")]
    NoVersion,
    /// The engine restarted since the attempt began.
    #[error("engine restarted under the same address; the attempt is generated again")]
    Restarted,
    /// The report skips tokens or repeats some.
    #[error("reports do not follow each other; the attempt is generated again")]
    Gap,
    /// Other software, or an engine that names none, generated the tokens that it continues.
    #[error("other software continues the attempt; it is generated again")]
    OtherSoftware,
    /// The version was never published for the job.
    #[error("engine reports an unpublished version; check which weights it loaded")]
    Unpublished,
}

/// A part of a sample whose tokens are all attributed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prefix {
    /// Generated text so far.
    pub text: String,
    /// Weight versions of its tokens, in order and without gaps.
    pub segments: Vec<Segment>,
    /// Numbers of the attempts that generated them, in order.
    pub attempts: Vec<u64>,
    /// Version of the software that generated it.
    pub software: SoftwareVersion,
}

impl Prefix {
    /// Returns its length in tokens.
    pub fn tokens(&self) -> u32 {
        self.segments.last().map_or(0, |segment| segment.end)
    }

    /// Returns the oldest version that generated a token of it, or none if it is empty.
    pub fn oldest(&self) -> Option<WeightVersion> {
        self.segments.iter().map(|segment| segment.version).min()
    }
}

/// Builds the segments of one attempt from the reports of the engine that runs it.
#[derive(Debug, Clone)]
pub struct SegmentBuilder {
    prefix: Prefix,
    attempt: u64,
    boot: Option<Incarnation>,
}

impl SegmentBuilder {
    /// Starts the attempt numbered `attempt`, which continues `prefix`.
    pub fn resume(prefix: Prefix, attempt: u64) -> Self {
        Self {
            prefix,
            attempt,
            boot: None,
        }
    }

    /// Borrows the attributed tokens so far, those of earlier attempts included.
    pub fn prefix(&self) -> &Prefix {
        &self.prefix
    }

    /// Returns the attributed tokens, those of earlier attempts included.
    pub fn into_prefix(self) -> Prefix {
        self.prefix
    }

    /// Adds a report; on an error the prefix is unchanged.
    pub fn add(&mut self, report: &SegmentReport, newest: WeightVersion) -> Result<(), Discard> {
        let boot = *self.boot.get_or_insert(report.boot);
        if boot != report.boot {
            return Err(Discard::Restarted);
        }
        if report.start != self.prefix.tokens() || report.end < report.start {
            return Err(Discard::Gap);
        }
        let is_continued = self.prefix.tokens() > 0;
        let own = self.prefix.attempts.last() == Some(&self.attempt);
        if is_continued && !own && !self.prefix.software.may_continue_at(&report.software) {
            return Err(Discard::OtherSoftware);
        }
        let first = report.first.ok_or(Discard::NoVersion)?;
        let last = report.last.ok_or(Discard::NoVersion)?;
        if first.max(last) > newest {
            return Err(Discard::Unpublished);
        }
        let boundary = boundary(report, first, last)?;
        self.push(first, report.start, boundary);
        self.push(last, boundary, report.end);
        self.prefix.text.push_str(&report.text);
        self.prefix.software = report.software.clone();
        Ok(())
    }

    fn push(&mut self, version: WeightVersion, start: u32, end: u32) {
        if start == end {
            return;
        }
        if self.prefix.attempts.last() != Some(&self.attempt) {
            self.prefix.attempts.push(self.attempt);
        }
        match self.prefix.segments.last_mut() {
            Some(segment) if segment.version == version => segment.end = end,
            _ => self.prefix.segments.push(Segment {
                version,
                start,
                end,
            }),
        }
    }
}

fn boundary(
    report: &SegmentReport,
    first: WeightVersion,
    last: WeightVersion,
) -> Result<u32, Discard> {
    match report.swap_at {
        None if first == last => Ok(report.end),
        Some(at) if first != last && (report.start..=report.end).contains(&at) => Ok(at),
        _ => Err(Discard::UnknownBoundary),
    }
}
