//! Groups that are not handed out: waiting, under way and whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::rollout::Group;
use dandelion_protocol::rollout::Sample;
use dandelion_protocol::time::Millis;

use crate::attribution::Prefix;
use crate::coordinator::event::AttemptId;
use crate::ledger::RangeSet;

/// One sample of a group.
#[derive(Debug, Clone, Default)]
pub(super) struct Slot {
    /// Attributed part that the next attempt continues.
    pub prefix: Prefix,
    /// Attempts under way that may still win.
    pub running: Vec<AttemptId>,
    /// Generated sample.
    pub sample: Option<Sample>,
    /// Whether the sample is scored, or needs no score.
    pub whole: bool,
    /// Attempts that failed after they reached an engine.
    pub fails: u32,
    /// Engines that failed it or were slow.
    pub avoid: Vec<UpstreamId>,
    /// When its first attempt began.
    pub since: Option<Millis>,
}

/// A started group.
#[derive(Debug, Clone)]
pub(super) struct GroupState {
    pub prompt: Arc<str>,
    pub slots: Vec<Slot>,
}

impl GroupState {
    fn is_whole(&self) -> bool {
        self.slots.iter().all(|slot| slot.whole)
    }

    /// Returns its finished samples as a group.
    fn finished(&self, group: u64) -> Group {
        let whole = self.slots.iter().filter(|slot| slot.whole);
        Group {
            group,
            prompt: self.prompt.to_string(),
            samples: whole.filter_map(|slot| slot.sample.clone()).collect(),
        }
    }

    /// Returns the samples that are not generated yet.
    pub fn missing(&self) -> usize {
        let open = self.slots.iter().filter(|slot| slot.sample.is_none());
        open.count()
    }
}

/// Place of a sample: group and index.
pub(super) type Place = (u64, u32);

/// All groups of a job that are fed and not handed out.
#[derive(Debug, Default)]
pub(super) struct Pool {
    prompts: BTreeMap<u64, Arc<str>>,
    waiting: RangeSet,
    groups: BTreeMap<u64, GroupState>,
    queue: BTreeSet<Place>,
    ready: BTreeSet<u64>,
    dropped: BTreeSet<u64>,
}

impl Pool {
    /// Adds prompts; those in `taken` are handed out or done and only remembered.
    pub fn add(&mut self, first: u64, prompts: &[String], taken: &RangeSet) {
        for (number, prompt) in (first..).zip(prompts) {
            if self.prompts.contains_key(&number) {
                continue;
            }
            self.prompts.insert(number, prompt.as_str().into());
            if !taken.contains(number) && !self.groups.contains_key(&number) {
                self.waiting.insert(number, number + 1);
            }
        }
    }

    /// Forgets groups that are acknowledged.
    pub fn forget(&mut self, groups: &RangeSet) {
        for number in groups.numbers() {
            self.prompts.remove(&number);
            self.dropped.remove(&number);
        }
    }

    /// Takes groups out that a frozen batch holds; returns their attempts under way.
    pub fn withdraw(&mut self, groups: &RangeSet) -> Vec<AttemptId> {
        for (start, end) in groups.iter() {
            self.waiting.remove(start, end);
        }
        let attempts = groups.numbers().flat_map(|number| self.remove(number));
        attempts.collect()
    }

    fn remove(&mut self, group: u64) -> Vec<AttemptId> {
        let Some(state) = self.groups.remove(&group) else {
            return Vec::new();
        };
        self.ready.remove(&group);
        for index in 0..state.slots.len() as u32 {
            self.queue.remove(&(group, index));
        }
        let running = state.slots.into_iter().flat_map(|slot| slot.running);
        running.collect()
    }

    /// Puts groups back that are to be generated anew.
    pub fn restart(&mut self, groups: &RangeSet) {
        for number in groups.numbers() {
            let known = self.prompts.contains_key(&number) && !self.groups.contains_key(&number);
            if known {
                self.waiting.insert(number, number + 1);
            }
        }
    }

    /// Returns the sample to dispatch next among started groups.
    pub fn queued(&self) -> Option<Place> {
        self.queue.first().copied()
    }

    /// Starts the next waiting group.
    pub fn start_next(&mut self, size: u32) -> bool {
        let Some(number) = self.waiting.first() else {
            return false;
        };
        self.waiting.remove(number, number + 1);
        let Some(prompt) = self.prompts.get(&number) else {
            return false;
        };
        let state = GroupState {
            prompt: Arc::clone(prompt),
            slots: vec![Slot::default(); size as usize],
        };
        self.groups.insert(number, state);
        self.queue.extend((0..size).map(|index| (number, index)));
        true
    }

    /// Returns whether a group waits to be started.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of started groups.
    pub fn started(&self) -> u64 {
        self.groups.len() as u64
    }

    /// Returns the number of whole groups.
    pub fn ready(&self) -> usize {
        self.ready.len()
    }

    /// Returns whether nothing waits or is under way; whole groups may be there.
    pub fn is_drained(&self) -> bool {
        self.waiting.is_empty() && self.groups.len() == self.ready.len()
    }

    /// Borrows a started group.
    pub fn group(&self, group: u64) -> Option<&GroupState> {
        self.groups.get(&group)
    }

    /// Borrows the place of a sample.
    pub fn slot(&mut self, place: Place) -> Option<&mut Slot> {
        let state = self.groups.get_mut(&place.0)?;
        state.slots.get_mut(place.1 as usize)
    }

    /// Iterates over the places without a sample.
    pub fn open_slots(&self) -> impl Iterator<Item = (Place, &GroupState, &Slot)> {
        self.groups.iter().flat_map(|(number, state)| {
            let slots = (0u32..).zip(&state.slots);
            slots
                .filter(|(_, slot)| slot.sample.is_none())
                .map(move |(index, slot)| ((*number, index), state, slot))
        })
    }

    /// Notes an attempt for a place and takes it off the queue.
    pub fn begin(&mut self, place: Place, attempt: AttemptId, now: Millis) {
        self.queue.remove(&place);
        if let Some(slot) = self.slot(place) {
            slot.running.push(attempt);
            slot.since.get_or_insert(now);
        }
    }

    /// Puts a place on the queue if nothing runs for it.
    pub fn requeue(&mut self, place: Place) {
        let Some(slot) = self.slot(place) else {
            return;
        };
        if slot.running.is_empty() && slot.sample.is_none() {
            self.queue.insert(place);
        }
    }

    /// Stores the sample of a place; returns the group if that makes it whole.
    pub fn fill(&mut self, place: Place, sample: Sample, whole: bool) -> Option<Arc<Group>> {
        let state = self.groups.get_mut(&place.0)?;
        let slot = &mut state.slots[place.1 as usize];
        slot.sample = Some(sample);
        slot.whole = whole;
        slot.prefix = Prefix::default();
        self.queue.remove(&place);
        self.check_ready(place.0)
    }

    /// Marks the sample of a place as scored; returns the group if that makes it whole.
    pub fn score(&mut self, place: Place, score: f64) -> Option<Arc<Group>> {
        let slot = self.slot(place)?;
        if let Some(sample) = &mut slot.sample {
            sample.score = Some(score);
            slot.whole = true;
        }
        self.check_ready(place.0)
    }

    fn check_ready(&mut self, group: u64) -> Option<Arc<Group>> {
        let state = self.groups.get(&group).filter(|state| state.is_whole())?;
        self.ready.insert(group);
        Some(Arc::new(state.finished(group)))
    }

    /// Returns the finished samples of the groups that are not whole.
    pub fn partial_groups(&self) -> Vec<Arc<Group>> {
        let open = self.groups.iter().filter(|(_, state)| !state.is_whole());
        let groups = open.map(|(number, state)| Arc::new(state.finished(*number)));
        groups.filter(|group| !group.samples.is_empty()).collect()
    }

    /// Adds a group that another daemon began, unless it is under way here; samples that it lacks
    /// are queued.
    pub fn recover(&mut self, group: &Group, size: u32) {
        if self.groups.contains_key(&group.group) {
            return;
        }
        self.waiting.remove(group.group, group.group + 1);
        let mut state = GroupState {
            prompt: group.prompt.as_str().into(),
            slots: vec![Slot::default(); size.max(1) as usize],
        };
        for sample in &group.samples {
            if let Some(slot) = state.slots.get_mut(sample.id.index as usize) {
                slot.sample = Some(sample.clone());
                slot.whole = true;
            }
        }
        let missing = (0u32..).zip(&state.slots).filter(|(_, slot)| !slot.whole);
        self.queue
            .extend(missing.map(|(index, _)| (group.group, index)));
        if state.is_whole() {
            self.ready.insert(group.group);
        }
        self.groups.insert(group.group, state);
    }

    /// Empties a place so that it is generated anew; returns the tokens that are lost.
    pub fn reset(&mut self, place: Place) -> u64 {
        self.ready.remove(&place.0);
        let Some(slot) = self.slot(place) else {
            return 0;
        };
        let sample = slot.sample.take();
        let lost = sample.map_or(slot.prefix.tokens(), |sample| tokens_of(&sample));
        slot.whole = false;
        slot.prefix = Prefix::default();
        slot.since = None;
        self.requeue(place);
        u64::from(lost)
    }

    /// Returns the places whose tokens are older than `lowest`.
    pub fn stale_places(&self, lowest: WeightVersion) -> Vec<Place> {
        let mut stale = Vec::new();
        for (number, state) in &self.groups {
            for (index, slot) in (0u32..).zip(&state.slots) {
                let sample = slot.sample.as_ref().and_then(Sample::oldest);
                let oldest = sample.or_else(|| slot.prefix.oldest());
                if oldest.is_some_and(|version| version < lowest) {
                    stale.push((*number, index));
                }
            }
        }
        stale
    }

    /// Gives a group up; returns its attempts under way.
    pub fn give_up(&mut self, group: u64) -> Vec<AttemptId> {
        self.dropped.insert(group);
        self.remove(group)
    }

    /// Returns the groups that are given up and not reported yet.
    pub fn dropped(&self) -> Vec<u64> {
        self.dropped.iter().copied().collect()
    }

    /// Takes up to `count` whole groups, those with the oldest versions first.
    pub fn take_ready(&mut self, count: usize) -> Vec<Group> {
        let mut order: Vec<(WeightVersion, u64)> = self
            .ready
            .iter()
            .map(|number| (self.oldest(*number), *number))
            .collect();
        order.sort_unstable();
        order.truncate(count);
        let mut numbers: Vec<u64> = order.into_iter().map(|(_, number)| number).collect();
        numbers.sort_unstable();
        numbers
            .into_iter()
            .filter_map(|number| self.take(number))
            .collect()
    }

    fn oldest(&self, group: u64) -> WeightVersion {
        let slots = self.groups.get(&group).map(|state| state.slots.iter());
        let samples = slots
            .into_iter()
            .flatten()
            .filter_map(|slot| slot.sample.as_ref());
        samples.filter_map(Sample::oldest).min().unwrap_or_default()
    }

    fn take(&mut self, number: u64) -> Option<Group> {
        self.ready.remove(&number);
        let state = self.groups.remove(&number)?;
        Some(Group {
            group: number,
            prompt: state.prompt.to_string(),
            samples: state
                .slots
                .into_iter()
                .filter_map(|slot| slot.sample)
                .collect(),
        })
    }

    /// Puts whole groups back that were taken but not handed out.
    pub fn give_back(&mut self, groups: &[Group]) {
        for group in groups {
            let slots = group.samples.iter().map(|sample| Slot {
                sample: Some(sample.clone()),
                whole: true,
                ..Slot::default()
            });
            let state = GroupState {
                prompt: group.prompt.as_str().into(),
                slots: slots.collect(),
            };
            self.groups.insert(group.group, state);
            self.ready.insert(group.group);
        }
    }
}

/// Returns the generated tokens of a sample.
pub(super) fn tokens_of(sample: &Sample) -> u32 {
    sample.segments.last().map_or(0, |segment| segment.end)
}
