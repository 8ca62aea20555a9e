//! Measures what control costs a daemon: processor time, memory, bytes to and
//! from peers and the platform, and calls of the platform.
//!
//! Daemons run in processes of their own in one failure domain. All that they send each other and the platform passes relays that
//! count it. One dimension at a time is varied: the instances, the objects of
//! the configuration, its changes, the engines to be looked after, and short
//! requests of a hundred teams.

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

use crate::support::fit::fit;
use crate::support::process::Process;
use crate::support::relay;
use crate::support::relay::Relay;
use crate::support::setup::Place;
use crate::support::setup::Setup;
use crate::support::setup::places;

/// The failure domain.
const DOMAIN: &str = "bergen-a";

/// The failure domain of the engines that others look after.
const ELSEWHERE: &str = "voss-c";

/// The model of the engines that are looked after.
const FLEET_MODEL: &str = "spruce-70b";

/// The instances where they are not what is varied.
const INSTANCES: u32 = 6;

/// The objects where they are not what is varied.
const OBJECTS: u32 = 100;

/// The ports of one instance.
const PORTS: u16 = 3;

/// A `Case` is one fleet to measure.
#[derive(Clone, Copy)]
struct Case {
    instances: u32,
    objects: u32,
    engines: u32,
    /// The engines of other failure domains.
    elsewhere: u32,
    changes: u32,
    requests: u32,
}

/// The fleet that the varied ones differ from in one dimension.
const BASE: Case = Case {
    instances: INSTANCES,
    objects: OBJECTS,
    engines: 0,
    elsewhere: 0,
    changes: 0,
    requests: 0,
};

/// One of 19 failure domains of a fleet of 450 instances, 1,100 teams and 4,700
/// engines, without callers.
const TARGET: Case = Case {
    instances: 24,
    objects: 1_100,
    engines: 247,
    elsewhere: 4_453,
    changes: 0,
    requests: 0,
};

/// A `Dimension` is what is varied, with its sizes.
struct Dimension {
    name: &'static str,
    /// The unit of the fits, and its name.
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

/// A `Cost` is what a fleet used a second, for each instance.
struct Cost {
    case: Case,
    /// Percent of a core, and that of the busiest instance.
    processor: f64,
    busiest: f64,
    /// Processor time from the start to the beginning of the window, in ms.
    start: f64,
    /// Resident memory in MB, and that of the largest instance.
    resident: f64,
    largest: f64,
    /// Bytes a second of connections with peers, sent and received.
    peer: f64,
    /// Bytes a second of connections with the platform, both ways, and those
    /// of the instance with most.
    platform: f64,
    most_platform: f64,
    /// Calls of the platform a second by the whole fleet.
    reads: f64,
    writes: f64,
}

/// A `Bench` holds how cases are run.
struct Bench {
    program: PathBuf,
    port: u16,
    settle: Duration,
    window: Duration,
    vary: Option<String>,
}

/// A `Total` is what the instances of a fleet have used so far.
struct Total {
    processor: Vec<f64>,
    peer: u64,
    platform: Vec<u64>,
    reads: u64,
    writes: u64,
}

/// A `Fleet` is a set of running daemons behind their relays.
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
    print_head();
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
        let places = places(&[DOMAIN], case.instances as usize, self.port);
        // A closed listener's port cannot be bound again at once.
        self.port += PORTS * u16::try_from(case.instances).unwrap_or(u16::MAX);
        let fleet = Fleet::start(&self.program, &setup, &places)?;
        thread::sleep(self.settle);
        let before = fleet.total(&setup);
        let began = Instant::now();
        if case.requests > 0 {
            callers::call(&places, &keys, case.requests, self.window)?;
        } else {
            make_changes(&setup, case.changes, self.window);
        }
        let after = fleet.total(&setup);
        Ok(fleet.cost(case, &before, &after, began.elapsed()))
    }
}

impl Fleet {
    fn start(program: &Path, setup: &Setup, places: &[Place]) -> io::Result<Self> {
        let addresses: Vec<SocketAddr> = places.iter().map(|place| place.peer).collect();
        let peers = relay::start(&addresses)?;
        let platforms = relay::start(&vec![setup.platform.address(); places.len()])?;
        let mut shown = places.to_vec();
        for (place, relay) in shown.iter_mut().zip(&peers) {
            place.peer = relay.address;
        }
        setup.list_instances(&shown);
        let mut daemons = Vec::new();
        for (i, place) in places.iter().enumerate() {
            let mut flags = place.flags(platforms[i].address, &shown);
            flags.extend(["--advertise".to_owned(), shown[i].peer.to_string()]);
            daemons.push(Process::start(program, &flags)?);
        }
        Ok(Self {
            daemons,
            peers,
            platforms,
        })
    }

    fn total(&self, setup: &Setup) -> Total {
        let calls = setup.platform.state().calls;
        let processor = self.daemons.iter().map(Process::processor_time);
        Total {
            processor: processor.map(|t| t.as_secs_f64()).collect(),
            peer: self.peers.iter().map(Relay::bytes).sum(),
            platform: self.platforms.iter().map(Relay::bytes).collect(),
            reads: calls.reads + calls.watches,
            writes: calls.writes,
        }
    }

    fn cost(&self, case: Case, before: &Total, after: &Total, elapsed: Duration) -> Cost {
        let seconds = elapsed.as_secs_f64();
        let rate = |a: u64, b: u64| (b - a) as f64 / seconds;
        let used = before.processor.iter().zip(&after.processor);
        let used: Vec<f64> = used.map(|(a, b)| (b - a) / seconds * 100.0).collect();
        let platform = before.platform.iter().zip(&after.platform);
        let platform: Vec<f64> = platform.map(|(a, b)| rate(*a, *b)).collect();
        let resident = self.daemons.iter().map(|d| d.resident() as f64 / 1e6);
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
            most_platform: largest(&platform),
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

/// Writes teams with three keys each, in place of the objects of a site.
///
/// Returns the first key of each.
fn put_objects(setup: &Setup, count: u32) -> Vec<String> {
    for i in 0..count {
        setup.put(&format!("team/t{i}"), team(i, 0));
    }
    (0..count).map(|i| key(i, 0).text).collect()
}

fn key(team: u32, number: u32) -> IssuedKey {
    let id = format!("t{team}k{number}").parse().expect("a name");
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

/// Writes upstreams that all lead to one engine, which is returned.
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
        &format!("domain/{ELSEWHERE}"),
        json!({"domain": {"region": "vestland", "slots": 6}}),
    );
    for i in 0..case.engines + case.elsewhere {
        let address = engine.address();
        let domain = if i < case.engines { DOMAIN } else { ELSEWHERE };
        let spec = json!({"pool": "fleet", "domain": domain, "address": address});
        setup.put(&format!("upstream/fleet-{i}"), json!({"upstream": spec}));
    }
    Ok(engine)
}

/// Changes `rate` teams a second, evenly, for the length of `window`.
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

fn print_head() {
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
        case.elsewhere,
        case.changes,
        case.requests,
        cost.processor,
        cost.busiest,
        cost.start,
        cost.resident,
        cost.largest,
        cost.peer,
        cost.platform,
        cost.most_platform,
        cost.reads,
        cost.writes,
    );
}

/// A `Figure` is one figure of a cost, with its name.
type Figure = (&'static str, fn(&Cost) -> f64);

/// The figures through which lines are laid.
const FIGURES: [Figure; 9] = [
    ("processor, % of a core", |c| c.processor),
    ("processor of the busiest", |c| c.busiest),
    ("until the window, ms", |c| c.start),
    ("resident, MB", |c| c.resident),
    ("peers, bytes a second", |c| c.peer),
    ("platform, bytes a second", |c| c.platform),
    ("platform, most", |c| c.most_platform),
    ("reads a second, fleet", |c| c.reads),
    ("writes a second, fleet", |c| c.writes),
];

fn print_fits(dimension: &Dimension, points: &[(f64, &Cost)]) {
    for (name, figure) in FIGURES {
        let points = points.iter();
        let points = points.map(|(size, cost)| (size / dimension.unit, figure(cost)));
        let line = fit(&points.collect::<Vec<_>>());
        println!(
            "| {} | {name} | {:.2} | {:.3} | {:.2} |",
            dimension.label, line.base, line.slope, line.off
        );
    }
}
