//! What the scheduler believes of one engine.

use std::collections::BTreeMap;

use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::time::Millis;

/// First time for which an engine that failed is passed over.
const FIRST_PAUSE: Millis = Millis(200);

/// Longest time for which an engine that failed is passed over.
const LONGEST_PAUSE: Millis = Millis(2_000);

/// First time for which an engine that refused an item as full is passed over.
const FULL_PAUSE: Millis = Millis(60);

/// Longest time for which an engine that refused an item is passed over.
const LONGEST_FULL_PAUSE: Millis = Millis(500);

/// Weight of the newest report in the mean pace.
const SPEED_WEIGHT: f64 = 0.3;

/// Time after which a pace says nothing any more: what slows an engine lasts for seconds.
const PACE_AGE: Millis = Millis(4_000);

/// Time after the expected end of a load in which a refusal means that the load still goes on.
const LOAD_SLACK: Millis = Millis(1_000);

/// Time by which a load that still goes on is expected to take longer.
const LOAD_EXTENSION: Millis = Millis(100);

/// A version that an engine loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loading {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Time at which it began.
    pub since: Millis,
    /// Time at which it should be there.
    pub until: Millis,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its life.
    pub life: UpstreamLife,
    /// Tokens that it holds in memory.
    pub memory: u64,
    /// Versions by model, as far as known.
    pub versions: BTreeMap<String, u64>,
    /// Runs under way.
    pub runs: u32,
    /// Runs under way by model.
    pub by_model: BTreeMap<String, u32>,
    /// Tokens predicted for the runs under way.
    pub tokens: u64,
    /// Version being loaded.
    pub loading: Option<Loading>,
    /// Latest load that should be over.
    loaded: Option<Loading>,
    /// Time before which no order is sent.
    pub order_after: Millis,
    pace: Option<(f64, Millis)>,
    paused: Millis,
    failures: u32,
    refusals: u32,
    /// Whether a run is under way that tells whether an engine works again.
    probing: bool,
}

impl Engine {
    /// Starts with nothing known but its life.
    pub fn open(life: UpstreamLife, memory: u64) -> Self {
        Self {
            life,
            memory,
            versions: BTreeMap::new(),
            runs: 0,
            by_model: BTreeMap::new(),
            tokens: 0,
            loading: None,
            loaded: None,
            order_after: Millis::ZERO,
            pace: None,
            paused: Millis::ZERO,
            failures: 0,
            refusals: 0,
            probing: false,
        }
    }

    /// Returns whether it can take another run of some model.
    pub fn is_free(&self, now: Millis) -> bool {
        self.life.ready && self.runs < self.life.slots && now >= self.paused && !self.probing
    }

    /// Counts a run that is sent. After a failure or refusal the first one is a probe: until it
    /// began or ended no other is sent.
    pub fn start(&mut self, model: Option<&str>, tokens: u64) {
        self.runs += 1;
        self.tokens += tokens;
        if let Some(model) = model {
            *self.by_model.entry(model.to_owned()).or_insert(0) += 1;
        }
        self.probing = self.failures > 0 || self.refusals > 0;
    }

    /// Counts a run that ended.
    pub fn end(&mut self, model: Option<&str>, tokens: u64) {
        self.runs = self.runs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
        if let Some(runs) = model.and_then(|model| self.by_model.get_mut(model)) {
            *runs = runs.saturating_sub(1);
        }
        self.probing = false;
    }

    /// Returns the runs under way of a model.
    pub fn runs_of(&self, model: &str) -> u32 {
        self.by_model.get(model).copied().unwrap_or(0)
    }

    /// Returns whether it loads weights.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.loading.as_ref().is_some_and(|l| now < l.until)
    }

    /// Returns whether it failed lately and is passed over.
    pub fn is_paused(&self, now: Millis) -> bool {
        self.failures > 0 && now < self.paused
    }

    /// Returns whether it may have a version of a model that is new enough, and takes new runs of
    /// this model: a load holds up only those of its own model. One that has not said which version
    /// it has is asked by sending it a single run, whose answer names the version.
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
            Some(version) => *version >= min_version,
            None => self.runs_of(model) == 0,
        }
    }

    /// Returns whether another run of so many tokens fits its memory.
    pub fn has_room(&self, tokens: u64) -> bool {
        self.runs == 0 || self.memory == 0 || self.tokens + tokens <= self.memory
    }

    /// Returns how much of its slots is taken.
    pub fn load(&self) -> f64 {
        f64::from(self.runs) / f64::from(self.life.slots.max(1))
    }

    /// Notes that a connection failed or an answer was spoilt.
    pub fn fail(&mut self, now: Millis) {
        let pause = Millis(FIRST_PAUSE.0 << self.failures.min(8));
        self.failures += 1;
        self.paused = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes that it took no further item.
    pub fn refuse(&mut self, now: Millis) {
        let pause = Millis(FULL_PAUSE.0 << self.refusals.min(8));
        self.refusals += 1;
        self.paused = self.paused.max(now + pause.min(LONGEST_FULL_PAUSE));
    }

    /// Notes that a run made progress.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.probing = false;
    }

    /// Returns the time between two events of a run, in milliseconds, if it was measured lately.
    pub fn pace(&self, now: Millis) -> Option<f64> {
        let fresh = self.pace.filter(|(_, at)| now < *at + PACE_AGE);
        fresh.map(|(pace, _)| pace)
    }

    /// Takes a measured pace into the mean.
    pub fn note_pace(&mut self, now: Millis, pace: f64) {
        let former = self.pace(now).unwrap_or(pace);
        self.pace = Some((former + SPEED_WEIGHT * (pace - former), now));
    }

    /// Ends a load whose time is over: from then on the engine should have the version.
    pub fn finish_load(&mut self, now: Millis) {
        if let Some(loading) = self.loading.take_if(|l| now >= l.until) {
            let known = self.versions.entry(loading.model.clone()).or_insert(1);
            *known = (*known).max(loading.version);
            self.loaded = Some(loading);
        }
    }

    /// Takes a refusal of a run as a sign that the load of its model still goes on, if one should
    /// just have ended; returns the time that it has taken so far.
    pub fn extend_load(&mut self, now: Millis, model: &str) -> Option<Millis> {
        let still = |l: &mut Loading| l.model == model && now < l.until + LOAD_SLACK;
        let mut loading = match &self.loading {
            Some(loading) if loading.model == model => loading.clone(),
            Some(_) => return None,
            None => self.loaded.take_if(still)?,
        };
        loading.until = loading.until.max(now + LOAD_EXTENSION);
        let taken = Millis(now.0.saturating_sub(loading.since.0));
        self.loading = Some(loading);
        Some(taken)
    }
}
