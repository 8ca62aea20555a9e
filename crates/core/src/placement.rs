//! Placement of requests on upstreams.
//!
//! Provides the cache scope and the prefix hash chain of a prompt, hints about
//! which engines cache its blocks, and the choice of the upstream with the
//! shortest estimated time to first token. A wrong hint only costs time: the
//! engine uses the salt of the scope to decide which blocks it reuses.

mod chain;
mod fetch;
mod hints;
mod placer;
mod preferred;
mod shortlist;

use std::time::Duration;

use thiserror::Error as ThisError;

use crate::config::Policy;
use crate::names::DomainName;
use crate::names::PoolName;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::units::Tokens;
use crate::units::WeightsVersion;
use crate::upstreams::CacheEpoch;
use crate::upstreams::UpstreamId;

pub use self::chain::BYTES_PER_TOKEN;
pub use self::chain::CacheScope;
pub use self::chain::MAX_BLOCKS;
pub use self::chain::PrefixChain;
pub use self::fetch::FetchDecision;
pub use self::fetch::FetchRates;
pub use self::placer::Placer;
pub use self::placer::PlacerOptions;

/// A `Query` contains the parameters for choosing an upstream for one request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The pool that serves the request.
    pub pool: &'a PoolName,
    /// The failure domain of this instance.
    pub domain: &'a DomainName,
    /// The prefix chain of the prompt; [`PrefixChain::EMPTY`] for a plain service.
    pub chain: &'a PrefixChain,
    /// The weights that the chain is scoped to; engines that hold other weights
    /// are skipped.
    pub weights: Option<WeightsVersion>,
    /// The upstreams on which earlier attempts of this request failed.
    pub exclude: &'a [UpstreamId],
    /// The policy in force.
    pub policy: &'a Policy,
}

/// A `CandidateSource` is the reason why an upstream was considered.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CandidateSource {
    /// A hint indicates that the upstream caches blocks of the prompt.
    Hint {
        /// The time since the blocks were last used.
        age: Duration,
    },
    /// The upstream is preferred for the prompt by rendezvous hashing.
    Preferred,
    /// The upstream was drawn at random or found by scanning the pool.
    Load,
}

/// A `Choice` is the chosen upstream with the estimate that led to the choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The epoch of the upstream's cache.
    pub epoch: CacheEpoch,
    /// The estimated time to first token, including penalties.
    pub estimate: Duration,
    /// The part of the estimate spent waiting for other requests.
    pub queue_delay: Duration,
    /// The number of prompt tokens expected to be cached.
    pub cached: Tokens,
    /// The number of prompt tokens expected to be computed.
    pub prefill_tokens: Tokens,
    /// The reason why the upstream was considered.
    pub source: CandidateSource,
}

/// A `Feedback` contains the measurements from the response to a placed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Feedback {
    /// The number of prompt tokens that the engine found in its cache.
    pub cached: Tokens,
    /// The time from sending the request to its first token.
    pub time_to_first_token: Duration,
}

/// A `PlacementError` is the reason why no upstream could be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ThisError)]
pub enum PlacementError {
    /// No upstream of the pool is eligible for the request.
    #[error("no upstream of the pool is eligible for the request")]
    NoUpstream,
    /// Every eligible upstream has reached its limit of outstanding requests or of
    /// queue delay.
    #[error("all eligible upstreams of the pool are full")]
    AllFull,
}

impl PlacementError {
    /// Returns the refusal for a request that is not queued instead.
    #[must_use]
    pub const fn refusal(self) -> Refusal {
        match self {
            Self::NoUpstream => Refusal::not_run(Reason::NoUpstream),
            Self::AllFull => Refusal::not_run(Reason::Overloaded),
        }
    }
}
