//! The token bucket of one team in one slot, held by the slot's owner.

use std::collections::BTreeMap;
use std::time::Duration;

use super::slots::MilliTokenRate;
use crate::units::Time;
use crate::units::Tokens;

/// The number of internal units per token.
///
/// A rate in thousandths of a token per second times nanoseconds gives whole
/// units, so refills are exact.
const UNITS_PER_TOKEN: u128 = 1_000_000_000_000;

#[derive(Clone, Copy, Debug)]
struct OutstandingGrant {
    amount: Tokens,
    expires: Time,
}

/// A `PossibleRefund` counts the tokens that a reservation or an expired grant may still return.
#[derive(Clone, Copy, Debug)]
struct PossibleRefund {
    amount: Tokens,
    source: RefundSource,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RefundSource {
    Reservation,
    Grant,
}

/// An `Account` is the token bucket of a team in one slot.
///
/// The sum of the level, the outstanding grants and the possible refunds never
/// exceeds the burst, so the tokens drawn in any interval are at most the burst
/// plus the refill in that interval. When the level needs the room of possible
/// refunds, the oldest are dropped first. They are counted per reservation and
/// per grant, since a refund may only return tokens that its own reservation
/// drew.
///
/// ```
/// use limpetsaddle_core::limits::Account;
/// use limpetsaddle_core::limits::MilliTokenRate;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::units::Tokens;
/// use std::time::Duration;
///
/// let mut account = Account::new(Time::ZERO);
/// account.set_limits(MilliTokenRate(5_000), Tokens(20), Time::ZERO);
/// let now = Time::from_origin(Duration::from_secs(2));
/// account.refill(now);
/// assert_eq!(account.level(), Tokens(10));
///
/// assert!(account.reserve(1, Tokens(8)));
/// account.settle(1, Tokens(5));
/// assert_eq!(account.level(), Tokens(7));
/// ```
#[derive(Clone, Debug)]
pub struct Account {
    level: u128,
    rate: MilliTokenRate,
    capacity: Tokens,
    granted: Tokens,
    refundable: Tokens,
    refilled_at: Time,
    grants: BTreeMap<u64, OutstandingGrant>,
    refunds: BTreeMap<u64, PossibleRefund>,
}

const fn units(amount: Tokens) -> u128 {
    amount.0 as u128 * UNITS_PER_TOKEN
}

impl Account {
    /// Returns an empty account with a rate and burst of zero.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            level: 0,
            rate: MilliTokenRate(0),
            capacity: Tokens::ZERO,
            granted: Tokens::ZERO,
            refundable: Tokens::ZERO,
            refilled_at: now,
            grants: BTreeMap::new(),
            refunds: BTreeMap::new(),
        }
    }

    /// Returns the number of whole tokens that can be drawn.
    #[must_use]
    pub fn level(&self) -> Tokens {
        Tokens(u64::try_from(self.level / UNITS_PER_TOKEN).unwrap_or(u64::MAX))
    }

    /// Returns the number of tokens in outstanding grants.
    #[must_use]
    pub const fn granted(&self) -> Tokens {
        self.granted
    }

    /// Returns the number of tokens that may still be refunded.
    #[must_use]
    pub const fn refundable(&self) -> Tokens {
        self.refundable
    }

    /// Returns the most tokens that the account may hold, granted and refundable
    /// ones included.
    #[must_use]
    pub const fn capacity(&self) -> Tokens {
        self.capacity
    }

    /// Returns the refill rate.
    #[must_use]
    pub const fn rate(&self) -> MilliTokenRate {
        self.rate
    }

    /// Sets the rate and burst that apply from `now` on.
    pub fn set_limits(&mut self, rate: MilliTokenRate, capacity: Tokens, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(self.room());
        self.drop_excess_refunds();
    }

    /// Refills the account up to `now` and ends expired grants.
    ///
    /// The outstanding tokens of an expired grant count as spent. Its receiver
    /// can't draw any more by then, but may still return what its requests
    /// don't use.
    pub fn refill(&mut self, now: Time) {
        while let Some(entry) = self.grants.first_entry() {
            let expires = entry.get().expires;
            if expires > now {
                break;
            }
            let (number, grant) = entry.remove_entry();
            self.refill_until(expires);
            self.granted = self.granted - grant.amount;
            self.add_refund(number, grant.amount, RefundSource::Grant);
        }
        self.refill_until(now);
    }

    /// Draws `amount` for the reservation `number` and returns whether the level covered it.
    pub fn reserve(&mut self, number: u64, amount: Tokens) -> bool {
        if self.level() < amount {
            return false;
        }
        self.level -= units(amount);
        self.add_refund(number, amount, RefundSource::Reservation);
        true
    }

    /// Ends a reservation and returns its `unused` tokens, except for dropped refunds.
    pub fn settle(&mut self, number: u64, unused: Tokens) {
        let whole = Tokens(u64::MAX);
        let refund = self.take_refund(number, whole, RefundSource::Reservation);
        self.level += units(unused.min(refund));
    }

    /// Draws `amount` for a grant that stays outstanding until `expires`, and
    /// returns whether the level covered it.
    ///
    /// Numbers and expiry times of successive grants must increase.
    pub fn grant(&mut self, number: u64, amount: Tokens, expires: Time) -> bool {
        if self.level() < amount {
            return false;
        }
        self.level -= units(amount);
        self.granted += amount;
        self.grants
            .insert(number, OutstandingGrant { amount, expires });
        true
    }

    /// Records that the receiver of a grant has used `used` tokens and returns
    /// `returned`.
    ///
    /// No more is returned than is outstanding or, after the grant's expiry,
    /// than its possible refund.
    pub fn settle_grant(&mut self, number: u64, used: Tokens, returned: Tokens) {
        let refund = if self.grants.contains_key(&number) {
            self.take_granted(number, used);
            self.take_granted(number, returned)
        } else {
            self.take_refund(number, used, RefundSource::Grant);
            self.take_refund(number, returned, RefundSource::Grant)
        };
        self.level += units(refund);
    }

    /// Returns the time until the level reaches `amount`, or `None` if it never does.
    #[must_use]
    pub fn time_until(&self, amount: Tokens) -> Option<Duration> {
        let missing = units(amount).saturating_sub(self.level);
        if missing == 0 {
            return Some(Duration::ZERO);
        }
        if self.rate.0 == 0 || amount > self.capacity {
            return None;
        }
        let nanos = missing.div_ceil(u128::from(self.rate.0));
        Some(Duration::from_nanos(
            u64::try_from(nanos).unwrap_or(u64::MAX),
        ))
    }

    const fn room(&self) -> u128 {
        units(self.capacity).saturating_sub(units(self.granted))
    }

    fn refill_until(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let refill = u128::from(self.rate.0) * elapsed.as_nanos();
        let free = self.room().saturating_sub(self.level);
        self.level += refill.min(free);
        self.drop_excess_refunds();
    }

    /// Adds a possible refund to that of the same number, if any.
    fn add_refund(&mut self, number: u64, amount: Tokens, source: RefundSource) {
        let none = PossibleRefund {
            amount: Tokens::ZERO,
            source,
        };
        self.refunds.entry(number).or_insert(none).amount += amount;
        self.refundable += amount;
    }

    fn take_refund(&mut self, number: u64, amount: Tokens, source: RefundSource) -> Tokens {
        let refund = self.refunds.get_mut(&number);
        let Some(refund) = refund.filter(|refund| refund.source == source) else {
            return Tokens::ZERO;
        };
        let amount = amount.min(refund.amount);
        refund.amount = refund.amount - amount;
        self.refundable = self.refundable - amount;
        if refund.amount == Tokens::ZERO {
            self.refunds.remove(&number);
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

    /// Drops the oldest possible refunds that the burst has no room for.
    fn drop_excess_refunds(&mut self) {
        let free = self.room().saturating_sub(self.level) / UNITS_PER_TOKEN;
        let free = Tokens(u64::try_from(free).unwrap_or(u64::MAX));
        while self.refundable > free {
            let Some(mut entry) = self.refunds.first_entry() else {
                break;
            };
            let excess = self.refundable - free;
            let refund = entry.get_mut();
            let dropped = excess.min(refund.amount);
            refund.amount = refund.amount - dropped;
            self.refundable = self.refundable - dropped;
            if refund.amount == Tokens::ZERO {
                entry.remove();
            }
        }
    }
}
