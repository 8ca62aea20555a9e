//! The scope of cached blocks and the chain of hashes of a prompt.

use crate::hash::Digest;
use crate::hash::stable_hash;
use crate::names::ModelName;
use crate::names::TeamName;
use crate::units::Tokens;
use crate::units::WeightsVersion;

/// The bytes of a prompt that are counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The largest number of blocks of a chain; the rest of a prompt is not hashed.
pub const MAX_BLOCKS: usize = 256;

/// A `CacheScope` is the set of requests that may share cached blocks.
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
    /// The model that answers them.
    pub model: ModelName,
    /// The version of the model's weights.
    pub weights: WeightsVersion,
}

impl CacheScope {
    /// Returns the salt whose text goes to the engine as `cache_salt`.
    #[must_use]
    pub fn salt(&self) -> Digest {
        // A name holds no line break, so that two scopes never give one text.
        let text = format!("{}\n{}\n{}", self.team, self.model, self.weights.0);
        Digest::of(text.as_bytes())
    }
}

/// A `PrefixChain` holds the hash of each full block of a prompt.
///
/// Each hash covers the block, all blocks before it and the salt, so that two
/// prompts share a hash exactly as far as they share a prefix and a scope.
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
    block: Tokens,
    prompt_tokens: Tokens,
}

impl PrefixChain {
    /// The chain of a request that has no prompt.
    pub const EMPTY: Self = Self {
        blocks: Vec::new(),
        block: Tokens(1),
        prompt_tokens: Tokens::ZERO,
    };

    /// Returns the chain of `prompt` under `salt` in blocks of `block` tokens.
    #[must_use]
    pub fn new(salt: Digest, prompt: &[u8], block: Tokens) -> Self {
        let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u64;
        let block_bytes = usize::try_from(block.0)
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
            block: Tokens(block.0.max(1)),
            prompt_tokens: Tokens(tokens),
        }
    }

    /// Returns the hashes, from the first block on.
    #[must_use]
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }

    /// Returns the length of the prompt.
    #[must_use]
    pub const fn prompt_tokens(&self) -> Tokens {
        self.prompt_tokens
    }

    /// Returns the tokens of the first `count` blocks.
    #[must_use]
    pub const fn tokens_in_blocks(&self, count: usize) -> Tokens {
        Tokens(count as u64 * self.block.0)
    }
}
