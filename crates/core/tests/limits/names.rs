//! Names and the team shared by the tests of limits.

use std::time::Duration;

use limpetsaddle_core::config::Allotment;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;

const PARTS: [u16; 3] = [334, 333, 333];

pub fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

pub fn team_spec(rate: u64, burst: u64, slot_count: u16) -> TeamSpec {
    let allotment = |d| Allotment {
        domain: domain(d),
        parts: PARTS[d],
        slot_count,
    };
    TeamSpec {
        rate: TokenRate(rate),
        burst: Tokens(burst),
        weight: 1,
        models: Vec::new(),
        allotments: (0..PARTS.len()).map(allotment).collect(),
        keys: Vec::new(),
    }
}

pub fn domain(index: usize) -> DomainName {
    ["bergen-a", "bergen-b", "voss-c"][index].parse().unwrap()
}

pub fn instance(index: usize) -> InstanceName {
    format!("entry-{index}").parse().unwrap()
}

pub fn team() -> TeamName {
    "yard".parse().unwrap()
}
