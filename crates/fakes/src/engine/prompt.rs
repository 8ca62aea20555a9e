//! The prompt of a request and the tokens of its completion.

use limpetsaddle_core::hash::stable_hash;
use serde_json::Value;

/// The number of bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The number of tokens of a completion if the request sets no limit.
const DEFAULT_COMPLETION_TOKENS: u64 = 16;

const WORDS: [&str; 8] = [
    "birch", "spruce", "stack", "dry", "split", "cord", "bark", "ring",
];

/// Returns the prompt of a request: `prompt`, or the role and the content of each
/// message, each followed by a line feed.
#[must_use]
pub fn prompt_bytes(body: &Value) -> Vec<u8> {
    if let Some(prompt) = body["prompt"].as_str() {
        return prompt.as_bytes().to_vec();
    }
    let mut text = String::new();
    for message in body["messages"].as_array().into_iter().flatten() {
        text.push_str(message["role"].as_str().unwrap_or_default());
        text.push('\n');
        text.push_str(message["content"].as_str().unwrap_or_default());
        text.push('\n');
    }
    text.into_bytes()
}

/// Returns the first `n` tokens of the completion for `body`.
///
/// They depend only on the model and the prompt.
///
/// ```
/// use limpetsaddle_fakes::expected_completion;
/// use serde_json::json;
///
/// let body = json!({"model": "birch-7b", "prompt": "How dry is it?"});
/// let tokens = expected_completion(&body, 5);
/// assert_eq!(tokens[..3], expected_completion(&body, 3));
/// ```
#[must_use]
pub fn expected_completion(body: &Value, n: u64) -> Vec<String> {
    let seed = completion_seed(body);
    (0..n).map(|index| token(seed, index)).collect()
}

/// Returns the seed for the tokens of the completion for `body`.
pub fn completion_seed(body: &Value) -> u64 {
    let model = body["model"].as_str().unwrap_or_default();
    stable_hash(&[model.as_bytes(), &prompt_bytes(body)])
}

/// Returns the token at `index` of the completion with `seed`.
pub fn token(seed: u64, index: u64) -> String {
    let hash = stable_hash(&[&seed.to_le_bytes(), &index.to_le_bytes()]);
    let word = WORDS[usize::from(hash.to_le_bytes()[7]) % WORDS.len()];
    format!("{word}{:03x} ", hash & 0xfff)
}

/// Returns the number of tokens of the completion for `body`.
pub fn completion_tokens(body: &Value) -> u64 {
    let limits = ["max_tokens", "max_completion_tokens"];
    let found = limits.iter().find_map(|name| body[*name].as_u64());
    found.unwrap_or(DEFAULT_COMPLETION_TOKENS)
}

/// Returns the chained hashes of the prompt's whole blocks.
pub fn block_hashes(salt: &str, prompt: &[u8], block_tokens: usize) -> Vec<u64> {
    let mut last = stable_hash(&[salt.as_bytes()]);
    let blocks = prompt.chunks_exact(block_tokens * BYTES_PER_TOKEN);
    let chain = blocks.map(|block| {
        last = stable_hash(&[&last.to_le_bytes(), block]);
        last
    });
    chain.collect()
}
