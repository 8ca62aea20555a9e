//! Measurement of the time of each decision.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::Policy;
use limpetsaddle_core::config::UpstreamSpec;
use limpetsaddle_core::fair_queue::FairQueue;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::PoolName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::placement::Placer;
use limpetsaddle_core::placement::PlacerOptions;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::placement::Query;
use limpetsaddle_core::retry::Attempts;
use limpetsaddle_core::retry::Failure;
use limpetsaddle_core::retry::RetryBudget;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::upstreams::Arrival;
use limpetsaddle_core::upstreams::UpstreamOptions;
use limpetsaddle_core::upstreams::UpstreamTable;

const ITERATIONS: u32 = 20_000;
const BLOCK: Tokens = Tokens(2_000);

/// Returns the average time of one call in nanoseconds, after a warm-up.
fn measure(mut step: impl FnMut(u32)) -> u128 {
    (0..ITERATIONS / 10).for_each(&mut step);
    let start = Instant::now();
    (0..ITERATIONS).for_each(&mut step);
    start.elapsed().as_nanos() / u128::from(ITERATIONS)
}

fn at(i: u32) -> Time {
    Time::from_origin(Duration::from_micros(u64::from(i) * 20))
}

/// Prints the time of each decision in nanoseconds.
pub fn print() {
    println!("| candidates | choose, hinted | choose, no hint | record placement |");
    println!("|---|---|---|---|");
    for count in [10, 100, 1_000] {
        let (hinted, unhinted, recording) = measure_placement(count);
        println!("| {count} | {hinted} | {unhinted} | {recording} |");
    }
    println!("\nbytes per hint: {}", Placer::HINT_BYTES);
    let text = vec![b'x'; 16_000 * 4];
    let chain = measure(|i| {
        if i % 100 == 0 {
            black_box(PrefixChain::new(Digest::of(b""), black_box(&text), BLOCK));
        }
    });
    println!(
        "hash chain of a prompt of 16,000 tokens: {} ns",
        chain * 100
    );
    for teams in [10, 100, 1_000] {
        println!(
            "push and pop, {teams} teams waiting: {} ns",
            measure_queue(teams)
        );
    }
    let mut budget = RetryBudget::default();
    let policy = Policy::default();
    let retry = measure(|i| {
        let mut attempts = Attempts::new(true, at(u32::MAX));
        budget.record_request(100);
        black_box(attempts.record_failure(
            Failure::ConnectFailed,
            &mut budget,
            &policy,
            at(i),
            u64::from(i),
        ));
    });
    println!("retry decision: {retry} ns");
}

fn measure_placement(count: usize) -> (u128, u128, u128) {
    let pool: PoolName = "pool".parse().expect("a valid name");
    let domain: DomainName = "domain-0".parse().expect("a valid name");
    let mut table = UpstreamTable::new(UpstreamOptions::default());
    for i in 0..count {
        let spec = UpstreamSpec {
            pool: pool.clone(),
            domain: format!("domain-{}", i % 19.min(count.div_ceil(4)))
                .parse()
                .expect("a valid name"),
            address: ([127, 0, 0, 1], 9_000).into(),
            phase: Phase::Live,
        };
        let name = format!("engine-{i}").parse().expect("a valid name");
        table.insert(name, spec, Arrival::InService, Time::ZERO);
    }
    let chains: Vec<PrefixChain> = (0..200)
        .map(|i| {
            PrefixChain::new(
                Digest::of(b""),
                format!("{i:08}").repeat(8_000).as_bytes(),
                BLOCK,
            )
        })
        .collect();
    let policy = Policy::default();
    let query = |i: u32| Query {
        pool: &pool,
        domain: &domain,
        chain: &chains[usize::try_from(i).unwrap_or(0) % chains.len()],
        weights: None,
        exclude: &[],
        policy: &policy,
    };
    let mut placer = Placer::new(PlacerOptions::default());
    let unhinted = measure(|i| {
        black_box(placer.choose(&query(i), &table, at(i), u64::from(i)).ok());
    });
    let choice = placer
        .choose(&query(0), &table, at(0), 0)
        .expect("engines are live");
    let recording = measure(|i| placer.record_placement(query(i).chain, &choice, at(i)));
    let hinted = measure(|i| {
        black_box(placer.choose(&query(i), &table, at(i), u64::from(i)).ok());
    });
    (hinted, unhinted, recording)
}

fn measure_queue(teams: usize) -> u128 {
    let names: Vec<TeamName> = (0..teams)
        .map(|i| format!("team-{i}").parse().expect("a valid name"))
        .collect();
    let policy = Policy {
        max_queued: u32::MAX,
        max_wait: Duration::from_hours(1),
        ..Policy::default()
    };
    let mut queue = FairQueue::new();
    for (i, name) in (0..).zip(&names) {
        let _ = queue.push(name, 1, Tokens(100), i, &policy, at(0));
    }
    measure(|i| {
        let name = &names[usize::try_from(i).unwrap_or(0) % teams];
        let _ = queue.push(name, 1, Tokens(100), i, &policy, at(i));
        black_box(queue.pop(at(i)));
    })
}
