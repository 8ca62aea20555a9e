//! The prompt of a request as a chain of shared parts.

use std::net::SocketAddr;
use std::rc::Rc;

use limpetsaddle_core::hash::stable_hash;

use crate::Name;

/// A `Part` is one section of a prompt, shared by all requests that begin alike.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The identity of the part.
    pub id: Name,
    /// The size in tokens.
    pub tokens: u64,
}

/// A `Prompt` is what a request tells of its work for a model engine.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The model, if the request names one.
    pub model: Option<Name>,
    /// The tokens to be read.
    pub input_tokens: u64,
    /// The largest number of tokens to be generated.
    pub max_output_tokens: u64,
    /// The parts in their order; the last one belongs to this request alone.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the tokens that count against a team's limit.
    #[must_use]
    pub const fn charged_tokens(&self) -> u64 {
        self.input_tokens + self.max_output_tokens
    }

    /// Returns the parts that other requests share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns the hash of the shared parts under `scope`.
    #[must_use]
    pub fn shared_hash(&self, scope: &str) -> u64 {
        let mut bytes: Vec<&[u8]> = vec![scope.as_bytes()];
        bytes.extend(self.shared().iter().map(|part| part.id.as_bytes()));
        stable_hash(&bytes)
    }
}

/// A `CacheSalt` keeps cached prompts of different weights and teams apart.
///
/// ```
/// use limpetsaddle_fleet::prompt::CacheSalt;
///
/// let shared = CacheSalt::new("model", 2, None);
/// let walled = CacheSalt::new("model", 2, Some("team"));
/// assert_ne!(shared, walled);
/// assert_ne!(shared, CacheSalt::new("model", 3, None));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheSalt(Name);

impl CacheSalt {
    /// Returns the salt for a model's weights, and for one team where it is
    /// isolated.
    #[must_use]
    pub fn new(model: &str, weights: u64, isolated: Option<&str>) -> Self {
        let text = match isolated {
            Some(team) => format!("{model}/{weights}/team/{team}"),
            None => format!("{model}/{weights}/shared"),
        };
        Self(Rc::from(text))
    }

    /// Returns the salt as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The `CacheDirectives` tells an engine how to use cached prompts for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheDirectives {
    /// The salt under which parts are found and kept.
    pub salt: CacheSalt,
    /// The upstream or store from which missing parts are fetched first.
    pub fetch_from: Option<SocketAddr>,
    /// The store that gets the parts once they are read.
    pub save_to: Option<SocketAddr>,
}
