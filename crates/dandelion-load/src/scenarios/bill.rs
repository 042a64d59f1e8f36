//! Compares what the platform was told with what callers got.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_fakes::platform::UsageRecord;
use dandelion_fleet::usage::WindowFigures;
use dandelion_net::clock;
use dandelion_protocol::time::Millis;

/// Usage that a killed daemon may lose: what ended within this time before its death.
const UNCOPIED: Millis = Millis(500);

/// Time after a window's end at which its first report counts as late; covers one takeover.
const LATE_AFTER: Millis = Millis(5000);

/// One call as its caller saw it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Billed team.
    pub team: String,
    /// Zone whose engine answers it.
    pub zone: &'static str,
    /// Tokens asked for; 0 if it was refused before it began.
    pub tokens: u64,
    /// When it ended, on the boot-time clock.
    pub ended: Millis,
    /// Whether the whole answer came.
    pub whole: bool,
}

/// A daemon that was killed.
#[derive(Debug, Clone, Copy)]
pub struct Kill {
    /// When, on the boot-time clock.
    pub at: Millis,
    /// Its zone.
    pub zone: &'static str,
}

impl Kill {
    fn explains(&self, call: &Call) -> bool {
        let recent = call.ended <= self.at && self.at <= call.ended + UNCOPIED;
        recent && self.zone == call.zone
    }
}

/// All calls of a run.
#[derive(Debug, Default)]
pub struct Delivered {
    /// The calls.
    pub calls: Vec<Call>,
}

/// Differences between calls and bill, in tokens, summed over teams.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Whole answers.
    pub whole: usize,
    /// Calls without a whole answer.
    pub failed: usize,
    /// Tokens of whole answers.
    pub delivered: u64,
    /// Tokens billed.
    pub billed: u64,
    /// Delivered and not billed, beyond what kills explain.
    pub missing: u64,
    /// Delivered and not billed, within what kills explain.
    pub uncopied: u64,
    /// The most that kills explain.
    pub bound: u64,
    /// Billed beyond whole answers and all that failed calls asked for.
    pub doubled: u64,
}

/// What the platform was told.
#[derive(Debug, Default)]
pub struct Bill {
    /// Windows reported.
    pub windows: usize,
    /// Windows reported with different bodies.
    pub differing: usize,
    /// Windows left out between the first and the last.
    pub skipped: u64,
    /// Windows whose first report came late.
    pub late: usize,
    /// Longest time from a window's end to its first report, in seconds.
    pub late_s_max: f64,
    /// Reports under an outdated term, or by a second issuer under one term.
    pub by_two: usize,
    /// Terms that reported.
    pub terms: usize,
    teams: BTreeMap<String, u64>,
}

impl Bill {
    /// Reads the reports of windows of `window_s` seconds, in the order in which they came.
    pub fn read(reports: &[UsageRecord], window_s: u64) -> anyhow::Result<Self> {
        let mut bill = Self::default();
        let mut bodies: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
        let mut issuers: BTreeMap<u64, &str> = BTreeMap::new();
        for report in reports {
            let window: u64 = report.window.parse()?;
            let seen = bodies.entry(window).or_default();
            if seen.is_empty() {
                bill.first(report, window, window_s)?;
            }
            seen.insert(&report.body);
            let newest = issuers.last_key_value().map_or(0, |(term, _)| *term);
            let issuer = issuers.entry(report.term.0).or_insert(&report.issuer);
            let second = *issuer != report.issuer;
            bill.by_two += usize::from(report.term.0 < newest || second);
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

    fn first(&mut self, report: &UsageRecord, window: u64, window_s: u64) -> anyhow::Result<()> {
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

impl Delivered {
    /// Compares the calls with the bill, team by team; `kills` explain losses.
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
        let sum = |take: &dyn Fn(&Call) -> bool| -> u64 {
            let taken = calls.iter().filter(|c| take(c));
            taken.map(|c| c.tokens).sum()
        };
        let whole = sum(&|c| c.whole);
        let failed = sum(&|c| !c.whole);
        let explained = |c: &Call| kills.iter().any(|k| k.explains(c));
        let bound = sum(&|c| c.whole && explained(c));
        let short = whole.saturating_sub(billed);
        self.whole += calls.iter().filter(|c| c.whole).count();
        self.failed += calls.iter().filter(|c| !c.whole).count();
        self.delivered += whole;
        self.billed += billed;
        self.bound += bound;
        self.uncopied += short.min(bound);
        self.missing += short.saturating_sub(bound);
        self.doubled += billed.saturating_sub(whole + failed);
    }
}
