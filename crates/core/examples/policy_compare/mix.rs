//! The two mixes of requests, in today's sizes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::placement::CacheScope;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;

/// The length of a cache block.
const BLOCK: usize = 2_000;

/// The requests of each team in a hundred: one sends more than all others.
pub const TEAM_PERCENT: [u64; 5] = [60, 16, 12, 8, 4];

/// The weight of each team.
pub const TEAM_WEIGHT: [u32; 5] = [3, 1, 1, 1, 1];

/// A `Mix` describes the requests of one site.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    pub name: &'static str,
    pub rate: u32,
    pub contexts: u64,
    pub sheets: u64,
    /// The blocks of the instruction, the context and the sheet.
    pub blocks: [usize; 3],
    pub decode: Duration,
    pub far: Duration,
    /// The requests in a hundred for one hot sheet.
    pub hot_percent: u64,
}

const VESTLAND: Mix = Mix {
    name: "vestland",
    rate: 30,
    contexts: 24,
    sheets: 4,
    blocks: [1, 2, 1],
    decode: Duration::from_millis(1_500),
    far: Duration::from_micros(1_500),
    hot_percent: 15,
};

const LAKESHORE: Mix = Mix {
    name: "lakeshore",
    rate: 12,
    contexts: 6,
    sheets: 6,
    blocks: [1, 2, 8],
    decode: Duration::from_secs(2),
    far: Duration::from_micros(500),
    hot_percent: 25,
};

pub const MIXES: [Mix; 4] = [
    VESTLAND,
    LAKESHORE,
    Mix {
        name: "vestland, one sheet very hot",
        hot_percent: 70,
        ..VESTLAND
    },
    Mix {
        name: "vestland, overloaded",
        rate: 80,
        ..VESTLAND
    },
];

/// A `Random` is a seeded source of random numbers.
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

    /// Draws the time to the next of `rate` events a second.
    pub fn gap(&mut self, rate: u32) -> Duration {
        let part = u32::try_from(self.next() >> 32).unwrap_or(0);
        let unit = (f64::from(part) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-unit.ln() / f64::from(rate))
    }

    /// Draws a rank whose frequency falls with its square root.
    fn rank(&mut self, count: u64) -> u64 {
        self.below(count).min(self.below(count))
    }
}

/// A `Prompts` makes the prompts of a mix, each once.
#[derive(Debug)]
pub struct Prompts {
    mix: Mix,
    made: HashMap<(usize, u64, u64), Rc<PrefixChain>>,
    questions: u64,
}

impl Prompts {
    pub fn new(mix: Mix) -> Self {
        Self {
            mix,
            made: HashMap::new(),
            questions: 0,
        }
    }

    /// Draws a team and its prompt. After the shift, other contexts and sheets
    /// are in demand; in the surge, the large team sends three times as much.
    pub fn draw(&mut self, random: &mut Random, shifted: bool) -> (usize, Rc<PrefixChain>) {
        let mut left = random.below(100);
        let mut team = 0;
        while left >= TEAM_PERCENT[team] {
            left -= TEAM_PERCENT[team];
            team += 1;
        }
        let shift = u64::from(shifted) * (self.mix.contexts / 2);
        let hot = team == 0 && random.below(100) < self.mix.hot_percent;
        let drawn = (random.rank(self.mix.contexts), random.rank(self.mix.sheets));
        let (context, sheet) = if hot { (0, 0) } else { drawn };
        let context = (context + shift) % self.mix.contexts;
        // Every second question fills the sheet's last block, which makes that
        // block one of its own.
        let fills = random.below(2) == 0;
        let question = if fills { BLOCK } else { BLOCK / 3 };
        self.questions += u64::from(fills);
        let number = self.questions;
        let key = (team, context, sheet);
        if fills {
            return (team, Rc::new(self.chain(key, number, question)));
        }
        let made = self.made.get(&key).cloned();
        let chain = made.unwrap_or_else(|| Rc::new(self.chain(key, 0, question)));
        self.made.insert(key, Rc::clone(&chain));
        (team, chain)
    }

    fn chain(&self, key: (usize, u64, u64), number: u64, question: usize) -> PrefixChain {
        let mix = self.mix;
        let (team, context, sheet) = key;
        {
            let scope = CacheScope {
                team: format!("team-{team}").parse().expect("a valid name"),
                model: "lm".parse().expect("a valid name"),
                weights: WeightsVersion(1),
            };
            let mut text = Vec::new();
            for (blocks, part) in mix.blocks.into_iter().zip([0, context, sheet]) {
                let line = format!("{part:07} ");
                text.extend(line.repeat(blocks * BLOCK / 2).into_bytes());
            }
            let line = format!("{number:07}?");
            text.extend(line.repeat(question / 2).into_bytes());
            PrefixChain::new(scope.salt(), &text, Tokens(BLOCK as u64))
        }
    }
}
