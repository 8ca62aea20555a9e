//! Placement of requests on upstreams.
//!
//! Provides the scope and the chain of hashes of a prompt, the hints of where
//! its blocks are cached, and the choice of the upstream with the smallest
//! estimated time to first token. A wrong hint costs time and nothing else: the
//! engine decides by the scope's salt what it reuses.

mod chain;
mod fetch;
mod hints;
mod homes;
mod placer;
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

/// A `Query` asks for an upstream for one request.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The pool that serves the request.
    pub pool: &'a PoolName,
    /// The failure domain of the instance that asks.
    pub domain: &'a DomainName,
    /// The chain of the prompt; [`PrefixChain::EMPTY`] for a plain service.
    pub chain: &'a PrefixChain,
    /// The weights that the chain is scoped to; an engine that holds others is
    /// left out.
    pub weights: Option<WeightsVersion>,
    /// The upstreams that failed this request before.
    pub exclude: &'a [UpstreamId],
    /// The policy in force.
    pub policy: &'a Policy,
}

/// A `CandidateSource` is what made an upstream a candidate.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CandidateSource {
    /// A hint says that the upstream holds blocks of the prompt.
    Hint {
        /// The time since the blocks were last used.
        age: Duration,
    },
    /// The upstream is a home of the prompt by rendezvous hash.
    Preferred,
    /// The upstream was drawn at random or found by a scan of the pool.
    Load,
}

/// A `Choice` is an upstream with the estimate on which it was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The epoch of its cache.
    pub epoch: CacheEpoch,
    /// The estimated time to first token, penalties included.
    pub estimate: Duration,
    /// The part of the estimate that is waiting for other work.
    pub queue_delay: Duration,
    /// The tokens of the prompt that are expected to be cached.
    pub cached: Tokens,
    /// The tokens of the prompt that are expected to be computed.
    pub prefill_tokens: Tokens,
    /// What made the upstream a candidate.
    pub source: CandidateSource,
}

/// A `Feedback` is what the answer to a placed request tells.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Feedback {
    /// The tokens of the prompt that the engine found in its cache.
    pub cached: Tokens,
    /// The time from the request to its first token.
    pub time_to_first_token: Duration,
}

/// A `PlacementError` tells why no upstream could be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ThisError)]
pub enum PlacementError {
    /// No upstream of the pool may take the request.
    #[error("no upstream of the pool may take the request")]
    NoUpstream,
    /// Every upstream has as much outstanding work as it may have.
    #[error("every upstream of the pool has its largest number of requests")]
    AllFull,
}

impl PlacementError {
    /// Returns the refusal of a request that is not queued instead.
    #[must_use]
    pub const fn refusal(self) -> Refusal {
        match self {
            Self::NoUpstream => Refusal::not_run(Reason::NoUpstream),
            Self::AllFull => Refusal::not_run(Reason::Overloaded),
        }
    }
}
