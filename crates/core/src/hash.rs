//! Digests and stable hashes.
//!
//! Provides the digest of stored keys and a 64-bit hash that is the same on all
//! instances, as placement and slot assignment require.

use std::fmt;
use std::str::FromStr;

use serde_with::DeserializeFromStr;
use serde_with::SerializeDisplay;
use sha2::Digest as _;
use sha2::Sha256;

use crate::errors::Error;

/// A SHA-256 digest.
#[derive(
    Clone, Copy, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay,
)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the SHA-256 digest of `bytes`.
    ///
    /// ```
    /// use limpetsaddle_core::hash::Digest;
    ///
    /// let text = Digest::of(b"secret").to_string();
    /// assert_eq!(text.parse::<Digest>()?, Digest::of(b"secret"));
    /// # Ok::<(), limpetsaddle_core::Error>(())
    /// ```
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Returns the SHA-256 digest of `parts`, which depends on their boundaries.
    ///
    /// ```
    /// use limpetsaddle_core::hash::Digest;
    ///
    /// assert_ne!(Digest::of_parts(&[b"ab", b"c"]), Digest::of_parts(&[b"a", b"bc"]));
    /// ```
    #[must_use]
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }

    /// Returns the bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        let pairs = self.0.iter().zip(&other.0);
        let differing = pairs.fold(0, |bits, (a, b)| bits | std::hint::black_box(a ^ b));
        differing == 0
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.is_ascii() {
            return Err(Error::InvalidDigest);
        }
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Error::InvalidDigest)?;
        }
        Ok(Self(bytes))
    }
}

/// The offset basis of the 64-bit FNV hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// The prime of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns a 64-bit hash of `parts` that is the same on all instances.
///
/// The hash depends on the boundaries of the parts: `["ab", "c"]` and
/// `["a", "bc"]` have different hashes.
///
/// ```
/// use limpetsaddle_core::hash::stable_hash;
///
/// assert_ne!(stable_hash(&[b"ab", b"c"]), stable_hash(&[b"a", b"bc"]));
/// ```
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in *part {
            state = (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        state = mix(state ^ part.len() as u64);
    }
    mix(state)
}

/// Applies the finalizer of the `SplitMix64` generator, a bijection.
#[must_use]
pub const fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
