//! Drives nine daemons before ten engines with limited caches, and the same
//! engines directly by round robin and by least outstanding.
//!
//! Two mixes of long nested prompts of five teams. In mid-run other contexts
//! come into demand, an engine crashes and comes back empty, a team floods, and
//! a daemon is killed.

#![expect(
    clippy::cast_precision_loss,
    reason = "the counts of a run lie far below the precision"
)]

mod drive;
mod mix;
#[path = "../support/mod.rs"]
mod support;
mod tally;

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::FakeEngine;
use limpetsaddle_http::Client;
use limpetsaddle_http::ClientOptions;
use limpetsaddle_router::errors::Result;
use limpetsaddle_router::run::block_on;

use crate::drive::Driver;
use crate::drive::Policy;
use crate::mix::MIXES;
use crate::mix::Mix;
use crate::mix::TEAM_PERCENT;
use crate::mix::arrivals;
use crate::support::caller::request;
use crate::support::caller::until_served;
use crate::support::process::Process;
use crate::support::setup::Place;
use crate::support::setup::Setup;
use crate::support::setup::places;

/// The failure domains.
const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "voss-c"];

/// The instances of each failure domain.
const INSTANCES: usize = 3;

/// The ports of one instance.
const PORTS: u16 = 3;

/// The engines.
const ENGINES: usize = 10;

/// The engine that crashes at a third of the run.
const CRASHED: usize = 3;

/// The time after which it is back.
const RESTART_AFTER: Duration = Duration::from_secs(2);

/// The daemon that is killed at seven tenths of the run.
const KILLED: usize = 4;

/// The prompt tokens that an engine computes in a second.
const PREFILL_RATE: u64 = 20_000;

/// The requests that an engine runs at once.
const SLOTS: usize = 32;

/// The blocks that an engine holds.
const CACHE_BLOCKS: usize = 160;

/// The time between two tokens.
const TOKEN_DELAY: Duration = Duration::from_millis(30);

/// The time for which a team's burst lasts at its rate, in seconds.
const BURST_SECONDS: u64 = 10;

/// The policies, in the order of the table.
const POLICIES: [(Policy, &str); 3] = [
    (Policy::RoundRobin, "round robin, direct"),
    (Policy::LeastOutstanding, "least outstanding, direct"),
    (Policy::Daemons, "nine daemons"),
];

/// A `Plan` is what the command line asks for.
struct Plan {
    daemon: String,
    port: u16,
    seed: u64,
    length: Duration,
    mix: Option<String>,
}

fn main() -> ExitCode {
    let mut options = Options::new();
    let daemon = "the daemon [target/release/limpetsaddle]";
    options.optopt("", "daemon", daemon, "PATH");
    options.optopt("", "port", "first of the ports to use [23000]", "PORT");
    options.optopt("", "seed", "seed of the requests [1]", "NUMBER");
    options.optopt("", "seconds", "length of each run [60]", "SECONDS");
    options.optopt("", "mix", "vestland or lakeshore [both]", "NAME");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let plan = options.parse(args).ok().and_then(|m| plan(&m));
    let Some(plan) = plan else {
        eprint!("{}", options.usage("Usage: load [OPTIONS]"));
        return ExitCode::FAILURE;
    };
    match run(plan) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn plan(matches: &Matches) -> Option<Plan> {
    let daemon = matches.opt_str("daemon");
    let seconds: u64 = matches.opt_get_default("seconds", 60).ok()?;
    Some(Plan {
        daemon: daemon.unwrap_or_else(|| "target/release/limpetsaddle".to_owned()),
        port: matches.opt_get_default("port", 23_000).ok()?,
        seed: matches.opt_get_default("seed", 1).ok()?,
        length: Duration::from_secs(seconds.max(1)),
        mix: matches.opt_str("mix"),
    })
}

fn run(mut plan: Plan) -> io::Result<()> {
    for mix in MIXES {
        if plan.mix.as_ref().is_some_and(|name| name != mix.name) {
            continue;
        }
        let seconds = plan.length.as_secs();
        println!("\n{}, seed {}, {seconds} s:\n", mix.name, plan.seed);
        println!(
            "| policy | requests | hit rate | first token p50 / p95 / p99 ms | between tokens p95 ms | computed/unavoidable | worst team of fair share | refused inside the rate | not served |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        for (policy, name) in POLICIES {
            let driver = drive(&mut plan, mix, policy)?;
            let tally = driver.tally.borrow();
            tally.print(name, &due(&mix, &plan));
        }
    }
    Ok(())
}

/// Returns a team's rate: half more than it ordinarily asks for.
fn team_rate(mix: &Mix, team: usize) -> u64 {
    mix.demand(team) * 3 / 2
}

/// Returns the tokens that one ideal bucket would admit for each team.
fn due(mix: &Mix, plan: &Plan) -> Vec<u64> {
    let arrivals = arrivals(mix, plan.seed, plan.length);
    let one = |team| {
        let rate = team_rate(mix, team) as f64;
        let burst = rate * BURST_SECONDS as f64;
        let mut level = burst;
        let mut last = Duration::ZERO;
        let mut due = 0;
        for arrival in arrivals.iter().filter(|arrival| arrival.team == team) {
            let minted = rate * arrival.at.saturating_sub(last).as_secs_f64();
            level = burst.min(level + minted);
            last = arrival.at;
            let tokens = arrival.tokens(mix);
            if level >= tokens as f64 {
                level -= tokens as f64;
                due += tokens;
            }
        }
        due
    };
    (0..TEAM_PERCENT.len()).map(one).collect()
}

fn drive(plan: &mut Plan, mix: Mix, policy: Policy) -> io::Result<Rc<Driver>> {
    let engine = EngineOptions {
        token_delay: TOKEN_DELAY,
        prefill_rate: PREFILL_RATE,
        slots: SLOTS,
        cache_blocks: CACHE_BLOCKS,
        records: false,
        ..EngineOptions::default()
    };
    let setup = Rc::new(Setup::start(&DOMAINS, ENGINES, &engine)?);
    let keys: Vec<String> = (0..TEAM_PERCENT.len())
        .map(|team| {
            let rate = team_rate(&mix, team);
            setup.put_team(&format!("team-{team}"), rate, rate * BURST_SECONDS)
        })
        .collect();
    let places = places(&DOMAINS, INSTANCES, plan.port);
    let mut targets = setup.engines.iter().map(FakeEngine::address).collect();
    let mut daemons = Vec::new();
    if policy == Policy::Daemons {
        plan.port += PORTS * u16::try_from(places.len()).unwrap_or(u16::MAX);
        daemons = start(&plan.daemon, &setup, &places)?;
        targets = places.iter().map(|place| place.listen).collect();
    }
    let driver = Rc::new(Driver::new(policy, mix, targets, keys.clone()));
    let arrivals = arrivals(&mix, plan.seed, plan.length);
    let daemons = Rc::new(RefCell::new(daemons));
    let disturb = disturb(plan.length, &setup, &driver, &daemons);
    let length = plan.length;
    block(async {
        if policy == Policy::Daemons {
            warm_up(&places, &keys).await?;
        }
        driver.run(arrivals, disturb).await;
        Ok(())
    })?;
    eprintln!("{}: {length:?} done", mix.name);
    Ok(driver)
}

fn start(program: &str, setup: &Setup, places: &[Place]) -> io::Result<Vec<Option<Process>>> {
    setup.list_instances(places);
    let platform = setup.platform.address();
    let flags = places.iter().map(|place| place.flags(platform, places));
    flags
        .map(|flags| Process::start(Path::new(program), &flags).map(Some))
        .collect()
}

/// Returns what goes wrong, and when.
fn disturb(
    length: Duration,
    setup: &Rc<Setup>,
    driver: &Rc<Driver>,
    daemons: &Rc<RefCell<Vec<Option<Process>>>>,
) -> Vec<(Duration, Box<dyn FnOnce()>)> {
    let crash = Rc::clone(setup);
    let restart = Rc::clone(setup);
    let driver = Rc::clone(driver);
    let daemons = Rc::clone(daemons);
    let kill = move || {
        // Direct runs have no daemon to kill.
        if let Some(daemon) = daemons.borrow_mut().get_mut(KILLED) {
            drop(daemon.take());
            driver.lose(KILLED);
        }
    };
    vec![
        (
            length / 3,
            Box::new(move || crash.engines[CRASHED].state().crash()),
        ),
        (
            length / 3 + RESTART_AFTER,
            Box::new(move || restart.engines[CRASHED].state().restart_empty()),
        ),
        (length * 7 / 10, Box::new(kill)),
    ]
}

/// Waits until every team is served everywhere and its burst has filled.
async fn warm_up(places: &[Place], keys: &[String]) -> io::Result<()> {
    let client = Client::new(ClientOptions::default());
    for place in places {
        for key in keys {
            let short = || request(key, None, "warm up", 1);
            until_served(&client, place.listen, short).await?;
        }
    }
    monoio::time::sleep(Duration::from_secs(BURST_SECONDS)).await;
    Ok(())
}

fn block(work: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let mut out = Ok(());
    let ran: Result<()> = block_on(async {
        out = work.await;
        Ok(())
    });
    ran.map_err(io::Error::other)?;
    out
}
