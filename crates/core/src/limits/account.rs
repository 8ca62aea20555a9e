//! The tokens of one team in one slot, at the slot's owner.

use std::collections::BTreeMap;
use std::time::Duration;

use super::slots::MilliRate;
use crate::units::Time;
use crate::units::Tokens;

/// The number of smallest units that make up a token.
///
/// A rate in thousandths of a token per second times nanoseconds gives whole
/// units, so that minting is exact.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000;

/// A `PartKey` identifies the tokens that one reservation or report has drawn.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PartKey {
    /// The number of the local reservation or of the grant.
    pub id: u64,
    /// The number of the report on a grant; zero for a local reservation.
    pub batch: u32,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    amount: Tokens,
    expires: Time,
}

/// An `Account` holds a team's tokens in one slot.
///
/// The level, the outstanding grants and the possible refunds never exceed the
/// burst together. What is drawn within any span is therefore at most the burst
/// and what the rate mints in it. A possible refund lapses, the oldest first,
/// when the level takes up its room; it is kept for each reservation on its
/// own, since a refund may only bring back tokens that its own reservation drew.
///
/// ```
/// use limpetsaddle_core::limits::Account;
/// use limpetsaddle_core::limits::MilliRate;
/// use limpetsaddle_core::limits::PartKey;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::units::Tokens;
/// use std::time::Duration;
///
/// let mut account = Account::new(Time::ZERO);
/// account.set(MilliRate(5_000), Tokens(20), Time::ZERO);
/// let now = Time::from_origin(Duration::from_secs(2));
/// account.mint(now);
/// assert_eq!(account.level(), Tokens(10));
///
/// let key = PartKey { id: 1, batch: 0 };
/// assert!(account.reserve(key, Tokens(8)));
/// account.settle(key, Tokens(5));
/// assert_eq!(account.level(), Tokens(7));
/// ```
#[derive(Clone, Debug)]
pub struct Account {
    level: u128,
    rate: MilliRate,
    cap: Tokens,
    granted: Tokens,
    refundable: Tokens,
    minted_at: Time,
    grants: BTreeMap<u64, Outstanding>,
    parts: BTreeMap<PartKey, Tokens>,
}

const fn units(amount: Tokens) -> u128 {
    amount.0 as u128 * UNITS_PER_TOKEN
}

impl Account {
    /// Returns an empty account that mints nothing yet.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            level: 0,
            rate: MilliRate(0),
            cap: Tokens::ZERO,
            granted: Tokens::ZERO,
            refundable: Tokens::ZERO,
            minted_at: now,
            grants: BTreeMap::new(),
            parts: BTreeMap::new(),
        }
    }

    /// Returns the whole tokens that can be drawn.
    #[must_use]
    pub fn level(&self) -> Tokens {
        Tokens(u64::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(u64::MAX))
    }

    /// Returns the tokens of outstanding grants.
    #[must_use]
    pub const fn granted(&self) -> Tokens {
        self.granted
    }

    /// Returns the tokens that refunds may still bring back.
    #[must_use]
    pub const fn refundable(&self) -> Tokens {
        self.refundable
    }

    /// Returns the largest number of tokens that may exist at once.
    #[must_use]
    pub const fn cap(&self) -> Tokens {
        self.cap
    }

    /// Returns the rate at which the account mints.
    #[must_use]
    pub const fn rate(&self) -> MilliRate {
        self.rate
    }

    /// Puts another rate and burst in force from `now` on.
    pub fn set(&mut self, rate: MilliRate, cap: Tokens, now: Time) {
        self.mint(now);
        self.rate = rate;
        self.cap = cap;
        self.level = self.level.min(self.room());
        self.lapse();
    }

    /// Adds what the rate has minted until `now` and ends expired grants.
    ///
    /// A grant that expired without a report counts as spent.
    pub fn mint(&mut self, now: Time) {
        while let Some(entry) = self.grants.first_entry() {
            let expires = entry.get().expires;
            if expires > now {
                break;
            }
            let amount = entry.remove().amount;
            self.add_until(expires);
            self.granted = self.granted - amount;
        }
        self.add_until(now);
    }

    /// Draws `amount` for a reservation; returns whether the level covered it.
    pub fn reserve(&mut self, key: PartKey, amount: Tokens) -> bool {
        if self.level() < amount {
            return false;
        }
        self.level -= units(amount);
        self.add_part(key, amount);
        true
    }

    /// Ends a reservation and brings `unused` back as far as it has not lapsed.
    pub fn settle(&mut self, key: PartKey, unused: Tokens) {
        if let Some(part) = self.parts.remove(&key) {
            self.refundable = self.refundable - part;
            self.level += units(unused.min(part));
        }
    }

    /// Brings back `amount` of what a report covered as far as it has not lapsed.
    pub fn refund(&mut self, key: PartKey, amount: Tokens) {
        let Some(part) = self.parts.get_mut(&key) else {
            return;
        };
        let amount = amount.min(*part);
        *part = *part - amount;
        if *part == Tokens::ZERO {
            self.parts.remove(&key);
        }
        self.refundable = self.refundable - amount;
        self.level += units(amount);
    }

    /// Draws `amount` for a grant that counts as outstanding until `expires`.
    ///
    /// Grants must be given growing numbers and times of expiry.
    pub fn grant(&mut self, number: u64, amount: Tokens, expires: Time) -> bool {
        if self.level() < amount {
            return false;
        }
        self.level -= units(amount);
        self.granted += amount;
        self.grants.insert(number, Outstanding { amount, expires });
        true
    }

    /// Records that a receiver has spent `amount` of a grant.
    ///
    /// What exceeds the outstanding part of the grant is ignored.
    pub fn spend_grant(&mut self, key: PartKey, amount: Tokens) {
        let amount = self.take_granted(key.id, amount);
        if amount > Tokens::ZERO {
            self.add_part(key, amount);
        }
    }

    /// Records that a receiver has given back `amount` of a grant unspent.
    pub fn return_grant(&mut self, number: u64, amount: Tokens) {
        let amount = self.take_granted(number, amount);
        self.level += units(amount);
    }

    /// Returns the time until the level reaches `amount`, if it ever does.
    #[must_use]
    pub fn time_until(&self, amount: Tokens) -> Option<Duration> {
        let missing = units(amount).saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate.0 == 0 || amount > self.cap {
            return None;
        }
        let nanos = missing.div_ceil(u128::from(self.rate.0));
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    const fn room(&self) -> u128 {
        units(self.cap).saturating_sub(units(self.granted))
    }

    fn add_until(&mut self, now: Time) {
        let elapsed = now.since(self.minted_at);
        self.minted_at = self.minted_at.max(now);
        let minted = u128::from(self.rate.0) * elapsed.as_nanos();
        let free = self.room().saturating_sub(self.level);
        self.level += minted.min(free);
        self.lapse();
    }

    fn add_part(&mut self, key: PartKey, amount: Tokens) {
        let part = self.parts.entry(key).or_default();
        *part += amount;
        self.refundable += amount;
    }

    fn take_granted(&mut self, number: u64, amount: Tokens) -> Tokens {
        let Some(grant) = self.grants.get_mut(&number) else {
            return Tokens::ZERO;
        };
        let amount = amount.min(grant.amount);
        grant.amount = grant.amount - amount;
        self.granted = self.granted - amount;
        if grant.amount == Tokens::ZERO {
            self.grants.remove(&number);
        }
        amount
    }

    /// Lets possible refunds lapse for which the burst has no room left.
    fn lapse(&mut self) {
        let free = self.room().saturating_sub(self.level) / UNITS_PER_TOKEN;
        let free = Tokens(u64::try_from(free).unwrap_or(u64::MAX));
        while self.refundable > free {
            let Some(mut entry) = self.parts.first_entry() else {
                break;
            };
            let excess = self.refundable - free;
            let lapsed = excess.min(*entry.get());
            *entry.get_mut() = *entry.get() - lapsed;
            self.refundable = self.refundable - lapsed;
            if *entry.get() == Tokens::ZERO {
                entry.remove();
            }
        }
    }
}
