//! All teams at one owner, indexed by virtual counter.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::config::Team;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;

use crate::queue::team::TeamState;
use crate::queue::team::Waiting;
use crate::queue::team::class_index;

/// Teams with their queues; a team's index stays the same.
#[derive(Debug, Default)]
pub struct Teams {
    states: Vec<TeamState>,
    indices: BTreeMap<Option<TeamId>, usize>,
    ready: [BTreeSet<(u64, usize)>; 2],
    limited: BTreeSet<usize>,
    floors: [u64; 2],
    queued: [u64; 2],
    waiting: usize,
    active_weight: u64,
}

impl Teams {
    /// Applies the teams' weights and limits; `share` is this owner's share of the limits, in
    /// thousandths.
    pub fn set_limits(&mut self, now: Millis, teams: &BTreeMap<TeamId, Team>, share: u32) {
        for (id, team) in teams {
            let index = self.index(Some(id));
            self.remove_ready(index);
            let backlogged = self.is_backlogged(index);
            self.active_weight -= self.weight_if(index, backlogged);
            self.states[index].set_limits(now, team, share);
            self.active_weight += self.weight_if(index, backlogged);
            self.update_ready(now, index);
        }
    }

    /// Returns the index of a team, which is created if it is new.
    pub fn index(&mut self, id: Option<&TeamId>) -> usize {
        let key = id.cloned();
        if let Some(index) = self.indices.get(&key) {
            return *index;
        }
        let index = self.states.len();
        self.states.push(TeamState::default());
        self.indices.insert(key, index);
        index
    }

    /// Returns a team.
    pub fn get(&self, index: usize) -> &TeamState {
        &self.states[index]
    }

    /// Returns a team for changes that do not affect its queues and counters.
    pub fn get_mut(&mut self, index: usize) -> &mut TeamState {
        &mut self.states[index]
    }

    /// Iterates over the teams, ordered by id; none is the team of open routes.
    pub fn iter(&self) -> impl Iterator<Item = (Option<&TeamId>, &TeamState)> {
        self.indices
            .iter()
            .map(|(id, index)| (id.as_ref(), &self.states[*index]))
    }

    fn is_backlogged(&self, index: usize) -> bool {
        self.states[index].queues.iter().any(|q| !q.is_empty())
    }

    fn weight_if(&self, index: usize, counted: bool) -> u64 {
        if counted {
            self.states[index].weight
        } else {
            0
        }
    }

    /// Puts a request into its team's queue.
    pub fn push(&mut self, now: Millis, index: usize, sequence: u64, waiting: Waiting) {
        let class = class_index(waiting.arrival.class);
        let was_backlogged = self.is_backlogged(index);
        let was_empty = self.states[index].queues[class].is_empty();
        self.remove_ready(index);
        self.waiting += 1;
        self.queued[class] += waiting.work.cost();
        let team = &mut self.states[index];
        team.queued[class] += waiting.work.cost();
        team.queues[class].insert(sequence, waiting);
        if was_empty {
            self.raise_counter(index, class);
        }
        self.active_weight += self.weight_if(index, !was_backlogged);
        self.update_ready(now, index);
    }

    /// Raises the counter of a team that had nothing waiting to the least counter of those that
    /// did, so that a team gains no credit while it is idle.
    fn raise_counter(&mut self, index: usize, class: usize) {
        let least = self.ready[class].first().map(|(counter, _)| *counter);
        let floor = least.unwrap_or(self.floors[class]);
        let counter = &mut self.states[index].counters[class];
        *counter = (*counter).max(floor);
    }

    /// Removes a request from its team's queue.
    pub fn remove(&mut self, now: Millis, index: usize, class: usize, seq: u64) -> Option<Waiting> {
        self.remove_ready(index);
        let team = &mut self.states[index];
        let removed = team.queues[class].remove(&seq);
        if let Some(waiting) = &removed {
            team.queued[class] -= waiting.work.cost();
            self.queued[class] -= waiting.work.cost();
            self.waiting -= 1;
            let backlogged = self.is_backlogged(index);
            self.active_weight -= self.weight_if(index, !backlogged);
        }
        self.update_ready(now, index);
        removed
    }

    /// Returns team, class and sequence of the next request to dispatch: interactive before
    /// rollout, then the oldest one of the team with the least counter.
    pub fn next_request(&mut self) -> Option<(usize, usize, u64)> {
        for class in 0..2 {
            if let Some((counter, index)) = self.ready[class].first().copied() {
                self.floors[class] = self.floors[class].max(counter);
                let (sequence, _) = self.states[index].queues[class].first_key_value()?;
                return Some((index, class, *sequence));
            }
        }
        None
    }

    /// Returns the number of waiting interactive requests whose teams are under their limits.
    pub fn interactive_ready(&self) -> usize {
        let teams = self.ready[0].iter();
        teams.map(|(_, i)| self.states[*i].queues[0].len()).sum()
    }

    /// Changes a team's counters and updates the index.
    pub fn update<F>(&mut self, now: Millis, index: usize, change: F)
    where
        F: FnOnce(&mut TeamState),
    {
        self.remove_ready(index);
        change(&mut self.states[index]);
        self.update_ready(now, index);
    }

    fn remove_ready(&mut self, index: usize) {
        for class in 0..2 {
            let counter = self.states[index].counters[class];
            self.ready[class].remove(&(counter, index));
        }
    }

    fn update_ready(&mut self, now: Millis, index: usize) {
        let backlogged = self.is_backlogged(index);
        if !backlogged {
            self.limited.remove(&index);
            return;
        }
        if !self.states[index].is_under_limits(now) {
            self.limited.insert(index);
            return;
        }
        self.limited.remove(&index);
        for class in 0..2 {
            let team = &self.states[index];
            if !team.queues[class].is_empty() {
                self.ready[class].insert((team.counters[class], index));
            }
        }
    }

    /// Checks again whether the teams that were at their limits may start requests.
    pub fn tick(&mut self, now: Millis) {
        for index in self.limited.clone() {
            self.remove_ready(index);
            self.update_ready(now, index);
        }
    }

    /// Returns whether a team with waiting requests is at its own limits.
    pub fn is_limited(&self, index: usize) -> bool {
        self.limited.contains(&index)
    }

    /// Returns team, class and sequence of the newest request, rollouts first, of the team whose
    /// queues are the longest relative to its weight.
    pub fn longest(&self) -> Option<(usize, usize, u64)> {
        let length = |team: &TeamState| {
            let queued: usize = team.queues.iter().map(BTreeMap::len).sum();
            queued as u64 * 1000 / team.weight
        };
        let (index, team) = self
            .states
            .iter()
            .enumerate()
            .max_by_key(|(_, team)| length(team))?;
        let class = usize::from(!team.queues[1].is_empty());
        let (sequence, _) = team.queues[class].last_key_value()?;
        Some((index, class, *sequence))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the sum of the cost of the waiting requests, by class.
    pub fn queued(&self) -> [u64; 2] {
        self.queued
    }

    /// Returns the sum of the weights of the teams with requests waiting.
    pub fn active_weight(&self) -> u64 {
        self.active_weight
    }
}
