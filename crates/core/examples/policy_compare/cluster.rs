//! The simulated instances and requests.

use std::rc::Rc;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::Policy;
use limpetsaddle_core::config::UpstreamSpec;
use limpetsaddle_core::fair_queue::FairQueue;
use limpetsaddle_core::fair_queue::TeamUsage;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::placement::Choice;
use limpetsaddle_core::placement::Placer;
use limpetsaddle_core::placement::PlacerOptions;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::retry::Attempts;
use limpetsaddle_core::retry::RetryBudget;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::upstreams::Arrival;
use limpetsaddle_core::upstreams::Ticket;
use limpetsaddle_core::upstreams::UpstreamId;
use limpetsaddle_core::upstreams::UpstreamOptions;
use limpetsaddle_core::upstreams::UpstreamTable;

pub const ENGINES: usize = 10;
pub const INSTANCES: usize = 9;
pub const DOMAINS: usize = 3;

/// The method of choosing engines.
#[derive(Clone, Copy, Debug)]
pub enum Method {
    RoundRobin,
    LeastOutstanding,
    /// By the hash of the block with this number, or of the last one of a shorter prompt.
    Rendezvous(usize),
    Estimate(PlacerOptions),
}

/// A policy under test, one row of the table.
#[derive(Clone, Debug)]
pub struct Variant {
    pub name: &'static str,
    pub method: Method,
    pub policy: Policy,
    pub reports: bool,
    pub fair_queue: bool,
    pub priorities: bool,
}

#[derive(Debug)]
pub struct Instance {
    pub domain: DomainName,
    pub table: UpstreamTable,
    pub placer: Placer,
    pub queue: FairQueue<usize>,
    pub usage: TeamUsage,
    pub budget: RetryBudget,
    pub turn: usize,
}

#[derive(Debug)]
pub struct Request {
    pub team: usize,
    pub chain: Rc<PrefixChain>,
    pub instance: usize,
    pub arrived: Time,
    pub attempts: Attempts,
    pub choice: Option<Choice>,
    pub ticket: Option<Ticket>,
    pub exclude: Vec<UpstreamId>,
    pub cached: Tokens,
    pub priority: u8,
    pub first_token_sent: bool,
}

pub fn name<N: std::str::FromStr<Err = limpetsaddle_core::Error>>(text: &str) -> N {
    text.parse().expect("a valid name")
}

pub fn instances(variant: &Variant) -> (Vec<Instance>, Vec<UpstreamId>) {
    let options = match variant.method {
        Method::Estimate(options) => options,
        _ => PlacerOptions {
            hint_capacity: 0,
            ..PlacerOptions::default()
        },
    };
    let mut ids = Vec::new();
    let make = |i: usize| {
        let mut table = UpstreamTable::new(UpstreamOptions::default());
        ids = (0..ENGINES)
            .map(|e| {
                let spec = UpstreamSpec {
                    pool: name("pool"),
                    domain: name(&format!("domain-{}", e % DOMAINS)),
                    address: ([127, 0, 0, 1], 9_000).into(),
                    phase: Phase::Live,
                };
                table.insert(
                    name(&format!("engine-{e}")),
                    spec,
                    Arrival::InService,
                    Time::ZERO,
                )
            })
            .collect();
        Instance {
            domain: name(&format!("domain-{}", i % DOMAINS)),
            table,
            placer: Placer::new(options),
            queue: FairQueue::new(),
            usage: TeamUsage::default(),
            budget: RetryBudget::default(),
            turn: i,
        }
    };
    let instances = (0..INSTANCES).map(make).collect();
    (instances, ids)
}
