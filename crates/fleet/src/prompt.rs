//! Prompts as chains of shared parts, and their use of caches.

use std::net::SocketAddr;
use std::rc::Rc;

use limpetsaddle_core::hash::stable_hash;

use crate::Name;
use crate::part_key::PartKey;

/// A section of a prompt; requests with the same prefix share it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The id of the part's content.
    pub id: Name,
    /// The size in tokens.
    pub tokens: u64,
}

/// The prompt that a request declares.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Prompt {
    /// The model, if the request names one.
    pub model: Option<Name>,
    /// The tokens of the whole prompt.
    pub input_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// The parts in order; the last one is specific to this request.
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

    /// Returns the keys of the parts that other requests share.
    #[must_use]
    pub fn shared_keys(&self) -> Vec<PartKey> {
        let parts = self.shared().iter();
        parts.map(|part| PartKey::of(&part.id)).collect()
    }

    /// Returns the tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Returns the hash of the shared parts in a scope.
    #[must_use]
    pub fn shared_hash(&self, scope: &str) -> u64 {
        let mut bytes: Vec<&[u8]> = vec![scope.as_bytes()];
        bytes.extend(self.shared().iter().map(|part| part.id.as_bytes()));
        stable_hash(&bytes)
    }
}

/// A salt that separates the cached prompts of different weights and isolated teams.
///
/// ```
/// use limpetsaddle_fleet::prompt::CacheSalt;
///
/// let shared = CacheSalt::new("model", 2, None);
/// let isolated = CacheSalt::new("model", 2, Some("team"));
/// assert_ne!(shared, isolated);
/// assert_ne!(shared, CacheSalt::new("model", 3, None));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheSalt(Name);

impl CacheSalt {
    /// Returns the salt for a version of a model's weights, and for a team if it is isolated.
    #[must_use]
    pub fn new(model: &str, weights: u64, isolated_team: Option<&str>) -> Self {
        let text = match isolated_team {
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

/// Instructions to an engine about cached prompts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CacheDirectives {
    /// The salt under which parts are cached.
    pub salt: CacheSalt,
    /// The engine or store from which missing parts are fetched before prefill.
    pub fetch_from: Option<SocketAddr>,
    /// The store to which the parts are saved after prefill.
    pub save_to: Option<SocketAddr>,
}
