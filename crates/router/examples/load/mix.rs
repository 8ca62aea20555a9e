//! Request mixes, and the arrivals generated from them with a seed.

use std::time::Duration;

use limpetsaddle_core::hash::mix;

use crate::support::setup::BLOCK_TOKENS;

/// Each team's percentage of the requests; one team sends more than all others.
pub const TEAM_PERCENT: [u64; 5] = [60, 16, 12, 8, 4];

/// The index of the team that temporarily exceeds its rate.
pub const FLOODING_TEAM: usize = 3;

/// The factor by which the flooding team multiplies its normal demand.
const FLOOD_FACTOR: u64 = 6;

/// The number of characters per token.
const TOKEN_CHARACTERS: usize = 4;

/// The length of a number in a prompt, in characters.
const NUMBER_CHARACTERS: usize = 8;

/// The request mix of one site.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// The name of the site.
    pub name: &'static str,
    /// The number of requests per second.
    pub rate: u32,
    /// The number of tokens in a response.
    pub response_tokens: u64,
    contexts: u64,
    sheets: u64,
    /// The numbers of blocks of the instruction, the context and the sheet.
    blocks: [usize; 3],
    /// The percentage of the largest team's requests for one hot sheet.
    hot_percent: u64,
}

/// The request mixes.
pub const MIXES: [Mix; 2] = [
    Mix {
        name: "vestland",
        rate: 30,
        response_tokens: 50,
        contexts: 24,
        sheets: 4,
        blocks: [1, 2, 1],
        hot_percent: 15,
    },
    Mix {
        name: "lakeshore",
        rate: 12,
        response_tokens: 66,
        contexts: 6,
        sheets: 6,
        blocks: [1, 2, 8],
        hot_percent: 25,
    },
];

impl Mix {
    /// Returns a team's normal demand, in tokens per second.
    pub fn demand(&self, team: usize) -> u64 {
        let blocks = self.blocks.iter().sum::<usize>();
        // Half of the questions take one block, the others a third of a block.
        let prompt = blocks * BLOCK_TOKENS + BLOCK_TOKENS * 2 / 3;
        (prompt as u64 + self.response_tokens) * u64::from(self.rate) * TEAM_PERCENT[team] / 100
    }
}

/// A seeded random number generator.
#[derive(Debug)]
pub struct Random(pub u64);

impl Random {
    /// Returns a random number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Returns a random time to the next event of a Poisson process with `rate`
    /// events per second.
    fn gap(&mut self, rate: f64) -> Duration {
        let part = u32::try_from(self.next() >> 32).unwrap_or(0);
        let unit = (f64::from(part) + 1.0) / (f64::from(u32::MAX) + 1.0);
        Duration::from_secs_f64(-unit.ln() / rate)
    }

    /// Returns a random rank below `count`; low ranks are more frequent.
    fn rank(&mut self, count: u64) -> u64 {
        self.below(count).min(self.below(count))
    }
}

/// A request of a run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The time since the start of the run.
    pub at: Duration,
    /// The index of the team.
    pub team: usize,
    /// A random number that selects the instance.
    pub pick: u64,
    context: u64,
    sheet: u64,
    /// The number of a question that fills a whole block, `None` for a short one.
    question: Option<u64>,
}

impl Arrival {
    /// Returns the number of tokens of prompt and response.
    pub fn tokens(&self, mix: &Mix) -> u64 {
        let blocks = mix.blocks.iter().sum::<usize>() * BLOCK_TOKENS;
        let question = match self.question {
            Some(_) => BLOCK_TOKENS,
            None => BLOCK_TOKENS / 3,
        };
        (blocks + question) as u64 + mix.response_tokens
    }

    /// Returns the text of the prompt.
    pub fn prompt(&self, mix: &Mix) -> String {
        let mut text = String::new();
        for (blocks, part) in mix.blocks.into_iter().zip([0, self.context, self.sheet]) {
            let line = format!("{part:07} ");
            text.push_str(&line.repeat(blocks * BLOCK_TOKENS * TOKEN_CHARACTERS / line.len()));
        }
        let (number, tokens) = match self.question {
            Some(number) => (number, BLOCK_TOKENS),
            None => (0, BLOCK_TOKENS / 3),
        };
        let line = format!("{number:07}?");
        text.push_str(&line.repeat(tokens * TOKEN_CHARACTERS / NUMBER_CHARACTERS));
        text
    }
}

/// Returns the arrivals of a run. The requested contexts change after half of
/// `length`; one team floods between three and four fifths of it.
pub fn arrivals(mix: &Mix, seed: u64, length: Duration) -> Vec<Arrival> {
    let mut random = Random(seed);
    let mut all = Vec::new();
    let mut at = Duration::ZERO;
    while at < length {
        all.push(draw(mix, &mut random, at, length, None));
        at += random.gap(f64::from(mix.rate));
    }
    let extra = u64::from(mix.rate) * TEAM_PERCENT[FLOODING_TEAM] * (FLOOD_FACTOR - 1);
    let mut at = length * 3 / 5;
    while at < length * 4 / 5 {
        all.push(draw(mix, &mut random, at, length, Some(FLOODING_TEAM)));
        at += random.gap(extra as f64 / 100.0);
    }
    all.sort_by_key(|arrival| arrival.at);
    // Numbers are assigned last, so that every question is unique.
    for (number, arrival) in (1..).zip(&mut all) {
        arrival.question = arrival.question.map(|_| number);
    }
    all
}

fn draw(
    mix: &Mix,
    random: &mut Random,
    at: Duration,
    length: Duration,
    team: Option<usize>,
) -> Arrival {
    let team = team.unwrap_or_else(|| draw_team(random));
    let shift = u64::from(at >= length / 2) * (mix.contexts / 2);
    let hot = team == 0 && random.below(100) < mix.hot_percent;
    let drawn = (random.rank(mix.contexts), random.rank(mix.sheets));
    let (context, sheet) = if hot { (0, 0) } else { drawn };
    Arrival {
        at,
        team,
        pick: random.next(),
        context: (context + shift) % mix.contexts,
        sheet,
        question: (random.below(2) == 0).then_some(0),
    }
}

fn draw_team(random: &mut Random) -> usize {
    let mut left = random.below(100);
    let mut team = 0;
    while left >= TEAM_PERCENT[team] {
        left -= TEAM_PERCENT[team];
        team += 1;
    }
    team
}
