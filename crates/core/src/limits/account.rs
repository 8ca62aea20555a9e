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

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    amount: Tokens,
    expires: Time,
}

/// A `Part` is what may still come back of a reservation or an expired grant.
#[derive(Clone, Copy, Debug)]
struct Part {
    amount: Tokens,
    source: Source,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Reservation,
    Grant,
}

/// An `Account` holds a team's tokens in one slot.
///
/// The level, the outstanding grants and the possible refunds never exceed the
/// burst together. What is drawn within any span is therefore at most the burst
/// and what the rate mints in it. A possible refund lapses, the oldest first,
/// when the level takes up its room; it is kept for each reservation and
/// grant on its own, since a refund may only bring back tokens that its own
/// reservation drew.
///
/// ```
/// use limpetsaddle_core::limits::Account;
/// use limpetsaddle_core::limits::MilliRate;
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
/// assert!(account.reserve(1, Tokens(8)));
/// account.settle(1, Tokens(5));
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
    parts: BTreeMap<u64, Part>,
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
    /// What is outstanding of an expired grant counts as spent. Its receiver can
    /// draw no more by then, and may still give back what its requests do not use.
    pub fn mint(&mut self, now: Time) {
        while let Some(entry) = self.grants.first_entry() {
            let expires = entry.get().expires;
            if expires > now {
                break;
            }
            let (number, grant) = entry.remove_entry();
            self.add_until(expires);
            self.granted = self.granted - grant.amount;
            self.add_part(number, grant.amount, Source::Grant);
        }
        self.add_until(now);
    }

    /// Draws `amount` for the reservation `number`; returns whether the level covered it.
    pub fn reserve(&mut self, number: u64, amount: Tokens) -> bool {
        if self.level() < amount {
            return false;
        }
        self.level -= units(amount);
        self.add_part(number, amount, Source::Reservation);
        true
    }

    /// Ends a reservation and brings `unused` back as far as it has not lapsed.
    pub fn settle(&mut self, number: u64, unused: Tokens) {
        let whole = Tokens(u64::MAX);
        let part = self.take_part(number, whole, Source::Reservation);
        self.level += units(unused.min(part));
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

    /// Records that a receiver has used `used` tokens of a grant and gives back
    /// `returned`.
    ///
    /// Nothing comes back beyond what is outstanding or, after the grant's
    /// expiry, has not lapsed.
    pub fn settle_grant(&mut self, number: u64, used: Tokens, returned: Tokens) {
        let back = if self.grants.contains_key(&number) {
            self.take_granted(number, used);
            self.take_granted(number, returned)
        } else {
            self.take_part(number, used, Source::Grant);
            self.take_part(number, returned, Source::Grant)
        };
        self.level += units(back);
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

    /// Adds a possible refund; a second one of the same number joins the first.
    fn add_part(&mut self, number: u64, amount: Tokens, source: Source) {
        let none = Part {
            amount: Tokens::ZERO,
            source,
        };
        self.parts.entry(number).or_insert(none).amount += amount;
        self.refundable += amount;
    }

    fn take_part(&mut self, number: u64, amount: Tokens, source: Source) -> Tokens {
        let part = self.parts.get_mut(&number);
        let Some(part) = part.filter(|part| part.source == source) else {
            return Tokens::ZERO;
        };
        let amount = amount.min(part.amount);
        part.amount = part.amount - amount;
        self.refundable = self.refundable - amount;
        if part.amount == Tokens::ZERO {
            self.parts.remove(&number);
        }
        amount
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
            let part = entry.get_mut();
            let lapsed = excess.min(part.amount);
            part.amount = part.amount - lapsed;
            self.refundable = self.refundable - lapsed;
            if part.amount == Tokens::ZERO {
                entry.remove();
            }
        }
    }
}
