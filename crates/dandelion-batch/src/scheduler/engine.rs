//! The scheduler's estimate of an engine's state.

use std::collections::BTreeMap;

use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;

use crate::scheduler::permits::Allowance;

/// Time for which an engine is skipped after its first failure; doubles with each further one.
const MIN_FAILURE_PAUSE: Millis = Millis(200);

/// Longest time for which an engine is skipped after a failure.
const MAX_FAILURE_PAUSE: Millis = Millis(2_000);

/// Time for which an engine is skipped after it first refused a run; doubles with each further
/// refusal.
const MIN_REFUSAL_PAUSE: Millis = Millis(60);

/// Longest time for which an engine is skipped after it refused a run.
const MAX_REFUSAL_PAUSE: Millis = Millis(500);

/// Weight of the newest measurement in the moving average of the event interval.
const INTERVAL_WEIGHT: f64 = 0.3;

/// Age from which a measured event interval is ignored: slowdowns of engines last for seconds.
const MAX_INTERVAL_AGE: Millis = Millis(4_000);

/// If a run is refused less than this long after the expected end of a load of its model, the load
/// is taken to be still running.
const LOAD_SLACK: Millis = Millis(1_000);

/// Time after the expected end of a load in which another sign that it is still running counts.
const MAX_LATENESS: Millis = Millis(3_000);

/// When a refused run shows that a load is still running, the load is expected to last at least
/// this much longer; doubles with each further refusal.
const LOAD_EXTENSION: Millis = Millis(100);

/// A load of a version in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loading {
    /// Model of the version.
    pub model: String,
    /// Version that is loaded.
    pub version: u64,
    /// When the engine accepted the order; before that, when the order was sent.
    pub since: Millis,
    /// Expected end; before the order is accepted, when the order counts as lost.
    pub until: Millis,
    /// Whether it is known to have taken longer than expected.
    pub is_late: bool,
    /// Number of times that its expected end was put off.
    pub extensions: u32,
}

/// An engine as the scheduler sees it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its newest announcement.
    pub life: UpstreamIncarnation,
    /// Tokens that fit in its memory; 0 if there is no known limit.
    pub memory: u64,
    /// Known versions by model.
    pub versions: BTreeMap<String, u64>,
    /// Number of the latest report that `versions` include.
    pub reported: u64,
    /// Number of runs in progress.
    pub runs: u32,
    /// Number of runs in progress by model.
    pub by_model: BTreeMap<String, u32>,
    /// Predicted tokens of the runs in progress.
    pub tokens: u64,
    /// Load in progress.
    pub loading: Option<Loading>,
    /// Latest load whose expected end has passed.
    loaded: Option<Loading>,
    /// Whether neither a run nor a report has shown that the latest load has ended.
    is_unproven: bool,
    /// Whether a run that can show it was sent. Runs that began before the load can't.
    is_tested: bool,
    /// Time before which no order is sent.
    pub order_after: Millis,
    /// Moving average of the event interval in milliseconds, and when it was last measured.
    interval: Option<(f64, Millis)>,
    paused_until: Millis,
    failures: u32,
    refusals: u32,
    /// Whether a single run is testing whether the engine works again.
    probing: bool,
    /// Permits, if it names a limit on the requests that it takes.
    allowance: Option<Allowance>,
}

impl Engine {
    /// Creates the state of an idle engine of which nothing but its announcement is known.
    pub fn open(life: UpstreamIncarnation, memory: u64) -> Self {
        Self {
            life,
            memory,
            versions: BTreeMap::new(),
            reported: 0,
            runs: 0,
            by_model: BTreeMap::new(),
            tokens: 0,
            loading: None,
            loaded: None,
            is_unproven: false,
            is_tested: false,
            order_after: Millis::ZERO,
            interval: None,
            paused_until: Millis::ZERO,
            failures: 0,
            refusals: 0,
            probing: false,
            allowance: None,
        }
    }

    /// Returns whether it can be sent another run; which models it can serve is up to
    /// [`Self::may_serve`].
    pub fn accepts_runs(&self, now: Millis) -> bool {
        let is_allowed = self.allowance.as_ref().is_none_or(|a| a.has_permit(now));
        is_allowed && self.has_room(now)
    }

    /// Returns whether it can be sent another run if a permit for it is left.
    fn has_room(&self, now: Millis) -> bool {
        self.life.ready && self.runs < self.life.slots && now >= self.paused_until && !self.probing
    }

    /// Records whether the engine names a limit, so that each run needs a permit.
    pub fn set_limited(&mut self, is_limited: bool) {
        if is_limited {
            self.allowance.get_or_insert_default();
        } else {
            self.allowance = None;
        }
    }

    /// Returns the permits that it has or that are asked for; none if it names no limit.
    pub fn allowance_mut(&mut self) -> Option<&mut Allowance> {
        self.allowance.as_mut()
    }

    /// Returns the runs for which permits are at hand or asked for.
    pub fn permitted_runs(&self, now: Millis) -> u32 {
        let allowance = self.allowance.as_ref();
        allowance.map_or(0, |a| a.count(now) + a.asked(now))
    }

    /// Returns the number of permits to ask for if there is enough to run; zero if it names no limit
    /// or can't be sent a run for another reason.
    pub fn missing_permits(&self, now: Millis) -> u32 {
        let allowance = self.allowance.as_ref().filter(|a| a.may_ask(now));
        if allowance.is_none() || !self.has_room(now) {
            return 0;
        }
        let is_tested = self.failures > 0 || self.refusals > 0;
        if is_tested {
            1
        } else {
            self.life.slots - self.runs
        }
    }

    /// Counts a run that is sent. The first one after a failure or refusal is a probe: no other is
    /// sent until it has received an event or ended.
    pub fn add_run(&mut self, model: Option<&str>, tokens: u64) {
        self.runs += 1;
        self.tokens = self.tokens.saturating_add(tokens);
        if let Some(model) = model {
            *self.by_model.entry(model.to_owned()).or_insert(0) += 1;
            self.is_tested |= self.is_unproven(model);
        }
        self.probing = self.failures > 0 || self.refusals > 0;
    }

    /// Removes a run that ended from the counts.
    pub fn remove_run(&mut self, model: Option<&str>, tokens: u64) {
        self.runs = self.runs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
        if let Some(runs) = model.and_then(|model| self.by_model.get_mut(model)) {
            *runs = runs.saturating_sub(1);
        }
        self.probing = false;
        if model.is_some_and(|model| self.is_unproven(model)) {
            self.is_tested = false;
        }
    }

    /// Returns whether the latest load was one of the model and has not been shown to have ended.
    fn is_unproven(&self, model: &str) -> bool {
        let is_loaded = |load: &Loading| load.model == model;
        self.is_unproven && self.loaded.as_ref().is_some_and(is_loaded)
    }

    /// Returns the number of runs in progress of a model.
    pub fn runs_of(&self, model: &str) -> u32 {
        self.by_model.get(model).copied().unwrap_or(0)
    }

    /// Returns whether a load is in progress.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.loading.as_ref().is_some_and(|l| now < l.until)
    }

    /// Returns whether it is skipped because of a recent failure.
    pub fn is_paused(&self, now: Millis) -> bool {
        self.failures > 0 && now < self.paused_until
    }

    /// Returns whether it may have a sufficient version of a model and is not loading that model; a
    /// load blocks only runs of its own model. An engine that has not reported its version of the
    /// model gets a single run, whose answer names the version; so does one whose load should have
    /// ended, because it may take longer.
    pub fn may_serve(&self, now: Millis, model: Option<&str>, min_version: u64) -> bool {
        let Some(model) = model else {
            return true;
        };
        let loads = self
            .loading
            .as_ref()
            .is_some_and(|l| l.model == model && now < l.until);
        if loads {
            return false;
        }
        match self.versions.get(model) {
            Some(_) if self.is_tested && self.is_unproven(model) => false,
            Some(version) => *version >= min_version,
            None => self.runs_of(model) == 0,
        }
    }

    /// Returns whether another run with this number of tokens fits in its memory.
    pub fn fits_memory(&self, tokens: u64) -> bool {
        self.runs == 0 || self.memory == 0 || self.tokens.saturating_add(tokens) <= self.memory
    }

    /// Returns the share of its slots in use.
    pub fn utilization(&self) -> f64 {
        f64::from(self.runs) / f64::from(self.life.slots.max(1))
    }

    /// Records a failed connection or an unusable answer.
    pub fn record_failure(&mut self, now: Millis) {
        let pause = Millis(MIN_FAILURE_PAUSE.0 << self.failures.min(8));
        self.failures += 1;
        self.paused_until = now + pause.min(MAX_FAILURE_PAUSE);
    }

    /// Records that it refused a run.
    pub fn record_refusal(&mut self, now: Millis) {
        let pause = Millis(MIN_REFUSAL_PAUSE.0 << self.refusals.min(8));
        self.refusals += 1;
        self.paused_until = self.paused_until.max(now + pause.min(MAX_REFUSAL_PAUSE));
    }

    /// Records that a run made progress, which ends the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.probing = false;
    }

    /// Returns the average time between two events of a run, in milliseconds, if it was measured
    /// recently.
    pub fn event_interval(&self, now: Millis) -> Option<f64> {
        let recent = self.interval.filter(|(_, at)| now < *at + MAX_INTERVAL_AGE);
        recent.map(|(interval, _)| interval)
    }

    /// Adds a measured event interval to the moving average.
    pub fn record_interval(&mut self, now: Millis, interval: f64) {
        let average = self.event_interval(now).unwrap_or(interval);
        self.interval = Some((average + INTERVAL_WEIGHT * (interval - average), now));
    }

    /// Ends a load whose expected end has passed: the engine is assumed to have the version. Returns
    /// whether one has ended for the first time.
    pub fn finish_load(&mut self, now: Millis) -> bool {
        let Some(loading) = self.loading.take_if(|l| now >= l.until) else {
            return false;
        };
        let known = self.versions.entry(loading.model.clone()).or_insert(1);
        *known = (*known).max(loading.version);
        let is_first = !loading.is_late;
        self.loaded = Some(loading);
        (self.is_unproven, self.is_tested) = (true, false);
        is_first
    }

    /// Records that the engine runs items of a model with this version or a newer one.
    pub fn prove_load(&mut self, model: &str, version: u64) {
        let ends = |load: &Loading| load.model == model && version >= load.version;
        if self.loaded.as_ref().is_some_and(ends) {
            self.is_unproven = false;
        }
    }

    /// Records that the latest load, whose expected end has passed, is still running. Returns whether
    /// that wasn't known before.
    pub fn mark_late(&mut self, now: Millis) -> bool {
        let recent = self
            .loaded
            .as_mut()
            .filter(|l| now < l.until + MAX_LATENESS && !l.is_late);
        recent.is_some_and(|load| {
            load.is_late = true;
            true
        })
    }

    /// Treats a refused run as a sign that the load of its model is still running, if one is in
    /// progress or should have ended shortly before. Returns the time that the load has taken so
    /// far, or `None` if there is no such load.
    pub fn extend_load(&mut self, now: Millis, model: &str) -> Option<Millis> {
        let is_recent = |l: &mut Loading| l.model == model && now < l.until + LOAD_SLACK;
        let mut loading = match &self.loading {
            Some(loading) if loading.model == model => loading.clone(),
            Some(_) => return None,
            None => self.loaded.take_if(is_recent)?,
        };
        let elapsed = Millis(now.0.saturating_sub(loading.since.0));
        let extension = Millis(LOAD_EXTENSION.0 << loading.extensions.min(4));
        loading.until = loading.until.max(now + extension);
        loading.extensions += 1;
        self.loading = Some(loading);
        Some(elapsed)
    }
}
