//! Cost of the ledger by the number of teams.

use std::time::Duration;
use std::time::Instant;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::limits::Ledger;
use limpetsaddle_core::limits::ReserveResult;
use limpetsaddle_core::limits::Round;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;

use crate::setup::Setup;
use crate::setup::new_ledger;
use crate::setup::team_name;

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|p| p.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

/// Prints the cost of a ledger with `teams` teams and returns the ledgers built.
pub fn measure_cost(teams: usize) -> Vec<Ledger> {
    const ROUNDS: u64 = 400_000;
    let copies = 44_000 / teams;
    let setup = Setup {
        domains: 3,
        instances: 9,
        teams,
        small_team_domains: 3,
        seconds: 0,
        seed: 0,
        faults: false,
    };
    let before = resident_bytes();
    let ledgers: Vec<_> = (0..copies)
        .map(|_| new_ledger(&setup, 0, 1, Time::ZERO))
        .collect();
    let bytes = resident_bytes().saturating_sub(before) / (copies * teams) as u64;
    let setup = Setup {
        domains: 1,
        small_team_domains: 1,
        instances: 1,
        ..setup
    };
    let mut ledger = new_ledger(&setup, 0, 1, Time::ZERO);
    let names: Vec<_> = (0..teams).map(team_name).collect();
    let mut admitted = 0_u64;
    let started = Instant::now();
    for i in 0..ROUNDS {
        let now = Time::from_origin(Duration::from_mins(1) + Duration::from_millis(i));
        ledger.on_contact(now);
        let team = &names[usize::try_from(mix(i)).unwrap_or(0) % teams];
        if let ReserveResult::Admitted(held) = ledger.reserve(team, Tokens(8), Round::Local, now) {
            ledger.settle(held, Tokens(4), now);
            admitted += 1;
        }
    }
    let nanos = started.elapsed().as_nanos() / u128::from(ROUNDS);
    let idle_started = Instant::now();
    for i in 0..1_000_u64 {
        let now = Time::from_origin(Duration::from_secs(1_000) + Duration::from_millis(i));
        drop(ledger.tick(now));
    }
    let tick = idle_started.elapsed().as_nanos() / 1_000;
    println!("| {teams} | {nanos} | {tick} | {bytes} | {admitted} of {ROUNDS} |");
    ledgers
}
