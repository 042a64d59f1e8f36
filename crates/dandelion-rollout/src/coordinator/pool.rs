//! Groups that are not delivered yet: waiting, in progress and complete.

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
    /// Attributed tokens that the next attempt continues.
    pub prefix: Prefix,
    /// Running attempts, those cancelled excluded.
    pub running: Vec<AttemptId>,
    /// Generated sample, scored or not.
    pub sample: Option<Sample>,
    /// Whether the sample is generated and either scored or in no need of a score.
    pub complete: bool,
    /// Attempts that failed and may have run on an engine.
    pub failed_attempts: u32,
    /// Engines on which an attempt failed or was slow.
    pub avoid: Vec<UpstreamId>,
    /// Start of its first attempt.
    pub since: Option<Millis>,
}

/// A started group.
#[derive(Debug, Clone)]
pub(super) struct GroupState {
    pub prompt: Arc<str>,
    pub slots: Vec<Slot>,
}

impl GroupState {
    fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.complete)
    }

    /// Returns its complete samples as a group.
    fn finished(&self, group: u64) -> Group {
        let complete = self.slots.iter().filter(|slot| slot.complete);
        Group {
            group,
            prompt: self.prompt.to_string(),
            samples: complete.filter_map(|slot| slot.sample.clone()).collect(),
        }
    }

    /// Returns the number of samples that are not generated yet.
    pub fn missing(&self) -> usize {
        let open = self.slots.iter().filter(|slot| slot.sample.is_none());
        open.count()
    }
}

/// Identity of a slot: group number and index of the sample in it.
pub(super) type SlotId = (u64, u32);

/// All groups of a job that are fed and not delivered.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// Prompts of all unacknowledged groups.
    prompts: BTreeMap<u64, Arc<str>>,
    /// Groups that are not started.
    waiting: RangeSet,
    groups: BTreeMap<u64, GroupState>,
    /// Slots of started groups that need an attempt.
    queue: BTreeSet<SlotId>,
    /// Started groups that are complete.
    ready: BTreeSet<u64>,
    /// Groups that are given up, until the trainer has acknowledged that.
    dropped: BTreeSet<u64>,
}

impl Pool {
    /// Adds prompts; groups in `consumed` are delivered or done, so only their prompts are stored.
    pub fn add(&mut self, first: u64, prompts: &[String], consumed: &RangeSet) {
        for (number, prompt) in (first..).zip(prompts) {
            if self.prompts.contains_key(&number) {
                continue;
            }
            self.prompts.insert(number, prompt.as_str().into());
            if !consumed.contains(number) && !self.groups.contains_key(&number) {
                self.waiting.insert(number, number + 1);
            }
        }
    }

    /// Removes acknowledged groups, whose prompts are no longer needed.
    pub fn forget(&mut self, groups: &RangeSet) {
        for number in groups.numbers() {
            self.prompts.remove(&number);
            self.dropped.remove(&number);
        }
    }

    /// Removes the groups of a frozen batch; returns their running attempts.
    pub fn remove_groups(&mut self, groups: &RangeSet) -> Vec<AttemptId> {
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

    /// Queues groups to be generated again.
    pub fn restart(&mut self, groups: &RangeSet) {
        for number in groups.numbers() {
            let known = self.prompts.contains_key(&number) && !self.groups.contains_key(&number);
            if known {
                self.waiting.insert(number, number + 1);
            }
        }
    }

    /// Returns the slot of a started group to dispatch next.
    pub fn queued(&self) -> Option<SlotId> {
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

    /// Returns the number of complete groups.
    pub fn ready(&self) -> usize {
        self.ready.len()
    }

    /// Returns whether no group is waiting or in progress; complete ones may be present.
    pub fn is_drained(&self) -> bool {
        self.waiting.is_empty() && self.groups.len() == self.ready.len()
    }

    /// Borrows a started group.
    pub fn group(&self, group: u64) -> Option<&GroupState> {
        self.groups.get(&group)
    }

    /// Borrows a slot of a started group.
    pub fn slot(&mut self, slot_id: SlotId) -> Option<&mut Slot> {
        let state = self.groups.get_mut(&slot_id.0)?;
        state.slots.get_mut(slot_id.1 as usize)
    }

    /// Iterates over the slots without a sample.
    pub fn open_slots(&self) -> impl Iterator<Item = (SlotId, &GroupState, &Slot)> {
        self.groups.iter().flat_map(|(number, state)| {
            let slots = (0u32..).zip(&state.slots);
            slots
                .filter(|(_, slot)| slot.sample.is_none())
                .map(move |(index, slot)| ((*number, index), state, slot))
        })
    }

    /// Adds a running attempt to a slot and removes the slot from the queue.
    pub fn begin(&mut self, slot_id: SlotId, attempt: AttemptId, now: Millis) {
        self.queue.remove(&slot_id);
        if let Some(slot) = self.slot(slot_id) {
            slot.running.push(attempt);
            slot.since.get_or_insert(now);
        }
    }

    /// Queues a slot that has neither a sample nor a running attempt.
    pub fn requeue(&mut self, slot_id: SlotId) {
        let Some(slot) = self.slot(slot_id) else {
            return;
        };
        if slot.running.is_empty() && slot.sample.is_none() {
            self.queue.insert(slot_id);
        }
    }

    /// Stores the sample of a slot; returns the group if that completes it.
    pub fn set_sample(
        &mut self,
        slot_id: SlotId,
        sample: Sample,
        complete: bool,
    ) -> Option<Arc<Group>> {
        let state = self.groups.get_mut(&slot_id.0)?;
        let slot = &mut state.slots[slot_id.1 as usize];
        slot.sample = Some(sample);
        slot.complete = complete;
        slot.prefix = Prefix::default();
        self.queue.remove(&slot_id);
        self.check_ready(slot_id.0)
    }

    /// Stores the score of a sample; returns the group if that completes it.
    pub fn set_score(&mut self, slot_id: SlotId, score: f64) -> Option<Arc<Group>> {
        let slot = self.slot(slot_id)?;
        if let Some(sample) = &mut slot.sample {
            sample.score = Some(score);
            slot.complete = true;
        }
        self.check_ready(slot_id.0)
    }

    fn check_ready(&mut self, group: u64) -> Option<Arc<Group>> {
        let state = self
            .groups
            .get(&group)
            .filter(|state| state.is_complete())?;
        self.ready.insert(group);
        Some(Arc::new(state.finished(group)))
    }

    /// Returns the incomplete groups that have complete samples, with only these.
    pub fn partial_groups(&self) -> Vec<Arc<Group>> {
        let open = self.groups.iter().filter(|(_, state)| !state.is_complete());
        let groups = open.map(|(number, state)| Arc::new(state.finished(*number)));
        groups.filter(|group| !group.samples.is_empty()).collect()
    }

    /// Adds a group that an earlier coordinator started, unless it is started here already; the
    /// samples that it lacks are queued.
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
                slot.complete = true;
            }
        }
        let missing = (0u32..)
            .zip(&state.slots)
            .filter(|(_, slot)| !slot.complete);
        self.queue
            .extend(missing.map(|(index, _)| (group.group, index)));
        if state.is_complete() {
            self.ready.insert(group.group);
        }
        self.groups.insert(group.group, state);
    }

    /// Empties a slot so that it is generated again; returns the tokens that are lost.
    pub fn reset(&mut self, slot_id: SlotId) -> u64 {
        self.ready.remove(&slot_id.0);
        let Some(slot) = self.slot(slot_id) else {
            return 0;
        };
        let sample = slot.sample.take();
        let lost = sample.map_or(slot.prefix.tokens(), |sample| tokens_of(&sample));
        slot.complete = false;
        slot.prefix = Prefix::default();
        slot.since = None;
        self.requeue(slot_id);
        u64::from(lost)
    }

    /// Returns the slots that hold tokens older than `lowest`.
    pub fn stale_slots(&self, lowest: WeightVersion) -> Vec<SlotId> {
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

    /// Gives a group up; returns its running attempts.
    pub fn drop_group(&mut self, group: u64) -> Vec<AttemptId> {
        self.dropped.insert(group);
        self.remove(group)
    }

    /// Returns the groups that are given up and not acknowledged.
    pub fn dropped(&self) -> Vec<u64> {
        self.dropped.iter().copied().collect()
    }

    /// Removes and returns up to `count` complete groups, those with the oldest versions first.
    pub fn pop_ready(&mut self, count: usize) -> Vec<Group> {
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
            .filter_map(|number| self.pop_group(number))
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

    fn pop_group(&mut self, number: u64) -> Option<Group> {
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

    /// Puts back complete groups that were removed but not delivered.
    pub fn return_groups(&mut self, groups: &[Group]) {
        for group in groups {
            let slots = group.samples.iter().map(|sample| Slot {
                sample: Some(sample.clone()),
                complete: true,
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

/// Returns the number of generated tokens of a sample.
pub(super) fn tokens_of(sample: &Sample) -> u32 {
    sample.segments.last().map_or(0, |segment| segment.end)
}
