//! Compares placement policies in a seeded simulation with virtual time.
//!
//! `cargo run --release --example policy_compare -- --seed 1 --seconds 120`

mod cluster;
mod cost;
mod engine;
mod run;
mod stats;
mod workload;

use std::time::Duration;

use getopts::Options;
use limpetsaddle_core::config::Policy;
use limpetsaddle_core::placement::PlacerOptions;

use crate::cluster::Method;
use crate::cluster::Variant;
use crate::run::Run;
use crate::stats::Stats;
use crate::workload::WORKLOADS;

fn variants() -> Vec<Variant> {
    let options = PlacerOptions::default();
    let default = Variant {
        name: "estimate",
        method: Method::Estimate(options),
        policy: Policy {
            max_outstanding: 40,
            recompute_weight: 200,
            ..Policy::default()
        },
        reports: true,
        fair_queue: true,
        priorities: true,
    };
    let with_options = |name, options| Variant {
        name,
        method: Method::Estimate(options),
        ..default.clone()
    };
    let with_costs = |name, recompute_weight, leave_domain_ms| Variant {
        name,
        policy: Policy {
            recompute_weight,
            leave_domain: Duration::from_millis(leave_domain_ms),
            ..default.policy.clone()
        },
        ..default.clone()
    };
    let with_method = |name, method| Variant {
        name,
        method,
        ..default.clone()
    };
    vec![
        with_method("round robin", Method::RoundRobin),
        with_method("least outstanding", Method::LeastOutstanding),
        with_method("rendezvous, whole prompt", Method::Rendezvous(usize::MAX)),
        with_method("rendezvous, third block", Method::Rendezvous(3)),
        default.clone(),
        with_options(
            "without charge for delays",
            PlacerOptions {
                charge_delays: false,
                ..options
            },
        ),
        with_options(
            "without hints",
            PlacerOptions {
                hint_ttl: Duration::ZERO,
                ..options
            },
        ),
        with_options(
            "without queue bound",
            PlacerOptions {
                max_queue_delay: Duration::MAX,
                ..options
            },
        ),
        Variant {
            name: "without load reports",
            reports: false,
            ..default.clone()
        },
        Variant {
            name: "without fair queue",
            fair_queue: false,
            ..default.clone()
        },
        Variant {
            name: "without priorities",
            priorities: false,
            ..default.clone()
        },
        with_costs("recompute weight 100", 100, 20),
        with_costs("recompute weight 400", 400, 20),
        with_costs("recompute weight 800", 800, 20),
        with_costs("leave domain 2 ms", 200, 2),
        with_costs("leave domain 100 ms", 200, 100),
    ]
}

fn main() {
    let mut opts = Options::new();
    opts.optopt("", "seed", "seed of the random numbers", "N");
    opts.optopt("", "seconds", "virtual length of each run", "N");
    opts.optopt(
        "",
        "mix",
        "run only workloads whose name contains TEXT",
        "TEXT",
    );
    opts.optflag("", "cost", "measure the time of each decision instead");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let parsed = match opts.parse(args) {
        Ok(parsed) => parsed,
        Err(e) => {
            eprintln!("{e}\n{}", opts.usage("policy_compare"));
            std::process::exit(2);
        }
    };
    if parsed.opt_present("cost") {
        return cost::print();
    }
    let seed = parsed.opt_get_default("seed", 1).unwrap_or(1);
    let seconds = parsed.opt_get_default("seconds", 120).unwrap_or(120);
    let filter = parsed.opt_str("mix").unwrap_or_default();
    for workload in WORKLOADS.into_iter().filter(|w| w.name.contains(&filter)) {
        println!(
            "\n{} (seed {seed}, {seconds} s, {} requests/s)\n",
            workload.name, workload.rate
        );
        Stats::print_heading();
        for variant in variants() {
            let run = Run::new(workload, &variant, seed, Duration::from_secs(seconds));
            run.run().print(variant.name);
        }
    }
}
