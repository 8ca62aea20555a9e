//! Cache scopes and prefix hash chains of prompts.

use crate::hash::Digest;
use crate::hash::stable_hash;
use crate::names::ModelName;
use crate::names::TeamName;
use crate::units::Tokens;
use crate::units::WeightsVersion;

/// The number of prompt bytes that are counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The maximum number of blocks of a chain; the rest of a prompt is not hashed.
pub const MAX_BLOCKS: usize = 256;

/// A `CacheScope` identifies the requests that may share cached blocks.
///
/// ```
/// use limpetsaddle_core::placement::CacheScope;
/// use limpetsaddle_core::units::WeightsVersion;
///
/// let old = CacheScope {
///     team: "yard".parse()?,
///     model: "lm".parse()?,
///     weights: WeightsVersion(1),
/// };
/// let new = CacheScope { weights: WeightsVersion(2), ..old.clone() };
/// assert_ne!(old.salt(), new.salt());
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CacheScope {
    /// The team that sends the requests.
    pub team: TeamName,
    /// The model that serves the requests.
    pub model: ModelName,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
}

impl CacheScope {
    /// Returns the salt, which is sent to the engine as text in `cache_salt`.
    #[must_use]
    pub fn salt(&self) -> Digest {
        // Names contain no line breaks, so different scopes give different texts.
        let text = format!("{}\n{}\n{}", self.team, self.model, self.weights.0);
        Digest::of(text.as_bytes())
    }
}

/// A `PrefixChain` contains the hash of each full block of a prompt.
///
/// Each hash covers the block, all preceding blocks and the salt, so that two
/// prompts have exactly those hashes in common whose blocks lie in a common
/// prefix within the same scope.
///
/// ```
/// use limpetsaddle_core::hash::Digest;
/// use limpetsaddle_core::placement::PrefixChain;
/// use limpetsaddle_core::units::Tokens;
///
/// let salt = Digest::of(b"scope");
/// let chain = PrefixChain::new(salt, &[b'x'; 70], Tokens(8));
/// assert_eq!(chain.blocks().len(), 2);
/// assert_eq!(chain.prompt_tokens(), Tokens(18));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefixChain {
    blocks: Vec<u64>,
    block_size: Tokens,
    prompt_tokens: Tokens,
}

impl PrefixChain {
    /// The chain of a request without a prompt.
    pub const EMPTY: Self = Self {
        blocks: Vec::new(),
        block_size: Tokens(1),
        prompt_tokens: Tokens::ZERO,
    };

    /// Returns the chain of `prompt` under `salt` in blocks of `block_size`.
    #[must_use]
    pub fn new(salt: Digest, prompt: &[u8], block_size: Tokens) -> Self {
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let block_bytes = usize::try_from(block_size.0)
            .unwrap_or(usize::MAX)
            .saturating_mul(BYTES_PER_TOKEN)
            .max(BYTES_PER_TOKEN);
        let mut previous = stable_hash(&[salt.to_string().as_bytes()]);
        let mut blocks = Vec::new();
        for bytes in prompt.chunks_exact(block_bytes).take(MAX_BLOCKS) {
            previous = stable_hash(&[&previous.to_le_bytes(), bytes]);
            blocks.push(previous);
        }
        Self {
            blocks,
            block_size: Tokens(block_size.0.max(1)),
            prompt_tokens: Tokens(tokens),
        }
    }

    /// Returns the hashes in the order of the blocks.
    #[must_use]
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }

    /// Returns the length of the prompt in tokens.
    #[must_use]
    pub const fn prompt_tokens(&self) -> Tokens {
        self.prompt_tokens
    }

    /// Returns the number of tokens in the first `count` blocks.
    #[must_use]
    pub const fn tokens_in_blocks(&self, count: usize) -> Tokens {
        Tokens(count as u64 * self.block_size.0)
    }
}
