//! Simulated workloads of two sites.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::placement::CacheScope;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;

/// The length of a cache block in tokens.
const BLOCK: usize = 2_000;

/// The share of each team in the requests, in percent. One team sends more than
/// all others.
pub const TEAM_PERCENT: [u64; 5] = [60, 16, 12, 8, 4];

/// The weight of each team.
pub const TEAM_WEIGHT: [u32; 5] = [3, 1, 1, 1, 1];

/// A `Workload` describes the requests of one site. A prompt consists of an
/// instruction, a context, a sheet and a question.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    pub name: &'static str,
    /// The requests per second.
    pub rate: u32,
    /// The number of contexts.
    pub contexts: u64,
    /// The number of sheets per context.
    pub sheets: u64,
    /// The number of blocks of the instruction, the context and the sheet.
    pub blocks: [usize; 3],
    /// The mean decoding time of a request.
    pub decode_time: Duration,
    /// The one-way latency to another failure domain.
    pub remote_latency: Duration,
    /// The share of the large team's requests that use one hot sheet, in percent.
    pub hot_percent: u64,
}

const VESTLAND: Workload = Workload {
    name: "vestland",
    rate: 30,
    contexts: 24,
    sheets: 4,
    blocks: [1, 2, 1],
    decode_time: Duration::from_millis(1_500),
    remote_latency: Duration::from_micros(1_500),
    hot_percent: 15,
};

const LAKESHORE: Workload = Workload {
    name: "lakeshore",
    rate: 12,
    contexts: 6,
    sheets: 6,
    blocks: [1, 2, 8],
    decode_time: Duration::from_secs(2),
    remote_latency: Duration::from_micros(500),
    hot_percent: 25,
};

pub const WORKLOADS: [Workload; 4] = [
    VESTLAND,
    LAKESHORE,
    Workload {
        name: "vestland, one sheet very hot",
        hot_percent: 70,
        ..VESTLAND
    },
    Workload {
        name: "vestland, overloaded",
        rate: 80,
        ..VESTLAND
    },
];

/// A seeded random number generator.
#[derive(Debug)]
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// Draws the exponentially distributed time until the next of `rate` events
    /// per second.
    pub fn interval(&mut self, rate: u32) -> Duration {
        let bits = u32::try_from(self.next() >> 32).unwrap_or(0);
        let uniform = (f64::from(bits) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-uniform.ln() / f64::from(rate))
    }

    /// Draws a rank below `count`; the probability decreases with the rank.
    fn rank(&mut self, count: u64) -> u64 {
        self.below(count).min(self.below(count))
    }
}

/// A `Prompts` generates and caches the prompts of a workload.
#[derive(Debug)]
pub struct Prompts {
    workload: Workload,
    chains: HashMap<(usize, u64, u64), Rc<PrefixChain>>,
    questions: u64,
}

impl Prompts {
    pub fn new(workload: Workload) -> Self {
        Self {
            workload,
            chains: HashMap::new(),
            questions: 0,
        }
    }

    /// Draws a team and its prompt. If `shifted` is set, the popularity of the
    /// contexts is shifted by half of their number.
    pub fn draw(&mut self, random: &mut Random, shifted: bool) -> (usize, Rc<PrefixChain>) {
        let mut left = random.below(100);
        let mut team = 0;
        while left >= TEAM_PERCENT[team] {
            left -= TEAM_PERCENT[team];
            team += 1;
        }
        let shift = u64::from(shifted) * (self.workload.contexts / 2);
        let hot = team == 0 && random.below(100) < self.workload.hot_percent;
        let drawn = (
            random.rank(self.workload.contexts),
            random.rank(self.workload.sheets),
        );
        let (context, sheet) = if hot { (0, 0) } else { drawn };
        let context = (context + shift) % self.workload.contexts;
        // Every second question completes another block, which is unique to it.
        let fills = random.below(2) == 0;
        let question = if fills { BLOCK } else { BLOCK / 3 };
        self.questions += u64::from(fills);
        let number = self.questions;
        let key = (team, context, sheet);
        if fills {
            return (team, Rc::new(self.chain(key, number, question)));
        }
        let known = self.chains.get(&key).cloned();
        let chain = known.unwrap_or_else(|| Rc::new(self.chain(key, 0, question)));
        self.chains.insert(key, Rc::clone(&chain));
        (team, chain)
    }

    fn chain(&self, key: (usize, u64, u64), number: u64, question: usize) -> PrefixChain {
        let workload = self.workload;
        let (team, context, sheet) = key;
        {
            let scope = CacheScope {
                team: format!("team-{team}").parse().expect("a valid name"),
                model: "lm".parse().expect("a valid name"),
                weights: WeightsVersion(1),
            };
            let mut text = Vec::new();
            for (blocks, part) in workload.blocks.into_iter().zip([0, context, sheet]) {
                let line = format!("{part:07} ");
                text.extend(line.repeat(blocks * BLOCK / 2).into_bytes());
            }
            let line = format!("{number:07}?");
            text.extend(line.repeat(question / 2).into_bytes());
            PrefixChain::new(scope.salt(), &text, Tokens(BLOCK as u64))
        }
    }
}
