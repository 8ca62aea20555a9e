//! Division of a team's limits among slots.

use crate::config::Allotment;
use crate::config::DomainSpec;
use crate::config::TOTAL_PARTS;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::TeamName;
use crate::units::TokenRate;
use crate::units::Tokens;

/// A `MilliTokenRate` is a rate in thousandths of a token per second.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MilliTokenRate(pub u64);

/// A `Share` is the portion of a team's limits that one slot issues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// The failure domain's portion, out of [`TOTAL_PARTS`].
    pub parts: u16,
    /// The number of slots that divide the failure domain's portion.
    pub slots: u16,
    /// The rank of the slot among them; the lowest ranks get the remainder.
    pub rank: u16,
}

impl Share {
    /// Returns this share of `rate`.
    ///
    /// ```
    /// use limpetsaddle_core::limits::MilliTokenRate;
    /// use limpetsaddle_core::limits::Share;
    /// use limpetsaddle_core::units::TokenRate;
    ///
    /// let share = Share { parts: 500, slots: 2, rank: 0 };
    /// assert_eq!(share.rate(TokenRate(100)), MilliTokenRate(25_000));
    /// ```
    #[must_use]
    pub fn rate(self, rate: TokenRate) -> MilliTokenRate {
        MilliTokenRate(self.divide(rate.0.saturating_mul(u64::from(self.parts))))
    }

    /// Returns this share of `burst`.
    #[must_use]
    pub fn burst(self, burst: Tokens) -> Tokens {
        let whole = u128::from(burst.0) * u128::from(self.parts) / u128::from(TOTAL_PARTS);
        Tokens(self.divide(u64::try_from(whole).unwrap_or(u64::MAX)))
    }

    fn divide(self, whole: u64) -> u64 {
        let slots = u64::from(self.slots);
        let extra = u64::from(u64::from(self.rank) < whole % slots);
        whole / slots + extra
    }
}

/// Returns the slots of a failure domain that issue a team's tokens, with their shares.
///
/// They are chosen by rendezvous hashing, so that a change of their number moves
/// as few shares as possible. The shares of all failure domains add up to at
/// most the team's rate and burst.
#[must_use]
pub fn slot_shares(
    name: &TeamName,
    allotments: &[Allotment],
    domain_name: &DomainName,
    domain: &DomainSpec,
) -> Vec<(u16, Share)> {
    let mut own = allotments.iter().filter(|a| a.domain == *domain_name);
    let Some(allotment) = own.next() else {
        return Vec::new();
    };
    if allotment.parts == 0 || domain.slots == 0 {
        return Vec::new();
    }
    let slots = allotment.slot_count.clamp(1, domain.slots);
    let share = |rank| Share {
        parts: allotment.parts,
        slots,
        rank,
    };
    let ranked = ranked_slots(name, domain_name, domain.slots);
    ranked.into_iter().zip((0..slots).map(share)).collect()
}

fn ranked_slots(team: &TeamName, domain: &DomainName, slots: u16) -> Vec<u16> {
    let hash = |slot: &u16| {
        let names = [team.as_str().as_bytes(), domain.as_str().as_bytes()];
        stable_hash(&[names[0], names[1], &slot.to_be_bytes()])
    };
    let mut ranked: Vec<u16> = (0..slots).collect();
    ranked.sort_by_cached_key(|slot| (hash(slot), *slot));
    ranked
}
