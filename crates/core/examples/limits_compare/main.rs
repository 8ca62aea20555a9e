//! Compares strategies to enforce teams' limits on one skewed workload in virtual time.
//!
//! Prints the refusals of teams within their rate, the largest excess over the
//! limit, and the calls of each strategy; then the cost of the ledger at several
//! sizes.

mod cost;
mod setup;

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use limpetsaddle_core::hash::mix;
use limpetsaddle_core::limits::Account;
use limpetsaddle_core::limits::Ledger;
use limpetsaddle_core::limits::MilliTokenRate;
use limpetsaddle_core::limits::OutgoingRequest;
use limpetsaddle_core::limits::Reservation;
use limpetsaddle_core::limits::ReserveResult;
use limpetsaddle_core::limits::Round;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;

use crate::cost::measure_cost;
use crate::setup::Setup;
use crate::setup::instance_name;
use crate::setup::new_ledger;
use crate::setup::team_name;
use crate::setup::team_rate;

/// The load of a team within its rate, in percent of the rate.
const TEAM_LOAD_PERCENT: u64 = 70;
/// The load of the team beyond its rate, in percent of the rate.
const OVERLOADED_TEAM_LOAD_PERCENT: u64 = 400;
/// The index of the team whose load exceeds its rate.
const OVERLOADED_TEAM: usize = 1;
/// The mean reservation of a request, in tokens.
const MEAN_TOKENS: u64 = 600;
const TICK: Duration = Duration::from_secs(1);
/// The time before results are counted, in which all buckets fill up.
const WARM_UP: Duration = Duration::from_secs(30);
const OUTAGE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Strategy {
    Ledger,
    EqualShares,
    AssignedInstance,
    PlatformCounter,
    SingleBucket,
}

impl Strategy {
    const ALL: [Self; 5] = [
        Self::Ledger,
        Self::EqualShares,
        Self::AssignedInstance,
        Self::PlatformCounter,
        Self::SingleBucket,
    ];

    const fn title(self) -> &'static str {
        match self {
            Self::Ledger => "slots and grants",
            Self::EqualShares => "equal shares",
            Self::AssignedInstance => "assigned instance",
            Self::PlatformCounter => "platform counter",
            Self::SingleBucket => "single ideal bucket",
        }
    }
}

#[derive(Debug, Default)]
struct Totals {
    requests: u64,
    within_rate: u64,
    refused_within_rate: u64,
    overloaded_team_used: u64,
    overloaded_team_rate: u64,
    peer_calls: u64,
    platform_calls: u64,
    excess: u64,
}

#[derive(Debug)]
enum Held {
    Ledger(Reservation),
    Bucket(usize),
}

struct OpenRequest {
    instance: usize,
    team: usize,
    held: Held,
    amount: u64,
    used: u64,
    key: u64,
}

struct Random(u64, u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.1 += 1;
        mix(self.0 ^ mix(self.1)) % limit.max(1)
    }
}

struct Simulation {
    setup: Setup,
    strategy: Strategy,
    now: Time,
    ledgers: Vec<Ledger>,
    indices: BTreeMap<InstanceName, usize>,
    names: Vec<TeamName>,
    buckets: BTreeMap<(usize, usize), Account>,
    open: BTreeMap<(Time, u64), OpenRequest>,
    check_buckets: Vec<(i128, Time)>,
    out: Totals,
    next_key: u64,
}

impl Simulation {
    fn new(setup: Setup, strategy: Strategy) -> Self {
        let count = if strategy == Strategy::Ledger {
            setup.instances
        } else {
            0
        };
        let now = Time::ZERO;
        Self {
            setup,
            strategy,
            now,
            ledgers: (0..count).map(|i| new_ledger(&setup, i, 1, now)).collect(),
            indices: (0..setup.instances)
                .map(|i| (instance_name(i), i))
                .collect(),
            names: (0..setup.teams).map(team_name).collect(),
            buckets: BTreeMap::new(),
            open: BTreeMap::new(),
            check_buckets: vec![(i128::MAX / 2, Time::ZERO); setup.teams],
            out: Totals::default(),
            next_key: 0,
        }
    }

    fn is_counted(&self) -> bool {
        self.now.since_origin() >= WARM_UP
    }

    fn count_peer_calls(&mut self, calls: u64) {
        self.out.peer_calls += calls * u64::from(self.is_counted());
    }

    fn is_fault_active(&self, quarter: u64) -> bool {
        let start = Duration::from_secs(self.setup.seconds * quarter / 4);
        let elapsed = self.now.since_origin();
        self.setup.faults && elapsed >= start && elapsed < start + OUTAGE
    }

    /// Returns whether two instances can't reach each other.
    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let (a, b) = (a % self.setup.domains, b % self.setup.domains);
        a != b && (a == 0 || b == 0) && self.is_fault_active(2)
    }

    fn send(&mut self, from: usize, out: &OutgoingRequest) {
        let Some(to) = self.indices.get(&out.to).copied() else {
            return;
        };
        self.count_peer_calls(1);
        if !self.is_partitioned(from, to) {
            let reply = self.ledgers[to].on_grant_request(&out.request, self.now);
            self.ledgers[from].on_grant_reply(&reply, self.now);
        }
    }

    fn tick(&mut self) {
        for index in 0..self.ledgers.len() {
            self.ledgers[index].on_contact(self.now);
            for out in self.ledgers[index].tick(self.now) {
                self.send(index, &out);
            }
        }
    }

    fn reserve(&mut self, instance: usize, team: usize, amount: u64) -> Option<Held> {
        match self.strategy {
            Strategy::Ledger => self.reserve_in_ledger(instance, team, amount),
            Strategy::EqualShares => self.reserve_in(instance, team, amount, self.setup.instances),
            Strategy::SingleBucket => self.reserve_in(0, team, amount, 1),
            Strategy::AssignedInstance => {
                let assigned =
                    usize::try_from(mix(team as u64)).unwrap_or(0) % self.setup.instances;
                if assigned != instance {
                    self.count_peer_calls(2);
                }
                if self.is_partitioned(assigned, instance) {
                    return None;
                }
                self.reserve_in(assigned, team, amount, 1)
            }
            Strategy::PlatformCounter => {
                self.out.platform_calls += 2 * u64::from(self.is_counted());
                let is_cut_off =
                    instance.is_multiple_of(self.setup.domains) && self.is_fault_active(2);
                if is_cut_off || self.is_fault_active(3) {
                    return None;
                }
                self.reserve_in(0, team, amount, 1)
            }
        }
    }

    fn reserve_in_ledger(&mut self, instance: usize, team: usize, amount: u64) -> Option<Held> {
        let name = self.names[team].clone();
        let mut round = Round::Local;
        loop {
            let ledger = &mut self.ledgers[instance];
            match ledger.reserve(&name, Tokens(amount), round, self.now) {
                ReserveResult::Admitted(held) => return Some(Held::Ledger(held)),
                ReserveResult::Refused(_) => return None,
                ReserveResult::NeedsGrants(requests) => {
                    for out in &requests {
                        self.send(instance, out);
                    }
                }
            }
            round = round.next();
        }
    }

    /// Reserves in the bucket at instance `bucket_owner`, one of `divisor` equal ones.
    fn reserve_in(
        &mut self,
        bucket_owner: usize,
        team: usize,
        amount: u64,
        divisor: usize,
    ) -> Option<Held> {
        let rate = team_rate(&self.setup, team) * 1_000 / divisor as u64;
        let burst = Tokens(team_rate(&self.setup, team) * 5 / divisor as u64);
        let now = self.now;
        let bucket = self.buckets.entry((bucket_owner, team)).or_insert_with(|| {
            let mut bucket = Account::new(now);
            bucket.set_limits(MilliTokenRate(rate), burst, now);
            bucket
        });
        bucket.refill(now);
        let key = self.next_key;
        bucket
            .reserve(key, Tokens(amount))
            .then_some(Held::Bucket(bucket_owner))
    }

    fn arrive(&mut self, instance: usize, team: usize, amount: u64, used: u64, duration: Duration) {
        self.next_key += 1;
        let counted = self.is_counted();
        let outcome = self.reserve(instance, team, amount);
        if counted {
            self.out.requests += 1;
            let within_rate = u64::from(team != OVERLOADED_TEAM);
            self.out.within_rate += within_rate;
            self.out.refused_within_rate += within_rate * u64::from(outcome.is_none());
        }
        let Some(held) = outcome else {
            return;
        };
        if counted && team == OVERLOADED_TEAM {
            self.out.overloaded_team_used += used;
        }
        self.check(team, used);
        let key = self.next_key;
        let open = OpenRequest {
            instance,
            team,
            held,
            amount,
            used,
            key,
        };
        self.open.insert((self.now + duration, key), open);
    }

    /// Draws from a bucket that is full at the start; a negative level is an excess.
    fn check(&mut self, team: usize, used: u64) {
        let now = self.now;
        let rate = i128::from(team_rate(&self.setup, team));
        let (level, last) = &mut self.check_buckets[team];
        let nanos = i128::try_from(now.since(*last).as_nanos()).unwrap_or(i128::MAX);
        let refill = rate * nanos;
        *level = level.saturating_add(refill).min(rate * 5 * 1_000_000_000);
        *level -= i128::from(used) * 1_000_000_000;
        *last = now;
        let excess = u64::try_from(-*level / 1_000_000_000).unwrap_or(0);
        self.out.excess = self.out.excess.max(excess);
    }

    fn settle_until(&mut self, now: Time) {
        while let Some(entry) = self.open.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let ((when, _), open) = entry.remove_entry();
            let unused = Tokens(open.amount - open.used);
            match open.held {
                Held::Ledger(held) => {
                    self.ledgers[open.instance].settle(held, Tokens(open.used), when);
                }
                Held::Bucket(bucket_owner) => {
                    if let Some(bucket) = self.buckets.get_mut(&(bucket_owner, open.team)) {
                        bucket.refill(when);
                        bucket.settle(open.key, unused);
                    }
                }
            }
        }
    }

    /// Replaces instance 1 by a new process without state.
    fn crash(&mut self) {
        self.open.retain(|_, open| open.instance != 1);
        if self.strategy == Strategy::Ledger {
            self.ledgers[1] = new_ledger(&self.setup, 1, 2, self.now);
        }
        if matches!(
            self.strategy,
            Strategy::EqualShares | Strategy::AssignedInstance
        ) {
            self.buckets
                .retain(|(bucket_owner, _), _| *bucket_owner != 1);
        }
    }

    fn run(mut self) -> Totals {
        let setup = self.setup;
        let mut random = Random(setup.seed, 0);
        let step = Duration::from_millis(1);
        let mut crashed = !setup.faults;
        for millis in 0..setup.seconds * 1_000 {
            self.now = Time::from_origin(step * u32::try_from(millis).unwrap_or(u32::MAX));
            self.settle_until(self.now);
            if u128::from(millis) % TICK.as_millis() == 0 {
                self.tick();
            }
            if !crashed && millis >= setup.seconds * 250 {
                crashed = true;
                self.crash();
            }
            for team in 0..setup.teams {
                let load = if team == OVERLOADED_TEAM {
                    OVERLOADED_TEAM_LOAD_PERCENT
                } else {
                    TEAM_LOAD_PERCENT
                };
                // On average, half of a reservation is used.
                let mut expected = team_rate(&setup, team) * load * 2 / 100;
                while expected > MEAN_TOKENS * 1_000 {
                    expected -= MEAN_TOKENS * 1_000;
                    self.request(team, &mut random);
                }
                if random.below(MEAN_TOKENS * 1_000) < expected {
                    self.request(team, &mut random);
                }
            }
        }
        let counted = setup.seconds - WARM_UP.as_secs();
        self.out.overloaded_team_rate = self.out.overloaded_team_used / counted.max(1);
        self.out
    }

    fn request(&mut self, team: usize, random: &mut Random) {
        let amount = 100 + random.below(2 * MEAN_TOKENS - 200);
        let used = amount / 4 + random.below(amount / 2);
        let duration = Duration::from_millis(100 + random.below(2_000));
        let all = self.setup.instances as u64;
        // The load balancer sends half of the requests to a third of the instances.
        let favoured = random.below(2) == 0;
        let instance = random.below(if favoured { all.div_ceil(3) } else { all });
        let instance = usize::try_from(instance).unwrap_or(0);
        self.arrive(instance, team, amount, used.max(1), duration);
    }
}

fn compare(setup: Setup) {
    println!("{setup:?}");
    println!(
        "| strategy | refused within the rate | excess, tokens | overloaded team, tokens/s | peer calls per 1,000 | platform calls per 1,000 |"
    );
    println!("|---|---|---|---|---|---|");
    for strategy in Strategy::ALL {
        let out = Simulation::new(setup, strategy).run();
        let per_thousand = |n: u64| n * 1_000 / out.requests.max(1);
        println!(
            "| {} | {} of {} | {} | {} | {} | {} |",
            strategy.title(),
            out.refused_within_rate,
            out.within_rate,
            out.excess,
            out.overloaded_team_rate,
            per_thousand(out.peer_calls),
            per_thousand(out.platform_calls),
        );
    }
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the workload (1)", "N");
    options.optopt("", "seconds", "virtual seconds of each run (300)", "N");
    options.optopt("", "instances", "instances (9)", "N");
    options.optopt("", "domains", "failure domains (3)", "N");
    options.optopt("", "teams", "teams (5)", "N");
    options.optopt(
        "",
        "homes",
        "failure domains that issue tokens of a small team (1)",
        "N",
    );
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("{e}\n{}", options.usage("limits_compare [options]"));
            return ExitCode::FAILURE;
        }
    };
    let number = |name: &str, or: u64| {
        matches
            .opt_str(name)
            .and_then(|t| t.parse().ok())
            .unwrap_or(or)
    };
    let size = |name: &str, or: u64| usize::try_from(number(name, or)).unwrap_or(1);
    let setup = Setup {
        domains: size("domains", 3),
        instances: size("instances", 9),
        teams: size("teams", 5),
        small_team_domains: size("homes", 1),
        seconds: number("seconds", 300),
        seed: number("seed", 1),
        faults: false,
    };
    compare(setup);
    compare(Setup {
        faults: true,
        ..setup
    });
    println!("| teams | reserve + settle, ns | idle tick, ns | bytes a team | admitted |");
    println!("|---|---|---|---|---|");
    // The ledgers are kept, since freed memory would falsify the next measurement.
    let sizes = [5, 100, 1_100, 4_400];
    let kept: Vec<_> = sizes.into_iter().map(measure_cost).collect();
    drop(kept);
    ExitCode::SUCCESS
}
