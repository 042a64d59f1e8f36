//! All teams at one owner, indexed by virtual counter.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::config::Team;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::time::Millis;

use crate::queue::team::TeamState;
use crate::queue::team::Waiting;
use crate::queue::team::class_index;

/// Teams with their queues.
#[derive(Debug, Default)]
pub struct Teams {
    states: Vec<TeamState>,
    names: BTreeMap<Option<TeamId>, usize>,
    ready: [BTreeSet<(u64, usize)>; 2],
    limited: BTreeSet<usize>,
    floors: [u64; 2],
    queued: [u64; 2],
    waiting: usize,
    active: u64,
}

impl Teams {
    /// Takes over the teams' weights and limits.
    pub fn set_limits(&mut self, now: Millis, teams: &BTreeMap<TeamId, Team>, share: u32) {
        for (id, team) in teams {
            let index = self.index(Some(id));
            self.unready(index);
            let backlogged = self.is_backlogged(index);
            self.active -= self.weight_if(index, backlogged);
            self.states[index].set_limits(now, team, share);
            self.active += self.weight_if(index, backlogged);
            self.refresh(now, index);
        }
    }

    /// Returns the number of a team, which is created on first sight.
    pub fn index(&mut self, id: Option<&TeamId>) -> usize {
        let key = id.cloned();
        if let Some(index) = self.names.get(&key) {
            return *index;
        }
        let index = self.states.len();
        self.states.push(TeamState::default());
        self.names.insert(key, index);
        index
    }

    /// Borrows a team.
    pub fn get(&self, index: usize) -> &TeamState {
        &self.states[index]
    }

    /// Borrows a team for changes that leave its queues and counters alone.
    pub fn get_mut(&mut self, index: usize) -> &mut TeamState {
        &mut self.states[index]
    }

    /// Iterates over the teams by name.
    pub fn iter(&self) -> impl Iterator<Item = (Option<&TeamId>, &TeamState)> {
        self.names
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
        self.unready(index);
        self.waiting += 1;
        self.queued[class] += waiting.work.cost();
        let team = &mut self.states[index];
        team.queued[class] += waiting.work.cost();
        team.queues[class].insert(sequence, waiting);
        if was_empty {
            self.lift(index, class);
        }
        self.active += self.weight_if(index, !was_backlogged);
        self.refresh(now, index);
    }

    /// Raises the counter of a team that had nothing waiting to the least counter of those that
    /// had, so that idle time earns no credit.
    fn lift(&mut self, index: usize, class: usize) {
        let least = self.ready[class].first().map(|(counter, _)| *counter);
        let floor = least.unwrap_or(self.floors[class]);
        let counter = &mut self.states[index].counters[class];
        *counter = (*counter).max(floor);
    }

    /// Takes a request out of its team's queue.
    pub fn take(&mut self, now: Millis, index: usize, class: usize, seq: u64) -> Option<Waiting> {
        self.unready(index);
        let team = &mut self.states[index];
        let taken = team.queues[class].remove(&seq);
        if let Some(waiting) = &taken {
            team.queued[class] -= waiting.work.cost();
            self.queued[class] -= waiting.work.cost();
            self.waiting -= 1;
            let backlogged = self.is_backlogged(index);
            self.active -= self.weight_if(index, !backlogged);
        }
        self.refresh(now, index);
        taken
    }

    /// Returns team, class and sequence of the request that is next: interactive first, then the
    /// team with the least counter.
    pub fn head(&mut self) -> Option<(usize, usize, u64)> {
        for class in 0..2 {
            if let Some((counter, index)) = self.ready[class].first().copied() {
                self.floors[class] = self.floors[class].max(counter);
                let (sequence, _) = self.states[index].queues[class].first_key_value()?;
                return Some((index, class, *sequence));
            }
        }
        None
    }

    /// Returns whether an interactive request could be dispatched.
    pub fn interactive_ready(&self) -> usize {
        let teams = self.ready[0].iter();
        teams.map(|(_, i)| self.states[*i].queues[0].len()).sum()
    }

    /// Changes a team's counters and puts it back into the index.
    pub fn update<F>(&mut self, now: Millis, index: usize, change: F)
    where
        F: FnOnce(&mut TeamState),
    {
        self.unready(index);
        change(&mut self.states[index]);
        self.refresh(now, index);
    }

    fn unready(&mut self, index: usize) {
        for class in 0..2 {
            let counter = self.states[index].counters[class];
            self.ready[class].remove(&(counter, index));
        }
    }

    fn refresh(&mut self, now: Millis, index: usize) {
        let backlogged = self.is_backlogged(index);
        if !backlogged {
            self.limited.remove(&index);
            return;
        }
        if !self.states[index].is_allowed(now) {
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

    /// Looks again at the teams that are held back by their own limits.
    pub fn tick(&mut self, now: Millis) {
        for index in self.limited.clone() {
            self.unready(index);
            self.refresh(now, index);
        }
    }

    /// Returns whether a team is held back by its own limits.
    pub fn is_limited(&self, index: usize) -> bool {
        self.limited.contains(&index)
    }

    /// Returns the team with the longest queue for its weight, and its newest request.
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

    /// Returns the requests waiting.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the cost waiting, by class.
    pub fn queued(&self) -> [u64; 2] {
        self.queued
    }

    /// Returns the sum of the weights of the teams with requests waiting.
    pub fn active(&self) -> u64 {
        self.active
    }
}
