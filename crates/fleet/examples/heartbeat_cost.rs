//! Measures the time to read the heartbeats of a fleet, and their size.
//!
//! Every instance has requests at a quarter of the engines, uses the limits of all teams
//! and reports three cached prompts in each heartbeat.

use std::error::Error;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::directory::chain;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::TeamUsage;
use limpetsaddle_fleet::heartbeat::UpstreamLoad;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::prompt::CacheSalt;
use limpetsaddle_fleet::prompt::Part;
use limpetsaddle_fleet::prompt::Prompt;

/// The fleet sizes: other instances, engines and teams.
const SIZES: [(u64, u64, u64); 4] = [(24, 12, 5), (87, 90, 16), (294, 160, 40), (449, 300, 100)];

/// The heartbeats of each instance that are read.
const ROUNDS: u64 = 40;

fn main() -> Result<(), Box<dyn Error>> {
    println!("| other instances | engines | teams | one heartbeat, µs | bytes |");
    println!("|---|---|---|---|---|");
    for (instances, engines, teams) in SIZES {
        let (cost, bytes) = cost(instances, engines, teams)?;
        let cost = cost.as_secs_f64() * 1e6;
        println!("| {instances} | {engines} | {teams} | {cost:.1} | {bytes} |");
    }
    Ok(())
}

/// Returns the mean time to read one heartbeat, and its mean size in bytes.
fn cost(instances: u64, engines: u64, teams: u64) -> Result<(Duration, u64), Box<dyn Error>> {
    let name = |index: u64| format!("front-zone-{index}");
    let registration = |index: u64| Registration {
        name: Name::from(name(index)),
        address: ([10, 1, 0, 1], 9000).into(),
        secret: None,
    };
    let mut peers = Peers::new("own".into(), PeerOptions::default(), Time::ZERO);
    peers.set_registrations((0..instances).map(registration).collect(), Time::ZERO);
    let mut directory = PrefixDirectory::default();
    let mut spent = Duration::ZERO;
    let mut bytes = 0;
    for round in 0..ROUNDS {
        let now = Time::from_origin(Duration::from_secs(round));
        for index in 0..instances {
            let serial = round * instances + index;
            let heartbeat = heartbeat(&name(index), round + 1, serial, engines, teams);
            let datagram = heartbeat.encode()?.for_recipient(Some(serial))?;
            bytes += u64::try_from(datagram.len())?;
            let started = Instant::now();
            let (heartbeat, _) = Heartbeat::decode(&datagram)?;
            black_box(peers.record_heartbeat(&heartbeat, now));
            for update in &heartbeat.cached {
                directory.apply_update(update, now);
            }
            spent += started.elapsed();
        }
    }
    let count = ROUNDS * instances;
    Ok((spent / u32::try_from(count)?, bytes / count))
}

fn heartbeat(name: &str, sequence: u64, serial: u64, engines: u64, teams: u64) -> Heartbeat {
    let mut heartbeat = Heartbeat::new(name, 1, sequence);
    let load = |engine: u64| UpstreamLoad {
        upstream: name_hash(&format!("e{engine}")),
        requests: 1,
        waiting_tokens: 500,
        held_tokens: 9_000,
        fragile: 0,
        long_prompts: 0,
    };
    let first = serial % 4;
    heartbeat.loads = (first..engines).step_by(4).map(load).collect();
    let team = |team: u64| TeamUsage {
        team: name_hash(&format!("t{team}")),
        spent: sequence * 10_000,
    };
    heartbeat.teams = (0..teams).map(team).collect();
    let cached = |index: u64| CacheUpdate {
        holder: name_hash(&format!("e{}", (serial + index) % engines)),
        keys: keys(serial * 3 + index),
        new_tokens: 3_000,
    };
    heartbeat.cached = (0..3).map(cached).collect();
    heartbeat
}

/// Returns the keys of a prompt of one of a few applications, with a part of its own.
fn keys(session: u64) -> Vec<limpetsaddle_fleet::directory::ChainKey> {
    let part = |id: String, tokens| Part {
        id: id.into(),
        tokens,
    };
    let prompt = Prompt {
        model: Some("m".into()),
        input_tokens: 9_200,
        max_output_tokens: 7,
        parts: vec![
            part(format!("application-{}", session % 6), 2_520),
            part(format!("session-{session}"), 3_780),
            part("own".to_owned(), 2_900),
        ],
    };
    let salt = CacheSalt::new("m", 1, None);
    chain(&prompt, &salt).iter().map(|part| part.key).collect()
}
