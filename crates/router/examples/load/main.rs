//! Compares nine daemons in front of ten engines with limited caches to direct
//! requests by round robin and by least outstanding requests.
//!
//! Runs two mixes of long prompts with shared prefixes from five teams. During a
//! run, the requested contexts change, an engine crashes and restarts with an
//! empty cache, a team exceeds its rate, and a daemon is killed.

#![expect(
    clippy::cast_precision_loss,
    reason = "the counts of a run lie far below the precision"
)]

mod drive;
mod mix;
mod stats;
#[path = "../support/mod.rs"]
mod support;

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
use crate::support::caller::wait_until_served;
use crate::support::process::Process;
use crate::support::setup::InstanceConfig;
use crate::support::setup::Setup;
use crate::support::setup::instances;

/// The failure domains.
const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "voss-c"];

/// The number of instances in each failure domain.
const INSTANCES: usize = 3;

/// The number of ports of each instance.
const PORTS: u16 = 3;

/// The number of engines.
const ENGINES: usize = 10;

/// The index of the engine that crashes after a third of the run.
const CRASHED_ENGINE: usize = 3;

/// The time until the crashed engine restarts.
const RESTART_AFTER: Duration = Duration::from_secs(2);

/// The index of the daemon that is killed after seven tenths of the run.
const KILLED_DAEMON: usize = 4;

/// The prefill rate of an engine, in prompt tokens per second.
const PREFILL_RATE: u64 = 20_000;

/// The number of requests that an engine runs concurrently.
const SLOTS: usize = 32;

/// The cache capacity of an engine, in blocks.
const CACHE_BLOCKS: usize = 160;

/// The time between two tokens.
const TOKEN_DELAY: Duration = Duration::from_millis(30);

/// The time in which a team's rate refills its burst, in seconds.
const BURST_SECONDS: u64 = 10;

/// The policies, in the order of the table.
const POLICIES: [(Policy, &str); 3] = [
    (Policy::RoundRobin, "round robin, direct"),
    (Policy::LeastOutstanding, "least outstanding, direct"),
    (Policy::Daemons, "nine daemons"),
];

/// The command-line options.
struct RunConfig {
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
    let cfg = options.parse(args).ok().and_then(|m| parse_config(&m));
    let Some(cfg) = cfg else {
        eprint!("{}", options.usage("Usage: load [OPTIONS]"));
        return ExitCode::FAILURE;
    };
    match run(cfg) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_config(matches: &Matches) -> Option<RunConfig> {
    let daemon = matches.opt_str("daemon");
    let seconds: u64 = matches.opt_get_default("seconds", 60).ok()?;
    Some(RunConfig {
        daemon: daemon.unwrap_or_else(|| "target/release/limpetsaddle".to_owned()),
        port: matches.opt_get_default("port", 23_000).ok()?,
        seed: matches.opt_get_default("seed", 1).ok()?,
        length: Duration::from_secs(seconds.max(1)),
        mix: matches.opt_str("mix"),
    })
}

fn run(mut cfg: RunConfig) -> io::Result<()> {
    for mix in MIXES {
        if cfg.mix.as_ref().is_some_and(|name| name != mix.name) {
            continue;
        }
        let seconds = cfg.length.as_secs();
        println!("\n{}, seed {}, {seconds} s:\n", mix.name, cfg.seed);
        println!(
            "| policy | requests | hit rate | first token p50 / p95 / p99 ms | between tokens p95 ms | computed/unavoidable | worst team of fair share | refused inside the rate | not served |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
        for (policy, name) in POLICIES {
            let driver = run_policy(&mut cfg, mix, policy)?;
            let stats = driver.stats.borrow();
            stats.print(name, &ideal_tokens(&mix, &cfg));
        }
    }
    Ok(())
}

/// Returns a team's rate: 1.5 times its normal demand, in tokens per second.
fn team_rate(mix: &Mix, team: usize) -> u64 {
    mix.demand(team) * 3 / 2
}

/// Returns the number of tokens that a single ideal token bucket would admit for
/// each team.
fn ideal_tokens(mix: &Mix, cfg: &RunConfig) -> Vec<u64> {
    let arrivals = arrivals(mix, cfg.seed, cfg.length);
    let admitted = |team| {
        let rate = team_rate(mix, team) as f64;
        let burst = rate * BURST_SECONDS as f64;
        let mut level = burst;
        let mut last = Duration::ZERO;
        let mut total = 0;
        for arrival in arrivals.iter().filter(|arrival| arrival.team == team) {
            let refilled = rate * arrival.at.saturating_sub(last).as_secs_f64();
            level = burst.min(level + refilled);
            last = arrival.at;
            let tokens = arrival.tokens(mix);
            if level >= tokens as f64 {
                level -= tokens as f64;
                total += tokens;
            }
        }
        total
    };
    (0..TEAM_PERCENT.len()).map(admitted).collect()
}

fn run_policy(cfg: &mut RunConfig, mix: Mix, policy: Policy) -> io::Result<Rc<Driver>> {
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
    let instances = instances(&DOMAINS, INSTANCES, cfg.port);
    let mut targets = setup.engines.iter().map(FakeEngine::address).collect();
    let mut daemons = Vec::new();
    if policy == Policy::Daemons {
        cfg.port += PORTS * u16::try_from(instances.len()).unwrap_or(u16::MAX);
        daemons = start(&cfg.daemon, &setup, &instances)?;
        targets = instances.iter().map(|instance| instance.listen).collect();
    }
    let driver = Rc::new(Driver::new(policy, mix, targets, keys.clone()));
    let arrivals = arrivals(&mix, cfg.seed, cfg.length);
    let daemons = Rc::new(RefCell::new(daemons));
    let faults = schedule_faults(cfg.length, &setup, &driver, &daemons);
    let length = cfg.length;
    run_local(async {
        if policy == Policy::Daemons {
            warm_up(&instances, &keys).await?;
        }
        driver.run(arrivals, faults).await;
        Ok(())
    })?;
    eprintln!("{}: {length:?} done", mix.name);
    Ok(driver)
}

fn start(
    program: &str,
    setup: &Setup,
    instances: &[InstanceConfig],
) -> io::Result<Vec<Option<Process>>> {
    setup.register_instances(instances);
    let platform = setup.platform.address();
    let flags = instances
        .iter()
        .map(|instance| instance.flags(platform, instances));
    flags
        .map(|flags| Process::start(Path::new(program), &flags).map(Some))
        .collect()
}

/// Returns the faults and their times after the start of the run.
fn schedule_faults(
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
        // Direct runs have no daemons.
        if let Some(daemon) = daemons.borrow_mut().get_mut(KILLED_DAEMON) {
            drop(daemon.take());
            driver.mark_down(KILLED_DAEMON);
        }
    };
    vec![
        (
            length / 3,
            Box::new(move || crash.engines[CRASHED_ENGINE].state().crash()),
        ),
        (
            length / 3 + RESTART_AFTER,
            Box::new(move || restart.engines[CRASHED_ENGINE].state().restart_empty()),
        ),
        (length * 7 / 10, Box::new(kill)),
    ]
}

/// Waits until every daemon serves every team and the bursts have refilled.
async fn warm_up(instances: &[InstanceConfig], keys: &[String]) -> io::Result<()> {
    let client = Client::new(ClientOptions::default());
    for instance in instances {
        for key in keys {
            let short = || request(key, None, "warm up", 1);
            wait_until_served(&client, instance.listen, short).await?;
        }
    }
    monoio::time::sleep(Duration::from_secs(BURST_SECONDS)).await;
    Ok(())
}

fn run_local(work: impl Future<Output = io::Result<()>>) -> io::Result<()> {
    let mut out = Ok(());
    let ran: Result<()> = block_on(async {
        out = work.await;
        Ok(())
    });
    ran.map_err(io::Error::other)?;
    out
}
