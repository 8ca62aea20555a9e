//! Placement by many instances that know each other's requests only from rare heartbeats.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::placement::place_prompt;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::upstreams::Ticket;
use support::Fleet;
use support::SERVICE;
use support::at;
use support::engine;
use support::engine_spec;
use support::prompt;

/// The instances that place requests. As many as in a large fleet are registered, so that
/// heartbeats are as rare as there.
const INSTANCES: usize = 40;
const REGISTERED: u16 = 295;
const ENGINES: u8 = 60;

/// The heartbeat interval of such a fleet, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// The requests per second, which use about 60% of the engines.
const RATE: u64 = 480;

/// The time in which an engine reads one of the prompts, in milliseconds.
const PREFILL_MS: u64 = 75;

const TARGET_MS: u64 = 500;

struct Running {
    instance: usize,
    ticket: Ticket,
    first_event_ms: u64,
}

fn instance(index: usize) -> Fleet {
    let mut fleet = Fleet::new((0..ENGINES).map(|i| engine(i, 1)).collect());
    let registration = |i: u16| Registration {
        name: format!("i{i}").as_str().into(),
        address: ([10, 0, 0, 1], i + 1).into(),
        secret: None,
    };
    let own = u16::try_from(index).unwrap();
    let others = (0..REGISTERED).filter(|i| *i != own);
    fleet
        .peers
        .set_registrations(others.map(registration).collect(), at(0));
    fleet
}

/// Delivers each instance's heartbeat to all others, once per interval, at a time of its own.
fn exchange(fleets: &mut [Fleet], sequence: u64, now_ms: u64) {
    let due = |index: usize| now_ms % INTERVAL_MS == (index as u64 * 25) % INTERVAL_MS;
    for index in (0..fleets.len()).filter(|i| due(*i)) {
        let mut heartbeat = Heartbeat::new(&format!("i{index}"), 1, sequence);
        heartbeat.loads = fleets[index].upstreams.local_loads();
        for (other, fleet) in fleets.iter_mut().enumerate() {
            if other != index {
                fleet.peers.record_heartbeat(&heartbeat, at(now_ms));
            }
        }
    }
}

/// Plays ten seconds of prompts and returns the part whose first event is on time.
fn part_on_time(rate: f64) -> f64 {
    let mut fleets: Vec<Fleet> = (0..INSTANCES).map(instance).collect();
    let mut free_at_ms = vec![0_u64; usize::from(ENGINES)];
    let mut running: VecDeque<Running> = VecDeque::new();
    let spec = engine_spec();
    let mut random = 1;
    let (mut on_time, mut all) = (0.0, 0.0);
    for now_ms in 0..12_000_u64 {
        exchange(&mut fleets, now_ms + 1, now_ms);
        let (ended, rest): (VecDeque<_>, VecDeque<_>) =
            running.drain(..).partition(|r| r.first_event_ms <= now_ms);
        running = rest;
        for mut request in ended {
            let upstreams = &mut fleets[request.instance].upstreams;
            upstreams.record_first_event(&mut request.ticket, at(now_ms));
            upstreams.finish(&request.ticket, None, at(now_ms));
        }
        random = mix(random);
        if random % 1_000 >= RATE {
            continue;
        }
        let from = usize::try_from(mix(random ^ 1) % INSTANCES as u64).unwrap();
        let session = format!("s{now_ms}");
        let prompt = prompt(&[(&session, 100), ("own", 3_200)]);
        let placed = place(&fleets[from], &spec, &prompt, rate, at(now_ms), random);
        let load = RequestLoad {
            waiting_tokens: placed.prompt_tokens,
            held_tokens: prompt.charged_tokens(),
            fragile: false,
            expected_latency: placed.expected_latency,
        };
        let upstreams = &mut fleets[from].upstreams;
        let ticket = upstreams.start(&placed.upstream, load, at(now_ms)).unwrap();
        let number: usize = placed.upstream[1..].parse().unwrap();
        let first_event_ms = free_at_ms[number].max(now_ms) + PREFILL_MS;
        free_at_ms[number] = first_event_ms;
        running.push_back(Running {
            instance: from,
            ticket,
            first_event_ms,
        });
        if now_ms >= 2_000 {
            all += 1.0;
            on_time += f64::from(u8::from(first_event_ms - now_ms <= TARGET_MS));
        }
    }
    on_time / all
}

fn place(
    fleet: &Fleet,
    spec: &limpetsaddle_fleet::configuration::Engine,
    prompt: &limpetsaddle_fleet::prompt::Prompt,
    rate: f64,
    now: Time,
    random: u64,
) -> limpetsaddle_fleet::placement::Placement {
    let req = PromptRequest {
        service: SERVICE,
        engine: spec,
        prompt,
        isolated_team: None,
        target_weights: None,
        store: None,
        rate,
    };
    place_prompt(&req, &PlacementOptions::default(), &fleet.cx(now, random)).unwrap()
}

/// Compared with all engines known to be idle, a sample spreads the requests that arrive
/// between two heartbeats.
#[test]
fn verify_callers_are_served_on_time_though_heartbeats_are_rare() {
    let fleet = instance(0);
    assert_eq!(
        fleet.peers.heartbeat_interval(),
        Duration::from_millis(INTERVAL_MS)
    );
    let rate = f64::from(u32::try_from(RATE).unwrap());
    let on_time = part_on_time(rate);
    assert!(on_time >= 0.95, "{on_time} on time");
}
