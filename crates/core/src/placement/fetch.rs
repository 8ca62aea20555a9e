//! The decision whether to import cached blocks from the KV store.

use std::time::Duration;

use crate::units::TokenRate;
use crate::units::Tokens;

/// The minimum saving that justifies an import, in percent of the time to recompute.
const MIN_SAVING_PERCENT: u128 = 10;

/// A `FetchRates` contains the measured rates on which the decision is based.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchRates {
    /// The rate at which the engine computes prompt tokens.
    pub prefill: TokenRate,
    /// The rate at which the engine imports blocks; zero if unknown.
    pub import: TokenRate,
    /// The latency of an import up to its first block.
    pub latency: Duration,
}

/// A `FetchDecision` is how an engine obtains blocks that are not in its cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchDecision {
    /// The engine computes the blocks.
    Recompute,
    /// The engine imports the blocks from the KV store.
    Import {
        /// The expected time saved by the import.
        saves: Duration,
    },
}

impl FetchDecision {
    /// Decides how to obtain `stored` tokens that are in the store but not in the
    /// engine's cache.
    ///
    /// ```
    /// use limpetsaddle_core::placement::FetchDecision;
    /// use limpetsaddle_core::placement::FetchRates;
    /// use limpetsaddle_core::units::TokenRate;
    /// use limpetsaddle_core::units::Tokens;
    /// use std::time::Duration;
    ///
    /// let rates = FetchRates {
    ///     prefill: TokenRate(20_000),
    ///     import: TokenRate(200_000),
    ///     latency: Duration::from_millis(30),
    /// };
    /// let short = FetchDecision::new(Tokens(200), rates);
    /// assert_eq!(short, FetchDecision::Recompute);
    /// let saves = Duration::from_millis(60);
    /// let long = FetchDecision::new(Tokens(2_000), rates);
    /// assert_eq!(long, FetchDecision::Import { saves });
    /// ```
    #[must_use]
    pub fn new(stored: Tokens, rates: FetchRates) -> Self {
        let recompute = duration_at(stored, rates.prefill);
        let import = duration_at(stored, rates.import).saturating_add(rates.latency);
        let saves = recompute.saturating_sub(import);
        let min_saving = recompute.as_nanos() * MIN_SAVING_PERCENT / 100;
        if rates.import.0 == 0 || saves.as_nanos() <= min_saving {
            return Self::Recompute;
        }
        Self::Import { saves }
    }
}

fn duration_at(tokens: Tokens, rate: TokenRate) -> Duration {
    let nanos = u128::from(tokens.0) * 1_000_000_000 / u128::from(rate.0.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
