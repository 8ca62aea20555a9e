//! The division of a team's limits among slots.

use crate::config::Allotment;
use crate::config::DomainSpec;
use crate::config::TOTAL_PARTS;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::TeamName;
use crate::units::TokenRate;
use crate::units::Tokens;

/// A `MilliRate` is a number of thousandths of a token per second.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct MilliRate(pub u64);

/// A `Share` is the part of a team's limits that one slot mints.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Share {
    /// The failure domain's part of [`TOTAL_PARTS`].
    pub parts: u16,
    /// The number of slots that divide the failure domain's part.
    pub among: u16,
    /// The rank of the slot among them, which decides on the remainder.
    pub rank: u16,
}

impl Share {
    /// Returns the share of `rate`.
    ///
    /// ```
    /// use limpetsaddle_core::limits::MilliRate;
    /// use limpetsaddle_core::limits::Share;
    /// use limpetsaddle_core::units::TokenRate;
    ///
    /// let share = Share { parts: 500, among: 2, rank: 0 };
    /// assert_eq!(share.rate(TokenRate(100)), MilliRate(25_000));
    /// ```
    #[must_use]
    pub fn rate(self, rate: TokenRate) -> MilliRate {
        MilliRate(self.divide(rate.0.saturating_mul(u64::from(self.parts))))
    }

    /// Returns the share of `burst`.
    #[must_use]
    pub fn burst(self, burst: Tokens) -> Tokens {
        let whole = u128::from(burst.0) * u128::from(self.parts) / u128::from(TOTAL_PARTS);
        Tokens(self.divide(u64::try_from(whole).unwrap_or(u64::MAX)))
    }

    fn divide(self, whole: u64) -> u64 {
        let among = u64::from(self.among);
        let extra = u64::from(u64::from(self.rank) < whole % among);
        whole / among + extra
    }
}

/// Returns the slots of a failure domain that mint for a team, with their shares.
///
/// The slots that rank first by rendezvous hashing are chosen, so that a change
/// of their number moves as few shares as possible. The shares of all failure
/// domains add up to at most the team's rate and burst.
#[must_use]
pub fn shares(
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
    let among = allotment.slot_count.clamp(1, domain.slots);
    let share = |rank| Share {
        parts: allotment.parts,
        among,
        rank,
    };
    let ranked = ranked_slots(name, domain_name, domain.slots);
    ranked.into_iter().zip((0..among).map(share)).collect()
}

fn ranked_slots(team: &TeamName, domain: &DomainName, slots: u16) -> Vec<u16> {
    let hash = |slot: &u16| {
        let parts = [team.as_str().as_bytes(), domain.as_str().as_bytes()];
        stable_hash(&[parts[0], parts[1], &slot.to_be_bytes()])
    };
    let mut ranked: Vec<u16> = (0..slots).collect();
    ranked.sort_by_cached_key(|slot| (hash(slot), *slot));
    ranked
}
