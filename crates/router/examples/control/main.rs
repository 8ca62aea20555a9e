//! Measures the cost of the control plane per daemon: CPU time, memory, traffic
//! with peers and the platform, and calls to the platform.
//!
//! Daemons run as separate processes in one failure domain. Relays count their
//! traffic with each other and the platform. One dimension varies at a time: the
//! instances, the configuration objects, their changes, the managed engines, and
//! short requests of a hundred teams.

#![expect(
    clippy::cast_precision_loss,
    reason = "the counts of a run lie far below the precision"
)]

mod callers;
#[path = "../support/mod.rs"]
mod support;

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use getopts::Options;
use limpetsaddle_core::keys::IssuedKey;
use limpetsaddle_core::keys::issue_key;
use limpetsaddle_fakes::EngineOptions;
use limpetsaddle_fakes::FakeEngine;
use serde_json::Value;
use serde_json::json;

use crate::support::fit::fit_line;
use crate::support::process::Process;
use crate::support::relay;
use crate::support::relay::Relay;
use crate::support::setup::InstanceConfig;
use crate::support::setup::Setup;
use crate::support::setup::instances;

/// The failure domain.
const DOMAIN: &str = "bergen-a";

/// The failure domain of the engines that other instances manage.
const REMOTE_DOMAIN: &str = "voss-c";

/// The model of the managed engines.
const FLEET_MODEL: &str = "spruce-70b";

/// The default number of instances.
const INSTANCES: u32 = 6;

/// The default number of configuration objects.
const OBJECTS: u32 = 100;

/// The number of ports of each instance.
const PORTS: u16 = 3;

/// A fleet to measure.
#[derive(Clone, Copy)]
struct Case {
    instances: u32,
    objects: u32,
    engines: u32,
    /// The number of engines in other failure domains.
    remote_engines: u32,
    changes: u32,
    requests: u32,
}

/// The base case; each other case differs in one dimension.
const BASE: Case = Case {
    instances: INSTANCES,
    objects: OBJECTS,
    engines: 0,
    remote_engines: 0,
    changes: 0,
    requests: 0,
};

/// One of 19 failure domains of a fleet of 450 instances, 1,100 teams and 4,700
/// engines, without callers.
const TARGET: Case = Case {
    instances: 24,
    objects: 1_100,
    engines: 247,
    remote_engines: 4_453,
    changes: 0,
    requests: 0,
};

/// A dimension that varies, and its sizes.
struct Dimension {
    name: &'static str,
    /// The unit of the fits; `label` is its name.
    unit: f64,
    label: &'static str,
    base: u32,
    sizes: &'static [u32],
    set: fn(&mut Case, u32),
}

/// The dimensions.
const DIMENSIONS: &[Dimension] = &[
    Dimension {
        name: "instances",
        unit: 1.0,
        label: "instance of the domain",
        base: BASE.instances,
        sizes: &[3, 12, 24],
        set: |case, size| case.instances = size,
    },
    Dimension {
        name: "objects",
        unit: 1_000.0,
        label: "1,000 objects",
        base: BASE.objects,
        sizes: &[1_000, 5_000],
        set: |case, size| case.objects = size,
    },
    Dimension {
        name: "changes",
        unit: 1.0,
        label: "change a second",
        base: BASE.changes,
        sizes: &[1, 4],
        set: |case, size| case.changes = size,
    },
    Dimension {
        name: "engines",
        unit: 100.0,
        label: "100 engines",
        base: BASE.engines,
        sizes: &[50, 200],
        set: |case, size| case.engines = size,
    },
    Dimension {
        name: "requests",
        unit: 1.0,
        label: "request a second, fleet",
        base: BASE.requests,
        sizes: &[30, 120],
        set: |case, size| case.requests = size,
    },
];

/// The resource usage of a fleet, as the mean per instance unless noted.
struct Cost {
    case: Case,
    /// Percent of a core; `busiest` is the maximum of all instances.
    processor: f64,
    busiest: f64,
    /// CPU time from startup to the beginning of the window, in milliseconds.
    start: f64,
    /// Resident memory in MB; `largest` is the maximum of all instances.
    resident: f64,
    largest: f64,
    /// Traffic with peers in bytes per second, sent and received.
    peer: f64,
    /// Traffic with the platform in bytes per second, in both directions;
    /// `max_platform` is the maximum of all instances.
    platform: f64,
    max_platform: f64,
    /// Calls to the platform per second by the whole fleet.
    reads: f64,
    writes: f64,
}

/// The benchmark settings.
struct Bench {
    program: PathBuf,
    port: u16,
    settle: Duration,
    window: Duration,
    vary: Option<String>,
}

/// The cumulative usage of a fleet.
struct Usage {
    processor: Vec<f64>,
    peer: u64,
    platform: Vec<u64>,
    reads: u64,
    writes: u64,
}

/// Running daemons behind their relays.
struct Fleet {
    daemons: Vec<Process>,
    peers: Vec<Relay>,
    platforms: Vec<Relay>,
}

fn main() -> ExitCode {
    let mut options = Options::new();
    let daemon = "the daemon [target/release/limpetsaddle]";
    options.optopt("", "daemon", daemon, "PATH");
    options.optopt("", "port", "first of the ports to use [21000]", "PORT");
    options.optopt("", "settle", "wait before each window [12]", "SECONDS");
    options.optopt("", "window", "length of each window [20]", "SECONDS");
    let names = "instances, objects, changes, engines, requests or target [all]";
    options.optopt("", "vary", names, "NAME");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let bench = options.parse(args).ok().and_then(|matches| {
        let daemon = matches.opt_str("daemon");
        let seconds = |name, default| matches.opt_get_default::<u64>(name, default).ok();
        Some(Bench {
            program: daemon
                .unwrap_or_else(|| "target/release/limpetsaddle".to_owned())
                .into(),
            port: matches.opt_get_default("port", 21_000).ok()?,
            settle: Duration::from_secs(seconds("settle", 12)?),
            window: Duration::from_secs(seconds("window", 20)?.max(1)),
            vary: matches.opt_str("vary"),
        })
    });
    let Some(bench) = bench else {
        eprint!("{}", options.usage("Usage: control [OPTIONS]"));
        return ExitCode::FAILURE;
    };
    match run(bench) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("control: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut bench: Bench) -> io::Result<()> {
    print_header();
    let base = bench.measure(BASE)?;
    print_cost(&base);
    let mut measured = Vec::new();
    for dimension in DIMENSIONS {
        if bench.vary.as_ref().is_some_and(|v| v != dimension.name) {
            continue;
        }
        let mut costs = Vec::new();
        for size in dimension.sizes {
            let mut case = BASE;
            (dimension.set)(&mut case, *size);
            let cost = bench.measure(case)?;
            print_cost(&cost);
            costs.push((f64::from(*size), cost));
        }
        measured.push((dimension, costs));
    }
    if bench.vary.as_ref().is_none_or(|v| v == "target") {
        print_cost(&bench.measure(TARGET)?);
    }
    println!("\n| a unit | figure | at nothing | each adds | farthest point |");
    println!("|---|---|---|---|---|");
    for (dimension, costs) in &measured {
        let mut points = vec![(f64::from(dimension.base), &base)];
        points.extend(costs.iter().map(|(size, cost)| (*size, cost)));
        print_fits(dimension, &points);
    }
    Ok(())
}

impl Bench {
    fn measure(&mut self, case: Case) -> io::Result<Cost> {
        let serving = usize::from(case.requests > 0);
        let engine = EngineOptions {
            records: false,
            ..EngineOptions::default()
        };
        let setup = Setup::start(&[DOMAIN], serving, &engine)?;
        let keys = put_objects(&setup, case.objects);
        let _engine = put_engines(&setup, &case)?;
        let instances = instances(&[DOMAIN], case.instances as usize, self.port);
        // The port of a closed listener cannot be bound again immediately.
        self.port += PORTS * u16::try_from(case.instances).unwrap_or(u16::MAX);
        let fleet = Fleet::start(&self.program, &setup, &instances)?;
        thread::sleep(self.settle);
        let before = fleet.usage(&setup);
        let started = Instant::now();
        if case.requests > 0 {
            callers::send_requests(&instances, &keys, case.requests, self.window)?;
        } else {
            make_changes(&setup, case.changes, self.window);
        }
        let after = fleet.usage(&setup);
        Ok(fleet.cost(case, &before, &after, started.elapsed()))
    }
}

impl Fleet {
    fn start(program: &Path, setup: &Setup, instances: &[InstanceConfig]) -> io::Result<Self> {
        let addresses: Vec<SocketAddr> = instances.iter().map(|instance| instance.peer).collect();
        let peers = relay::start(&addresses)?;
        let platforms = relay::start(&vec![setup.platform.address(); instances.len()])?;
        let mut advertised = instances.to_vec();
        for (instance, relay) in advertised.iter_mut().zip(&peers) {
            instance.peer = relay.address;
        }
        setup.register_instances(&advertised);
        let mut daemons = Vec::new();
        for (i, instance) in instances.iter().enumerate() {
            let mut flags = instance.flags(platforms[i].address, &advertised);
            flags.extend(["--advertise".to_owned(), advertised[i].peer.to_string()]);
            daemons.push(Process::start(program, &flags)?);
        }
        Ok(Self {
            daemons,
            peers,
            platforms,
        })
    }

    fn usage(&self, setup: &Setup) -> Usage {
        let calls = setup.platform.state().calls;
        let processor = self.daemons.iter().map(Process::cpu_time);
        Usage {
            processor: processor.map(|t| t.as_secs_f64()).collect(),
            peer: self.peers.iter().map(Relay::bytes).sum(),
            platform: self.platforms.iter().map(Relay::bytes).collect(),
            reads: calls.reads + calls.watches,
            writes: calls.writes,
        }
    }

    fn cost(&self, case: Case, before: &Usage, after: &Usage, elapsed: Duration) -> Cost {
        let seconds = elapsed.as_secs_f64();
        let rate = |a: u64, b: u64| (b - a) as f64 / seconds;
        let used = before.processor.iter().zip(&after.processor);
        let used: Vec<f64> = used.map(|(a, b)| (b - a) / seconds * 100.0).collect();
        let platform = before.platform.iter().zip(&after.platform);
        let platform: Vec<f64> = platform.map(|(a, b)| rate(*a, *b)).collect();
        let resident = self.daemons.iter().map(|d| d.resident_bytes() as f64 / 1e6);
        let resident: Vec<f64> = resident.collect();
        let start: Vec<f64> = before.processor.iter().map(|s| s * 1_000.0).collect();
        Cost {
            case,
            processor: mean(&used),
            busiest: largest(&used),
            start: mean(&start),
            resident: mean(&resident),
            largest: largest(&resident),
            // Each byte is sent by one instance and received by another.
            peer: rate(before.peer, after.peer) * 2.0 / f64::from(case.instances),
            platform: mean(&platform),
            max_platform: largest(&platform),
            reads: rate(before.reads, after.reads),
            writes: rate(before.writes, after.writes),
        }
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn largest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Writes teams with three keys each, which stand for the configuration objects of
/// a site, and returns the first key of each team.
fn put_objects(setup: &Setup, count: u32) -> Vec<String> {
    for i in 0..count {
        setup.put(&format!("team/t{i}"), team(i, 0));
    }
    (0..count).map(|i| key(i, 0).text).collect()
}

fn key(team: u32, number: u32) -> IssuedKey {
    let id = format!("t{team}k{number}").parse().expect("invalid key ID");
    issue_key(&id, *b"a-key-for-examples-only!")
}

fn team(number: u32, version: u32) -> Value {
    let keys: Vec<_> = (0..3).map(|k| key(number, k).record).collect();
    json!({"team": {
        "rate": 2_000 + version,
        "burst": 40_000,
        "weight": 1,
        "allotments": [{"domain": DOMAIN, "parts": 1_000, "spread": 1}],
        "keys": keys,
    }})
}

/// Writes upstreams that all have the address of one engine, and returns it.
fn put_engines(setup: &Setup, case: &Case) -> io::Result<FakeEngine> {
    let engine = FakeEngine::start(EngineOptions {
        model: FLEET_MODEL.to_owned(),
        records: false,
        ..EngineOptions::default()
    })?;
    let kind = json!({"engine": {"model": FLEET_MODEL, "weights": 1, "block": 256}});
    setup.put(
        "pool/fleet",
        json!({"pool": {"kind": kind, "checks_fencing": true}}),
    );
    setup.put(
        &format!("domain/{REMOTE_DOMAIN}"),
        json!({"domain": {"region": "vestland", "slots": 6}}),
    );
    for i in 0..case.engines + case.remote_engines {
        let address = engine.address();
        let domain = if i < case.engines {
            DOMAIN
        } else {
            REMOTE_DOMAIN
        };
        let spec = json!({"pool": "fleet", "domain": domain, "address": address});
        setup.put(&format!("upstream/fleet-{i}"), json!({"upstream": spec}));
    }
    Ok(engine)
}

/// Changes `rate` teams per second at even intervals for the length of `window`.
fn make_changes(setup: &Setup, rate: u32, window: Duration) {
    if rate == 0 {
        thread::sleep(window);
        return;
    }
    let seconds = u32::try_from(window.as_secs()).unwrap_or(u32::MAX);
    for i in 0..rate * seconds {
        let number = i % OBJECTS;
        setup.put(&format!("team/t{number}"), team(number, i + 1));
        thread::sleep(Duration::from_secs(1) / rate);
    }
}

fn print_header() {
    println!(
        "| instances | objects | engines here + elsewhere | changes a second | requests a second | processor, % of a core | busiest | until the window, ms | resident, MB | largest | peers, bytes a second | platform, bytes a second | most | reads a second, fleet | writes a second, fleet |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
}

fn print_cost(cost: &Cost) {
    let case = cost.case;
    println!(
        "| {} | {} | {} + {} | {} | {} | {:.2} | {:.2} | {:.0} | {:.1} | {:.1} | {:.0} | {:.0} | {:.0} | {:.2} | {:.2} |",
        case.instances,
        case.objects,
        case.engines,
        case.remote_engines,
        case.changes,
        case.requests,
        cost.processor,
        cost.busiest,
        cost.start,
        cost.resident,
        cost.largest,
        cost.peer,
        cost.platform,
        cost.max_platform,
        cost.reads,
        cost.writes,
    );
}

/// The name of a figure, and the function that reads it from a cost.
type Figure = (&'static str, fn(&Cost) -> f64);

/// The figures for which lines are fitted.
const FIGURES: [Figure; 9] = [
    ("processor, % of a core", |c| c.processor),
    ("processor of the busiest", |c| c.busiest),
    ("until the window, ms", |c| c.start),
    ("resident, MB", |c| c.resident),
    ("peers, bytes a second", |c| c.peer),
    ("platform, bytes a second", |c| c.platform),
    ("platform, most", |c| c.max_platform),
    ("reads a second, fleet", |c| c.reads),
    ("writes a second, fleet", |c| c.writes),
];

fn print_fits(dimension: &Dimension, points: &[(f64, &Cost)]) {
    for (name, figure) in FIGURES {
        let points = points.iter();
        let points = points.map(|(size, cost)| (size / dimension.unit, figure(cost)));
        let line = fit_line(&points.collect::<Vec<_>>());
        println!(
            "| {} | {name} | {:.2} | {:.3} | {:.2} |",
            dimension.label, line.intercept, line.slope, line.max_residual
        );
    }
}
