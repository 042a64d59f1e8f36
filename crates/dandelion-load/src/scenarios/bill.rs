//! Compares the usage reported to the platform with the answers that callers received.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_fakes::platform::UsageRecord;
use dandelion_fleet::usage::WindowFigures;
use dandelion_net::clock;
use dandelion_protocol::time::Millis;

/// Upper bound of the delay until a daemon's usage counters are copied to another daemon. A killed
/// daemon may lose the usage of calls that ended within this time before the kill.
const COPY_DELAY: Millis = Millis(500);

/// Time after a window's end from which its first report counts as late; allows for one takeover.
const LATE_AFTER: Millis = Millis(5000);

/// One call, as seen by its caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the team that is billed.
    pub team: String,
    /// Zone of the engine that answers the call.
    pub zone: &'static str,
    /// Requested tokens; 0 if the call was refused or not sent.
    pub tokens: u64,
    /// Time of the call's end on the boot-time clock.
    pub ended: Millis,
    /// Whether the complete answer was received.
    pub complete: bool,
}

/// A daemon that was killed.
#[derive(Debug, Clone, Copy)]
pub struct Kill {
    /// Time of the kill on the boot-time clock.
    pub at: Millis,
    /// Zone of the daemon.
    pub zone: &'static str,
}

impl Kill {
    fn may_lose(&self, call: &Call) -> bool {
        let recent = call.ended <= self.at && self.at <= call.ended + COPY_DELAY;
        recent && self.zone == call.zone
    }
}

/// All calls of a run, of all teams.
#[derive(Debug, Default)]
pub struct CallLog {
    /// The calls, grouped by caller.
    pub calls: Vec<Call>,
}

/// Comparison of the calls with the bill, summed over the teams. All but the first two counts are
/// tokens.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Calls with a complete answer.
    pub complete: usize,
    /// Calls without a complete answer.
    pub failed: usize,
    /// Tokens of complete answers.
    pub delivered: u64,
    /// Tokens billed to the teams that called.
    pub billed: u64,
    /// Delivered but not billed, in excess of `bound`.
    pub missing: u64,
    /// Delivered but not billed, up to `bound`.
    pub uncopied: u64,
    /// Most tokens that the kills can have lost.
    pub bound: u64,
    /// Billed in excess of the tokens of complete answers and those requested by failed calls.
    pub doubled: u64,
}

/// Summary of the usage reports that the platform received.
#[derive(Debug, Default)]
pub struct Bill {
    /// Distinct windows reported.
    pub windows: usize,
    /// Windows reported with different bodies.
    pub differing: usize,
    /// Windows without a report between the first and the last reported one.
    pub skipped: u64,
    /// Windows whose first report was late.
    pub late: usize,
    /// Longest time from a window's end to its first report, in seconds.
    pub late_s_max: f64,
    /// Reports with a stale term, or by another issuer than the first one of their term.
    pub by_two: usize,
    /// Number of distinct terms in the reports.
    pub terms: usize,
    teams: BTreeMap<String, u64>,
}

impl Bill {
    /// Summarizes reports, in order of arrival, of windows that are `window_s` seconds long.
    pub fn read(reports: &[UsageRecord], window_s: u64) -> anyhow::Result<Self> {
        let mut bill = Self::default();
        let mut bodies: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        let mut issuers: BTreeMap<u64, &str> = BTreeMap::new();
        for report in reports {
            let window: u64 = report.window.parse()?;
            let reported = bodies.entry(window).or_default();
            if reported.is_empty() {
                bill.add_first(report, window, window_s)?;
            }
            reported.insert(&report.body);
            let newest = issuers.last_key_value().map_or(0, |(term, _)| *term);
            let issuer = issuers.entry(report.term.0).or_insert(&report.issuer);
            let other_issuer = *issuer != report.issuer;
            bill.by_two += usize::from(report.term.0 < newest || other_issuer);
        }
        bill.windows = bodies.len();
        bill.differing = bodies.values().filter(|b| b.len() > 1).count();
        bill.terms = issuers.len();
        let (first, last) = (bodies.first_key_value(), bodies.last_key_value());
        if let (Some((first, _)), Some((last, _))) = (first, last) {
            bill.skipped = last - first + 1 - bodies.len() as u64;
        }
        Ok(bill)
    }

    fn add_first(
        &mut self,
        report: &UsageRecord,
        window: u64,
        window_s: u64,
    ) -> anyhow::Result<()> {
        let figures: WindowFigures = serde_json::from_str(&report.body)?;
        for row in figures.usage.iter().chain(&figures.late) {
            let sum = self.teams.entry(row.team.to_string()).or_default();
            *sum += row.counts.output_tokens;
        }
        let offset = clock::wall_now().0.saturating_sub(clock::boot_now().0);
        let end = ((window + 1) * window_s * 1000).saturating_sub(offset);
        let after = report.at.since(Millis(end));
        self.late += usize::from(after > LATE_AFTER);
        self.late_s_max = self.late_s_max.max(after.0 as f64 / 1000.0);
        Ok(())
    }

    /// Returns the output tokens billed to all teams.
    pub fn output(&self) -> u64 {
        self.teams.values().sum()
    }
}

impl CallLog {
    /// Compares the calls with the bill, team by team; `kills` are the kills that may lose usage.
    pub fn compare(&self, bill: &Bill, kills: &[Kill]) -> Tally {
        let teams: BTreeSet<&str> = self.calls.iter().map(|c| c.team.as_str()).collect();
        let mut tally = Tally::default();
        for team in teams {
            let billed = bill.teams.get(team).copied().unwrap_or(0);
            let calls: Vec<&Call> = self.calls.iter().filter(|c| c.team == team).collect();
            tally.add(&calls, billed, kills);
        }
        tally
    }
}

impl Tally {
    fn add(&mut self, calls: &[&Call], billed: u64, kills: &[Kill]) {
        let sum = |include: &dyn Fn(&Call) -> bool| -> u64 {
            let included = calls.iter().filter(|c| include(c));
            included.map(|c| c.tokens).sum()
        };
        let complete = sum(&|c| c.complete);
        let failed = sum(&|c| !c.complete);
        let may_be_lost = |c: &Call| kills.iter().any(|k| k.may_lose(c));
        let bound = sum(&|c| c.complete && may_be_lost(c));
        let shortfall = complete.saturating_sub(billed);
        self.complete += calls.iter().filter(|c| c.complete).count();
        self.failed += calls.iter().filter(|c| !c.complete).count();
        self.delivered += complete;
        self.billed += billed;
        self.bound += bound;
        self.uncopied += shortfall.min(bound);
        self.missing += shortfall.saturating_sub(bound);
        self.doubled += billed.saturating_sub(complete + failed);
    }
}
