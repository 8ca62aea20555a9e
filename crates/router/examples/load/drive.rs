//! Sends the requests of a run to daemons or directly to engines.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;

use crate::mix::Arrival;
use crate::mix::Mix;
use crate::stats::RunStats;
use crate::support::caller::StreamResult;
use crate::support::caller::request;
use crate::support::caller::salted_request;
use crate::support::caller::stream;

/// The time after which the load balancer excludes a failed instance.
const BALANCER_DELAY: Duration = Duration::from_secs(1);

/// The time for which an engine is excluded after a failure.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// The maximum number of attempts of a request sent directly to engines.
const DIRECT_ATTEMPTS: usize = 3;

/// The policy by which a caller selects the target of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// A random daemon, as a load balancer would select.
    Daemons,
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest outstanding requests of all callers.
    LeastOutstanding,
}

/// Sends the requests of a run.
pub struct Driver {
    policy: Policy,
    mix: Mix,
    /// The daemons or the engines.
    targets: Vec<SocketAddr>,
    keys: Vec<String>,
    /// Per target: for engines, the end of the exclusion after a failure; for
    /// daemons, the time from which the load balancer excludes them.
    avoided: RefCell<Vec<Option<Instant>>>,
    outstanding: RefCell<Vec<usize>>,
    next_target: Cell<usize>,
    client: Client,
    /// The statistics of the run.
    pub stats: RefCell<RunStats>,
}

impl Driver {
    /// Creates a driver.
    pub fn new(policy: Policy, mix: Mix, targets: Vec<SocketAddr>, keys: Vec<String>) -> Self {
        Self {
            policy,
            mix,
            avoided: RefCell::new(vec![None; targets.len()]),
            outstanding: RefCell::new(vec![0; targets.len()]),
            targets,
            keys,
            next_target: Cell::new(0),
            client: Client::new(ClientOptions::default()),
            stats: RefCell::new(RunStats::new()),
        }
    }

    /// Sends the arrivals, injects each of `faults` at its time after the start,
    /// and waits for all responses.
    pub async fn run(
        self: &Rc<Self>,
        arrivals: Vec<Arrival>,
        mut faults: Vec<(Duration, Box<dyn FnOnce()>)>,
    ) {
        faults.sort_by_key(|(at, _)| *at);
        let faults = monoio::spawn(async move {
            let started = Instant::now();
            for (at, inject) in faults {
                sleep_until(started + at).await;
                inject();
            }
        });
        let started = Instant::now();
        let mut tasks = Vec::new();
        for arrival in arrivals {
            sleep_until(started + arrival.at).await;
            tasks.push(monoio::spawn(Rc::clone(self).serve(arrival)));
        }
        for task in tasks {
            task.await;
        }
        faults.await;
    }

    /// Makes the load balancer exclude a target after `BALANCER_DELAY`.
    pub fn mark_down(&self, target: usize) {
        self.avoided.borrow_mut()[target] = Some(Instant::now() + BALANCER_DELAY);
    }

    async fn serve(self: Rc<Self>, arrival: Arrival) {
        let prompt = arrival.prompt(&self.mix);
        let result = match self.policy {
            Policy::Daemons => self.send_to_daemon(&arrival, &prompt).await,
            Policy::RoundRobin | Policy::LeastOutstanding => {
                self.send_to_engine(&arrival, &prompt).await
            }
        };
        let tokens = arrival.tokens(&self.mix);
        let mut stats = self.stats.borrow_mut();
        stats.add(arrival.team, &prompt, tokens, &result);
    }

    async fn send_to_daemon(&self, arrival: &Arrival, prompt: &str) -> StreamResult {
        let now = Instant::now();
        let down_from = self.avoided.borrow().clone();
        let alive = |target: &usize| down_from[*target].is_none_or(|from| now < from);
        let alive: Vec<usize> = (0..self.targets.len()).filter(alive).collect();
        let pick = usize::try_from(arrival.pick % alive.len() as u64).unwrap_or(0);
        let address = self.targets[alive[pick]];
        let req = request(
            &self.keys[arrival.team],
            None,
            prompt,
            self.mix.response_tokens,
        );
        stream(&self.client, address, req).await
    }

    async fn send_to_engine(&self, arrival: &Arrival, prompt: &str) -> StreamResult {
        let started = Instant::now();
        let mut result = StreamResult::default();
        for _ in 0..DIRECT_ATTEMPTS {
            let target = self.select_engine();
            self.outstanding.borrow_mut()[target] += 1;
            let salt = format!("team-{}", arrival.team);
            let req = salted_request(&salt, prompt, self.mix.response_tokens);
            let sent = started.elapsed();
            result = stream(&self.client, self.targets[target], req).await;
            result.time_to_first_chunk = result.time_to_first_chunk.map(|first| first + sent);
            self.outstanding.borrow_mut()[target] -= 1;
            if result.complete || result.time_to_first_chunk.is_some() {
                break;
            }
            self.avoided.borrow_mut()[target] = Some(Instant::now() + AVOID_DURATION);
        }
        result
    }

    /// Returns the engine selected by the policy.
    fn select_engine(&self) -> usize {
        let now = Instant::now();
        let avoided = self.avoided.borrow();
        let outstanding = self.outstanding.borrow();
        let count = self.targets.len();
        let next_target = self.next_target.get();
        let mut order: Vec<usize> = (0..count).map(|i| (next_target + i) % count).collect();
        order.retain(|target| avoided[*target].is_none_or(|until| now >= until));
        let chosen = match self.policy {
            Policy::LeastOutstanding => order.iter().min_by_key(|t| outstanding[**t]).copied(),
            Policy::RoundRobin | Policy::Daemons => order.first().copied(),
        };
        let chosen = chosen.unwrap_or(next_target % count);
        self.next_target.set((chosen + 1) % count);
        chosen
    }
}

async fn sleep_until(at: Instant) {
    monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
}
