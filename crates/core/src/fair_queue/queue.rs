//! Start-time fair queue with eviction.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::PushOutcome;
use super::Refused;
use crate::config::Policy;
use crate::names::TeamName;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::units::Time;
use crate::units::Tokens;

/// The virtual time of one token at weight one.
const VIRTUAL_PER_TOKEN: u128 = 1 << 20;

/// The inverse of the weight of a new sample in the average interval.
const INTERVAL_SMOOTHING: u32 = 8;

/// The shortest delay before a retry that a refusal asks for.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The longest delay before a retry that a refusal asks for.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Entry<T> {
    item: T,
    /// The virtual time at which the entry may start.
    start: u128,
    cost: Tokens,
    pushed: Time,
    deadline: Time,
}

/// The queued entries of one team.
#[derive(Debug)]
struct Flow<T> {
    entries: VecDeque<Entry<T>>,
    weight: u32,
    queued: Tokens,
    /// The virtual time at which the last entry finishes.
    finish: u128,
}

impl<T> Flow<T> {
    /// Returns the virtual duration of the queued entries.
    fn backlog(&self) -> u128 {
        virtual_duration(self.queued, self.weight)
    }
}

fn virtual_duration(cost: Tokens, weight: u32) -> u128 {
    u128::from(cost.0.max(1)) * VIRTUAL_PER_TOKEN / u128::from(weight.max(1))
}

/// A `FairQueue` holds requests waiting for an upstream.
///
/// ```
/// use limpetsaddle_core::config::Policy;
/// use limpetsaddle_core::fair_queue::FairQueue;
/// use limpetsaddle_core::names::TeamName;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::units::Tokens;
///
/// let (large, small): (TeamName, TeamName) = ("large".parse()?, "small".parse()?);
/// let policy = Policy::default();
/// let now = Time::ZERO;
/// let mut queue = FairQueue::new();
/// for request in ["large 1", "large 2", "large 3"] {
///     queue.push(&large, 1, Tokens(500), request, &policy, now).expect("there is room");
/// }
/// queue.push(&small, 1, Tokens(500), "small 1", &policy, now).expect("there is room");
/// assert_eq!(queue.pop(now), Some("large 1"));
/// assert_eq!(queue.pop(now), Some("small 1"));
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<TeamName, Flow<T>>,
    /// The virtual start of each team's first entry.
    heads: BTreeSet<(u128, TeamName)>,
    virtual_now: u128,
    len: usize,
    last_pop: Time,
    /// The average time between two entries being popped while others wait.
    interval: Duration,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> FairQueue<T> {
    /// Returns an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            flows: BTreeMap::new(),
            heads: BTreeSet::new(),
            virtual_now: 0,
            len: 0,
            last_pop: Time::ZERO,
            interval: Duration::ZERO,
        }
    }

    /// Returns the number of queued entries.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Pushes a request of a team.
    ///
    /// # Errors
    ///
    /// Refuses the entry if its expected wait exceeds the permitted one, or if
    /// the queue is full and no other team has a larger backlog relative to its
    /// weight.
    pub fn push(
        &mut self,
        team: &TeamName,
        weight: u32,
        cost: Tokens,
        item: T,
        policy: &Policy,
        now: Time,
    ) -> Result<PushOutcome<T>, Refused<T>> {
        let start = self.next_start(team);
        let wait = self.interval * self.entries_before(start);
        if wait > policy.max_wait {
            return Err(refuse(item, wait));
        }
        let max = usize::try_from(policy.max_queued).unwrap_or(usize::MAX);
        let mut evicted = None;
        if self.len >= max {
            evicted = self.evict_for(team, weight, cost);
            if evicted.is_none() {
                return Err(refuse(item, self.drain_time()));
            }
        }
        let entry = Entry {
            item,
            start,
            cost,
            pushed: now,
            deadline: now + policy.max_wait,
        };
        self.append(team, weight, entry);
        Ok(evicted.map_or(PushOutcome::Queued, PushOutcome::Evicted))
    }

    fn append(&mut self, team: &TeamName, weight: u32, entry: Entry<T>) {
        let flow = self.flows.entry(team.clone()).or_insert_with(|| Flow {
            entries: VecDeque::new(),
            weight,
            queued: Tokens::ZERO,
            finish: 0,
        });
        flow.weight = weight;
        flow.queued += entry.cost;
        flow.finish = entry.start + virtual_duration(entry.cost, weight);
        if flow.entries.is_empty() {
            self.heads.insert((entry.start, team.clone()));
        }
        flow.entries.push_back(entry);
        self.len += 1;
    }

    /// Returns the virtual start of the next entry of a team.
    fn next_start(&self, team: &TeamName) -> u128 {
        let finish = self.flows.get(team).map_or(0, |flow| flow.finish);
        finish.max(self.virtual_now)
    }

    fn entries_before(&self, start: u128) -> u32 {
        let before = |flow: &Flow<T>| flow.entries.partition_point(|e| e.start <= start);
        let count: usize = self.flows.values().map(before).sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn drain_time(&self) -> Duration {
        self.interval * u32::try_from(self.len).unwrap_or(u32::MAX)
    }

    /// Evicts the newest entry of the team with the largest backlog relative to
    /// its weight, unless the backlog of `team` would be at least as large.
    fn evict_for(&mut self, team: &TeamName, weight: u32, cost: Tokens) -> Option<Refused<T>> {
        let own = self
            .flows
            .get(team)
            .map_or(Tokens::ZERO, |flow| flow.queued);
        let own = virtual_duration(own + cost, weight);
        let (largest, flow) = self.flows.iter().max_by_key(|(_, flow)| flow.backlog())?;
        if largest == team || flow.backlog() <= own {
            return None;
        }
        let largest = largest.clone();
        let entry = self.remove(&largest, VecDeque::pop_back)?;
        if let Some(flow) = self.flows.get_mut(&largest) {
            flow.finish = entry.start;
        }
        Some(refuse(entry.item, self.drain_time()))
    }

    /// Removes the first or the last entry of a team and updates the heads.
    fn remove(
        &mut self,
        team: &TeamName,
        pop: impl FnOnce(&mut VecDeque<Entry<T>>) -> Option<Entry<T>>,
    ) -> Option<Entry<T>> {
        let flow = self.flows.get_mut(team)?;
        let head = flow.entries.front()?.start;
        let entry = pop(&mut flow.entries)?;
        flow.queued = flow.queued.saturating_sub(entry.cost);
        self.heads.remove(&(head, team.clone()));
        if let Some(next) = flow.entries.front() {
            self.heads.insert((next.start, team.clone()));
        }
        self.len -= 1;
        Some(entry)
    }

    /// Pops the next entry.
    ///
    /// Expired entries are skipped and left to [`FairQueue::expire`].
    pub fn pop(&mut self, now: Time) -> Option<T> {
        self.pop_if(now, |_| true)
    }

    /// Pops the next entry accepted by `admits`.
    ///
    /// The first entry of each team is offered in order, so that an entry without
    /// a suitable upstream does not block other teams.
    pub fn pop_if(&mut self, now: Time, mut admits: impl FnMut(&T) -> bool) -> Option<T> {
        let mut is_ready = |(_, team): &&(u128, TeamName)| {
            let head = self.flows.get(team).and_then(|flow| flow.entries.front());
            head.is_some_and(|entry| entry.deadline > now && admits(&entry.item))
        };
        let (start, team) = self.heads.iter().find(&mut is_ready)?.clone();
        self.virtual_now = self.virtual_now.max(start);
        let entry = self.remove(&team, VecDeque::pop_front)?;
        self.update_interval(entry.pushed, now);
        self.remove_idle_flows();
        Some(entry.item)
    }

    /// Updates the average time between two entries being popped while others
    /// wait, from which waits are estimated.
    fn update_interval(&mut self, pushed: Time, now: Time) {
        let sample = now.since(pushed.max(self.last_pop));
        self.last_pop = now;
        self.interval = (self.interval * (INTERVAL_SMOOTHING - 1) + sample) / INTERVAL_SMOOTHING;
    }

    /// Removes the empty flows whose finish the virtual time has reached.
    fn remove_idle_flows(&mut self) {
        let virtual_now = self.virtual_now;
        self.flows
            .retain(|_, flow| !flow.entries.is_empty() || flow.finish > virtual_now);
    }

    /// Removes the expired entries and refuses them.
    pub fn expire(&mut self, now: Time) -> Vec<Refused<T>> {
        let mut expired = Vec::new();
        let teams: Vec<TeamName> = self.heads.iter().map(|(_, team)| team.clone()).collect();
        for team in teams {
            while self.is_head_expired(&team, now) {
                let Some(entry) = self.remove(&team, VecDeque::pop_front) else {
                    break;
                };
                expired.push(refuse(entry.item, self.drain_time()));
            }
        }
        self.remove_idle_flows();
        expired
    }

    fn is_head_expired(&self, team: &TeamName, now: Time) -> bool {
        let head = self.flows.get(team).and_then(|flow| flow.entries.front());
        head.is_some_and(|entry| entry.deadline <= now)
    }

    /// Returns the earliest deadline of the queued entries.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Time> {
        let heads = self.flows.values().filter_map(|flow| flow.entries.front());
        heads.map(|entry| entry.deadline).min()
    }
}

fn refuse<T>(item: T, wait: Duration) -> Refused<T> {
    let after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    Refused {
        item,
        refusal: Refusal::not_run(Reason::Overloaded).retry_after(after),
    }
}
