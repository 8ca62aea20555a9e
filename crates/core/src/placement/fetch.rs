//! Whether cached blocks are worth importing from the KV store.

use std::time::Duration;

use crate::units::TokenRate;
use crate::units::Tokens;

/// The least saving, in percent of the recomputation, that pays for an import.
const MIN_SAVING_PERCENT: u128 = 10;

/// A `FetchRates` holds the measured rates between which to decide.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchRates {
    /// The rate at which the engine computes a prompt.
    pub prefill: TokenRate,
    /// The rate at which the engine imports blocks.
    pub import: TokenRate,
    /// The time that an import takes before its first block.
    pub latency: Duration,
}

/// A `FetchDecision` tells how an engine comes by blocks that it lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FetchDecision {
    /// The engine computes the blocks.
    Recompute,
    /// The engine imports the blocks from the KV store.
    Import {
        /// The time that the import is expected to save.
        saves: Duration,
    },
}

impl FetchDecision {
    /// Decides for `stored` tokens that the store holds and the engine lacks.
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
        let recompute = span(stored, rates.prefill);
        let import = span(stored, rates.import).saturating_add(rates.latency);
        let saves = recompute.saturating_sub(import);
        let least = recompute.as_nanos() * MIN_SAVING_PERCENT / 100;
        if rates.import.0 == 0 || saves.as_nanos() <= least {
            return Self::Recompute;
        }
        Self::Import { saves }
    }
}

fn span(tokens: Tokens, rate: TokenRate) -> Duration {
    let nanos = u128::from(tokens.0) * 1_000_000_000 / u128::from(rate.0.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
