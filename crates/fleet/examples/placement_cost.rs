//! Measures the time to select an engine in fleets of growing size.
//!
//! Every engine caches the first part that all prompts share, every fourth one also
//! the second; every instance has requests at a tenth of the engines.

use std::error::Error;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::configuration::Engine;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::directory::chain;
use limpetsaddle_fleet::health::HealthOptions;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::UpstreamLoad;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::placement::PlacementContext;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::placement::place_prompt;
use limpetsaddle_fleet::prompt::CacheSalt;
use limpetsaddle_fleet::prompt::Part;
use limpetsaddle_fleet::prompt::Prompt;
use limpetsaddle_fleet::upstreams::Adaptation;
use limpetsaddle_fleet::upstreams::Phase;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use limpetsaddle_fleet::upstreams::Upstreams;
use limpetsaddle_fleet::upstreams::Weights;

const SERVICE: &str = "lm";
const MODEL: &str = "m";

/// The fleet sizes: engines and other instances.
const SIZES: [(u8, u32); 5] = [(12, 8), (35, 21), (70, 42), (140, 84), (160, 294)];

/// The placements per series.
const ROUNDS: u32 = 200;

/// The number of series; the fastest one is reported.
const SERIES: u32 = 5;

fn main() -> Result<(), Box<dyn Error>> {
    println!("| engines | other instances | one placement, µs |");
    println!("|---|---|---|");
    for (engines, instances) in SIZES {
        let cost = cost(engines, instances)?;
        println!(
            "| {engines} | {instances} | {:.1} |",
            cost.as_secs_f64() * 1e6
        );
    }
    Ok(())
}

/// Returns the time of one placement.
fn cost(engines: u8, instances: u32) -> Result<Duration, Box<dyn Error>> {
    let now = Time::from_origin(Duration::from_secs(5));
    let mut upstreams = Upstreams::new(HealthOptions::default());
    upstreams.adapt(Adaptation::ALL);
    for index in 0..engines {
        upstreams.upsert(engine(index), now);
    }
    let hashes: Vec<u64> = upstreams
        .of_service(SERVICE, now)
        .map(|row| row.hash)
        .collect();
    let peers = peers(instances, &hashes, now);
    let directory = directory(&hashes, now);
    let spec = Engine {
        slots: 16,
        memory_tokens: 93_507,
        token_bytes: 163_840,
        link_mbps: 1_100_000.0,
        models: vec![MODEL.into()],
    };
    let prompt = prompt();
    let req = PromptRequest {
        service: SERVICE,
        engine: &spec,
        prompt: &prompt,
        isolated_team: None,
        target_weights: None,
        store: None,
        rate: 0.0,
    };
    let options = PlacementOptions::default();
    let mut least = Duration::MAX;
    for _ in 0..SERIES {
        let started = Instant::now();
        for round in 0..ROUNDS {
            let cx = PlacementContext {
                upstreams: &upstreams,
                peers: &peers,
                directory: &directory,
                domain: "a",
                attempted: &[],
                permitted: None,
                now,
                random: u64::from(round),
            };
            let placement = place_prompt(&req, &options, &cx);
            black_box(placement.ok_or("no engine was selected")?);
        }
        least = least.min(started.elapsed() / ROUNDS);
    }
    Ok(least)
}

fn engine(index: u8) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("e{index}").into(),
        service: SERVICE.into(),
        address: ([10, 0, 0, index], 8080).into(),
        domain: ["a", "b", "c", "d"][usize::from(index % 4)].into(),
        phase: Phase::Ready,
        slots: 16,
        software: None,
        born_ms: 1,
        sequence: 0,
        weights: vec![Weights {
            model: MODEL.into(),
            version: 1,
        }],
        cold: None,
    }
}

fn peers(instances: u32, hashes: &[u64], now: Time) -> Peers {
    let name = |index: u32| format!("i{index}");
    let registration = |index: u32| Registration {
        name: Name::from(name(index)),
        address: ([10, 1, 0, 1], 9000).into(),
        secret: None,
    };
    let mut peers = Peers::new("own".into(), PeerOptions::default(), Time::ZERO);
    peers.set_registrations((0..instances).map(registration).collect(), now);
    for index in 0..instances {
        let mut heartbeat = Heartbeat::new(&name(index), 1, 1);
        let at = hashes.iter().skip(index as usize % 10).step_by(10);
        let load = |upstream: &u64| UpstreamLoad {
            upstream: *upstream,
            requests: 1,
            waiting_tokens: 500,
            held_tokens: 9_000,
            fragile: 0,
            long_prompts: 0,
        };
        heartbeat.loads = at.map(load).collect();
        peers.record_heartbeat(&heartbeat, now);
    }
    peers
}

fn directory(hashes: &[u64], now: Time) -> PrefixDirectory {
    let keys: Vec<_> = chain(&prompt(), &CacheSalt::new(MODEL, 1, None))
        .iter()
        .map(|part| part.key)
        .collect();
    let mut directory = PrefixDirectory::default();
    for (index, holder) in hashes.iter().enumerate() {
        let depth = if index % 4 == 0 { 2 } else { 1 };
        let update = CacheUpdate {
            holder: *holder,
            keys: keys[..depth].to_vec(),
            new_tokens: 9_000,
        };
        directory.apply_update(&update, now);
    }
    directory
}

fn prompt() -> Prompt {
    let part = |id: &str, tokens| Part {
        id: id.into(),
        tokens,
    };
    Prompt {
        model: Some(MODEL.into()),
        input_tokens: 9_200,
        max_output_tokens: 7,
        parts: vec![
            part("instruction", 2_520),
            part("sheet", 3_780),
            part("own", 2_900),
        ],
    }
}
