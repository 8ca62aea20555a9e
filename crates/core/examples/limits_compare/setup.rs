//! Instances and teams of the comparison.

use limpetsaddle_core::config::Allotment;
use limpetsaddle_core::config::DomainSpec;
use limpetsaddle_core::config::SlotOwner;
use limpetsaddle_core::config::SlotTable;
use limpetsaddle_core::config::TeamSpec;
use limpetsaddle_core::hash::mix;
use limpetsaddle_core::limits::Ledger;
use limpetsaddle_core::limits::LimitsOptions;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::InstanceName;
use limpetsaddle_core::names::TeamName;
use limpetsaddle_core::units::FencingNumber;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub domains: usize,
    pub instances: usize,
    pub teams: usize,
    pub small_team_domains: usize,
    pub seconds: u64,
    pub seed: u64,
    pub faults: bool,
}

/// The rate of every team but the first, in tokens per second.
const SMALL_RATE: u64 = 2_000;

/// Returns a team's rate in tokens per second; that of the first team is the sum of
/// all others.
pub fn team_rate(setup: &Setup, team: usize) -> u64 {
    if team == 0 {
        return SMALL_RATE * (setup.teams as u64 - 1).max(1);
    }
    SMALL_RATE
}

pub fn domain_name(index: usize) -> DomainName {
    format!("domain-{index}").parse().expect("a valid name")
}

pub fn instance_name(index: usize) -> InstanceName {
    format!("entry-{index}").parse().expect("a valid name")
}

pub fn team_name(index: usize) -> TeamName {
    format!("team-{index}").parse().expect("a valid name")
}

/// Returns a team's limits. Those of the first team are divided among all failure
/// domains, those of the others among `small_team_domains`, chosen by hash.
pub fn team_spec(setup: &Setup, team: usize) -> TeamSpec {
    let large = team == 0;
    let count = if large {
        setup.domains
    } else {
        setup.small_team_domains
    };
    let first = usize::try_from(mix(team as u64) % setup.domains as u64).unwrap_or(0);
    let allotment = |d| Allotment {
        domain: domain_name((first + d) % setup.domains),
        parts: u16::try_from(1_000 / count).unwrap_or(1),
        slot_count: if large { 3 } else { 1 },
    };
    TeamSpec {
        rate: TokenRate(team_rate(setup, team)),
        burst: Tokens(team_rate(setup, team) * 5),
        weight: 1,
        models: Vec::new(),
        allotments: (0..count).map(allotment).collect(),
        keys: Vec::new(),
    }
}

pub fn new_ledger(setup: &Setup, index: usize, incarnation: u64, now: Time) -> Ledger {
    let local = domain_name(index % setup.domains);
    let options = LimitsOptions::default();
    let mut ledger = Ledger::new(
        instance_name(index),
        Incarnation(incarnation),
        local,
        options,
    );
    for d in 0..setup.domains {
        let owners = (0..setup.instances).filter(|i| i % setup.domains == d);
        let owner = |i| {
            Some(SlotOwner {
                instance: instance_name(i),
                incarnation: Incarnation(1),
                epoch: FencingNumber(1),
            })
        };
        let owners: Vec<_> = owners.map(owner).collect();
        let spec = DomainSpec {
            region: domain_name(0),
            slots: u16::try_from(owners.len()).unwrap_or(u16::MAX),
        };
        ledger.set_domain(&domain_name(d), Some(&spec), now);
        ledger.set_slots(&domain_name(d), Revision(1), &SlotTable { owners }, now);
    }
    for team in 0..setup.teams {
        let spec = team_spec(setup, team);
        ledger.set_team(&team_name(team), Some(&spec), now);
    }
    ledger
}
