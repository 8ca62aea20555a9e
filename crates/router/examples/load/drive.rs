//! The runs: callers before daemons, or before the engines themselves.

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
use crate::support::caller::Streamed;
use crate::support::caller::request;
use crate::support::caller::salted_request;
use crate::support::caller::stream;
use crate::tally::Tally;

/// The time after which a balancer passes over an instance that has died.
const BALANCER_DELAY: Duration = Duration::from_secs(1);

/// The time for which an engine is passed over after a failure.
const AVOID: Duration = Duration::from_secs(2);

/// The attempts of a request that is sent to the engines directly.
const DIRECT_ATTEMPTS: usize = 3;

/// A `Policy` is how a caller chooses where to send a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// To a daemon, as a balancer would.
    Daemons,
    /// To the engines in turn.
    RoundRobin,
    /// To the engine with the fewest requests of all callers.
    LeastOutstanding,
}

/// A `Driver` sends the requests of a run.
pub struct Driver {
    policy: Policy,
    mix: Mix,
    /// The daemons or the engines.
    targets: Vec<SocketAddr>,
    keys: Vec<String>,
    /// When a target is in use again after a failure, if ever.
    avoided: RefCell<Vec<Option<Instant>>>,
    outstanding: RefCell<Vec<usize>>,
    turn: Cell<usize>,
    client: Client,
    /// What came of the requests.
    pub tally: RefCell<Tally>,
}

impl Driver {
    /// Returns a driver that has sent nothing yet.
    pub fn new(policy: Policy, mix: Mix, targets: Vec<SocketAddr>, keys: Vec<String>) -> Self {
        Self {
            policy,
            mix,
            avoided: RefCell::new(vec![None; targets.len()]),
            outstanding: RefCell::new(vec![0; targets.len()]),
            targets,
            keys,
            turn: Cell::new(0),
            client: Client::new(ClientOptions::default()),
            tally: RefCell::new(Tally::new()),
        }
    }

    /// Sends the arrivals, does `disturb` at the given times, and waits for all
    /// answers.
    pub async fn run(
        self: &Rc<Self>,
        arrivals: Vec<Arrival>,
        mut disturb: Vec<(Duration, Box<dyn FnOnce()>)>,
    ) {
        disturb.sort_by_key(|(at, _)| *at);
        let disturb = monoio::spawn(async move {
            let started = Instant::now();
            for (at, act) in disturb {
                pause_until(started + at).await;
                act();
            }
        });
        let started = Instant::now();
        let mut tasks = Vec::new();
        for arrival in arrivals {
            pause_until(started + arrival.at).await;
            tasks.push(monoio::spawn(Rc::clone(self).serve(arrival)));
        }
        for task in tasks {
            task.await;
        }
        disturb.await;
    }

    /// Makes the balancer pass over a target some time after this.
    pub fn lose(&self, target: usize) {
        self.avoided.borrow_mut()[target] = Some(Instant::now() + BALANCER_DELAY);
    }

    async fn serve(self: Rc<Self>, arrival: Arrival) {
        let prompt = arrival.prompt(&self.mix);
        let seen = match self.policy {
            Policy::Daemons => self.ask_daemon(&arrival, &prompt).await,
            Policy::RoundRobin | Policy::LeastOutstanding => {
                self.ask_engine(&arrival, &prompt).await
            }
        };
        let tokens = arrival.tokens(&self.mix);
        let mut tally = self.tally.borrow_mut();
        tally.add(arrival.team, &prompt, tokens, &seen);
    }

    async fn ask_daemon(&self, arrival: &Arrival, prompt: &str) -> Streamed {
        let now = Instant::now();
        let lost = self.avoided.borrow().clone();
        let alive = |target: &usize| lost[*target].is_none_or(|from| now < from);
        let alive: Vec<usize> = (0..self.targets.len()).filter(alive).collect();
        let pick = usize::try_from(arrival.pick % alive.len() as u64).unwrap_or(0);
        let address = self.targets[alive[pick]];
        let req = request(&self.keys[arrival.team], None, prompt, self.mix.answer);
        stream(&self.client, address, req).await
    }

    async fn ask_engine(&self, arrival: &Arrival, prompt: &str) -> Streamed {
        let begun = Instant::now();
        let mut seen = Streamed::default();
        for _ in 0..DIRECT_ATTEMPTS {
            let target = self.choose();
            self.outstanding.borrow_mut()[target] += 1;
            let salt = format!("team-{}", arrival.team);
            let req = salted_request(&salt, prompt, self.mix.answer);
            let sent = begun.elapsed();
            seen = stream(&self.client, self.targets[target], req).await;
            seen.first = seen.first.map(|first| first + sent);
            self.outstanding.borrow_mut()[target] -= 1;
            if seen.complete || seen.first.is_some() {
                break;
            }
            self.avoided.borrow_mut()[target] = Some(Instant::now() + AVOID);
        }
        seen
    }

    /// Returns the engine to ask, by the policy.
    fn choose(&self) -> usize {
        let now = Instant::now();
        let avoided = self.avoided.borrow();
        let outstanding = self.outstanding.borrow();
        let count = self.targets.len();
        let turn = self.turn.get();
        let mut order: Vec<usize> = (0..count).map(|i| (turn + i) % count).collect();
        order.retain(|target| avoided[*target].is_none_or(|until| now >= until));
        let chosen = match self.policy {
            Policy::LeastOutstanding => order.iter().min_by_key(|t| outstanding[**t]).copied(),
            Policy::RoundRobin | Policy::Daemons => order.first().copied(),
        };
        let chosen = chosen.unwrap_or(turn % count);
        self.turn.set((chosen + 1) % count);
        chosen
    }
}

async fn pause_until(at: Instant) {
    monoio::time::sleep(at.saturating_duration_since(Instant::now())).await;
}
