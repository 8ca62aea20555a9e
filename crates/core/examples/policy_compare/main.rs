//! Compares placement policies in one seeded run in virtual time.
//!
//! `cargo run --release --example policy_compare -- --seed 1 --seconds 120`

mod cost;
mod engine;
mod mix;
mod run;
mod site;
mod table;

use std::time::Duration;

use getopts::Options;
use limpetsaddle_core::config::Policy;
use limpetsaddle_core::placement::PlacerOptions;

use crate::mix::MIXES;
use crate::run::Run;
use crate::site::Method;
use crate::site::Variant;
use crate::table::Tally;

fn variants() -> Vec<Variant> {
    let options = PlacerOptions::default();
    let ours = Variant {
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
    let placed = |name, options| Variant {
        name,
        method: Method::Estimate(options),
        ..ours.clone()
    };
    let weighted = |name, recompute_weight, leave| Variant {
        name,
        policy: Policy {
            recompute_weight,
            leave_domain: Duration::from_millis(leave),
            ..ours.policy.clone()
        },
        ..ours.clone()
    };
    let with = |name, method| Variant {
        name,
        method,
        ..ours.clone()
    };
    vec![
        with("round robin", Method::RoundRobin),
        with("least outstanding", Method::LeastOutstanding),
        with("rendezvous, whole prompt", Method::Rendezvous(usize::MAX)),
        with("rendezvous, third block", Method::Rendezvous(3)),
        ours.clone(),
        placed(
            "without charge for delays",
            PlacerOptions {
                charge_delays: false,
                ..options
            },
        ),
        placed(
            "without hints",
            PlacerOptions {
                hint_ttl: Duration::ZERO,
                ..options
            },
        ),
        placed(
            "without queue bound",
            PlacerOptions {
                max_queue: Duration::MAX,
                ..options
            },
        ),
        Variant {
            name: "without load reports",
            reports: false,
            ..ours.clone()
        },
        Variant {
            name: "without fair queue",
            fair_queue: false,
            ..ours.clone()
        },
        Variant {
            name: "without priorities",
            priorities: false,
            ..ours.clone()
        },
        weighted("recompute weight 100", 100, 20),
        weighted("recompute weight 400", 400, 20),
        weighted("recompute weight 800", 800, 20),
        weighted("leave domain 2 ms", 200, 2),
        weighted("leave domain 100 ms", 200, 100),
    ]
}

fn main() {
    let mut opts = Options::new();
    opts.optopt("", "seed", "seed of the random numbers", "N");
    opts.optopt("", "seconds", "virtual length of each run", "N");
    opts.optopt("", "mix", "part of the name of the mixes to run", "TEXT");
    opts.optflag("", "cost", "measure the cost of each decision instead");
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
    let part = parsed.opt_str("mix").unwrap_or_default();
    for mix in MIXES.into_iter().filter(|mix| mix.name.contains(&part)) {
        println!(
            "\n{} (seed {seed}, {seconds} s, {} requests/s)\n",
            mix.name, mix.rate
        );
        Tally::heading();
        for variant in variants() {
            let run = Run::new(mix, &variant, seed, Duration::from_secs(seconds));
            run.run().print(variant.name);
        }
    }
}
