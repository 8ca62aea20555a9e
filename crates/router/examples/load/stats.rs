//! Statistics of a run.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use hdrhistogram::Histogram;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::units::Tokens;
use serde_json::Value;

use crate::mix::FLOODING_TEAM;
use crate::mix::TEAM_PERCENT;
use crate::support::caller::StreamResult;
use crate::support::setup::BLOCK_TOKENS;

/// The refusal codes of a team's limits.
const LIMIT_CODES: [&str; 2] = ["rate_limited", "limits_unavailable"];

/// Collects the results of one run; times in microseconds.
pub struct RunStats {
    time_to_first_chunk: Histogram<u64>,
    gaps: Histogram<u64>,
    prompt: u64,
    cached: u64,
    unavoidable: u64,
    known_blocks: HashSet<u64>,
    served: [u64; TEAM_PERCENT.len()],
    requests: u64,
    within: u64,
    refused_within: u64,
    failed: BTreeMap<String, u64>,
}

impl RunStats {
    /// Creates empty statistics.
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).expect("invalid precision");
        Self {
            time_to_first_chunk: histogram(),
            gaps: histogram(),
            prompt: 0,
            cached: 0,
            unavoidable: 0,
            known_blocks: HashSet::new(),
            served: [0; TEAM_PERCENT.len()],
            requests: 0,
            within: 0,
            refused_within: 0,
            failed: BTreeMap::new(),
        }
    }

    /// Adds the result of a request for `tokens` tokens.
    pub fn add(&mut self, team: usize, prompt: &str, tokens: u64, result: &StreamResult) {
        self.requests += 1;
        let is_within = team != FLOODING_TEAM;
        self.within += u64::from(is_within);
        if !result.complete {
            let code = result.code();
            let limited = LIMIT_CODES.contains(&code.as_str());
            self.refused_within += u64::from(is_within && limited);
            *self.failed.entry(code).or_default() += 1;
            return;
        }
        self.served[team] += tokens;
        record(
            &mut self.time_to_first_chunk,
            result.time_to_first_chunk.unwrap_or_default(),
        );
        for gap in &result.gaps {
            record(&mut self.gaps, *gap);
        }
        self.add_usage(team, prompt, &result.document()["usage"]);
    }

    /// Adds the usage of a request. Each block must be computed once; further
    /// computation of it is avoidable.
    fn add_usage(&mut self, team: usize, prompt: &str, usage: &Value) {
        let salt = Digest::of(team.to_string().as_bytes());
        let text = format!("user\n{prompt}\n");
        let chain = PrefixChain::new(salt, text.as_bytes(), Tokens(BLOCK_TOKENS as u64));
        let known = |block: &&u64| self.known_blocks.contains(*block);
        let known = chain.blocks().iter().take_while(known).count();
        self.unavoidable += chain.prompt_tokens().0 - chain.tokens_in_blocks(known).0;
        self.known_blocks.extend(chain.blocks());
        self.prompt += usage["prompt_tokens"].as_u64().unwrap_or(0);
        let cached = &usage["prompt_tokens_details"]["cached_tokens"];
        self.cached += cached.as_u64().unwrap_or(0);
    }

    /// Prints a table row. `ideal_tokens` holds the tokens that an ideal limit would
    /// admit for each team.
    pub fn print(&self, name: &str, ideal_tokens: &[u64]) {
        let quantile = |h: &Histogram<u64>, q| h.value_at_quantile(q) / 1_000;
        let failed: Vec<String> = self
            .failed
            .iter()
            .map(|(k, v)| format!("{k} {v}"))
            .collect();
        println!(
            "| {name} | {} | {:.1}% | {} / {} / {} | {} | {:.2} | {:.1}% | {} of {} | {} |",
            self.requests,
            self.cached as f64 * 100.0 / self.prompt.max(1) as f64,
            quantile(&self.time_to_first_chunk, 0.5),
            quantile(&self.time_to_first_chunk, 0.95),
            quantile(&self.time_to_first_chunk, 0.99),
            quantile(&self.gaps, 0.95),
            (self.prompt - self.cached) as f64 / self.unavoidable.max(1) as f64,
            self.worst_share(ideal_tokens) * 100.0,
            self.refused_within,
            self.within,
            failed.join(", "),
        );
    }

    fn worst_share(&self, ideal_tokens: &[u64]) -> f64 {
        let shares = self.served.iter().zip(ideal_tokens);
        let shares = shares.map(|(served, ideal)| *served as f64 / (*ideal).max(1) as f64);
        shares.fold(1.0, f64::min)
    }
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(micros)
        .expect("failed to resize the histogram");
}
