//! Statistics of a run and their output as a table.

use std::time::Duration;

use limpetsaddle_core::units::Tokens;

use crate::workload::TEAM_WEIGHT;

/// A `Stats` holds the statistics of one run.
#[derive(Debug, Default)]
pub struct Stats {
    /// The prompt tokens.
    prompt: u64,
    /// The prompt tokens that were not cached.
    computed: u64,
    /// The prompt tokens that no engine had computed before.
    unavoidable: u64,
    /// The times to the first token of each team.
    times: [Vec<Duration>; TEAM_WEIGHT.len()],
    offered: [u64; TEAM_WEIGHT.len()],
    refused: [u64; TEAM_WEIGHT.len()],
}

impl Stats {
    pub fn record_request(&mut self, team: usize) {
        self.offered[team] += 1;
    }

    pub fn record_refusal(&mut self, team: usize) {
        self.refused[team] += 1;
    }

    pub fn record_first_token(&mut self, team: usize, first_token: Duration) {
        self.times[team].push(first_token);
    }

    pub fn record_prefill(&mut self, prompt: Tokens, computed: Tokens, unavoidable: Tokens) {
        self.prompt += prompt.0;
        self.computed += computed.0;
        self.unavoidable += unavoidable.0;
    }

    pub fn print_heading() {
        println!(
            "| policy | hit rate | p50 ms | p95 ms | p99 ms | computed/unavoidable | refused | worst team p95 ms | lowest team of fair share |"
        );
        println!("|---|---|---|---|---|---|---|---|---|");
    }

    pub fn print(&self, name: &str) {
        let mut all: Vec<Duration> = self.times.iter().flatten().copied().collect();
        all.sort_unstable();
        let worst = self.times.iter().map(|times| {
            let mut times = times.clone();
            times.sort_unstable();
            percentile(&times, 95)
        });
        let weights: u64 = TEAM_WEIGHT.iter().map(|w| u64::from(*w)).sum();
        let shares = (0..TEAM_WEIGHT.len()).map(|team| {
            let fair = all.len() as u64 * u64::from(TEAM_WEIGHT[team]) / weights;
            permille(self.times[team].len() as u64, fair.min(self.offered[team]))
        });
        let hit = permille(self.prompt - self.computed, self.prompt);
        let overhead = permille(self.computed, self.unavoidable);
        println!(
            "| {name} | {} | {} | {} | {} | {}.{:02} | {} | {} | {} |",
            percent(hit),
            percentile(&all, 50),
            percentile(&all, 95),
            percentile(&all, 99),
            overhead / 1_000,
            overhead % 1_000 / 10,
            self.refused.iter().sum::<u64>(),
            worst.max().unwrap_or(0),
            percent(shares.min().unwrap_or(0)),
        );
    }
}

fn percentile(sorted: &[Duration], percent: usize) -> u128 {
    let index = sorted.len() * percent / 100;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .map_or(0, Duration::as_millis)
}

fn permille(count: u64, total: u64) -> u64 {
    count * 1_000 / total.max(1)
}

fn percent(permille: u64) -> String {
    format!("{}.{}%", permille / 10, permille % 10)
}
