//! Helpers of the decision tests.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod canary_fleet;
pub mod crash_scenario;
pub mod crash_sim;
pub mod pace_sim;
pub mod permit_sim;
pub mod request_sim;

use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::configuration::Engine;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::health::HealthOptions;
use limpetsaddle_fleet::part_key::PartKey;
use limpetsaddle_fleet::peers::PeerOptions;
use limpetsaddle_fleet::peers::Peers;
use limpetsaddle_fleet::placement::PlacementContext;
use limpetsaddle_fleet::prompt::Part;
use limpetsaddle_fleet::prompt::Prompt;
use limpetsaddle_fleet::request_key::RequestContent;
use limpetsaddle_fleet::request_key::RequestKey;
use limpetsaddle_fleet::runs::RunContent;
use limpetsaddle_fleet::upstreams::Adaptation;
use limpetsaddle_fleet::upstreams::Phase;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use limpetsaddle_fleet::upstreams::Upstreams;
use limpetsaddle_fleet::upstreams::Weights;

/// The service of the engines.
pub const SERVICE: &str = "lm";

/// The model of the engines.
pub const MODEL: &str = "m";

/// Returns the time `millis` milliseconds after the origin.
pub fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

/// Returns the entry of an engine with weights of `version`.
pub fn engine(index: u8, version: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: format!("e{index}").into(),
        service: SERVICE.into(),
        address: ([10, 0, 0, index], 8080).into(),
        domain: "a".into(),
        phase: Phase::Ready,
        slots: 64,
        software: None,
        born_ms: 1,
        sequence: 0,
        weights: vec![Weights {
            model: MODEL.into(),
            version,
        }],
        cold: None,
    }
}

/// Returns the entry of a plain upstream.
pub fn plain(index: u8) -> UpstreamEntry {
    UpstreamEntry {
        weights: Vec::new(),
        slots: 6,
        ..engine(index, 0)
    }
}

/// Returns the specification of the engines.
pub fn engine_spec() -> Engine {
    Engine {
        slots: 64,
        memory_tokens: 90_000,
        token_bytes: 163_840,
        link_mbps: 1_100_000.0,
        models: vec![MODEL.into()],
    }
}

/// Returns a prompt of the given parts, of which the last one is not shared.
pub fn prompt(parts: &[(&str, u64)]) -> Prompt {
    let part = |(id, tokens): &(&str, u64)| Part {
        id: (*id).into(),
        tokens: *tokens,
    };
    Prompt {
        model: Some(MODEL.into()),
        input_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
        max_output_tokens: 50,
        parts: parts.iter().map(part).collect(),
    }
}

/// The state for a decision.
pub struct Fleet {
    pub upstreams: Upstreams,
    pub peers: Peers,
    pub directory: PrefixDirectory,
    pub attempted: Vec<Name>,
}

impl Fleet {
    /// Returns a state with the given upstreams and no peers.
    pub fn new(entries: Vec<UpstreamEntry>) -> Self {
        let mut upstreams = Upstreams::new(HealthOptions::default());
        upstreams.adapt(Adaptation::ALL);
        for entry in entries {
            upstreams.upsert(entry, at(0));
        }
        Self {
            upstreams,
            peers: Peers::new(Rc::from("own"), PeerOptions::default(), at(0)),
            directory: PrefixDirectory::default(),
            attempted: Vec::new(),
        }
    }

    /// Returns the context of a decision at a time.
    pub fn cx(&self, now: Time, random: u64) -> PlacementContext<'_> {
        PlacementContext {
            upstreams: &self.upstreams,
            peers: &self.peers,
            directory: &self.directory,
            domain: "a",
            attempted: &self.attempted,
            permitted: None,
            now,
            random,
        }
    }
}

/// Returns the key of a request whose content is a number.
pub fn request_key(number: u32) -> RequestKey {
    RequestKey::of(&RequestContent {
        method: "POST",
        host: "a.example",
        target: "/orders",
        team: "",
        body: &number.to_le_bytes(),
    })
}

/// Returns the run of a prompt, or of another request if it has no parts, with a content of its
/// own.
pub fn run_of(request: u32, parts: Option<&[PartKey]>) -> RunContent<'_> {
    RunContent {
        request,
        key: request_key(request),
        parts,
    }
}
