//! One team's limits, accounts and grants at an instance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::account::Account;
use super::pocket::Pocket;
use super::reserve::Part;
use super::slots::MilliRate;
use super::slots::Share;
use crate::config::Allotment;
use crate::config::TeamSpec;
use crate::names::InstanceName;
use crate::units::Time;
use crate::units::TokenRate;
use crate::units::Tokens;

/// The span over which demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// A `TeamLimits` is the part of a team's specification that limits need.
#[derive(Clone, Debug)]
pub(super) struct TeamLimits {
    pub(super) rate: TokenRate,
    pub(super) burst: Tokens,
    pub(super) allotments: Vec<Allotment>,
}

impl From<&TeamSpec> for TeamLimits {
    fn from(spec: &TeamSpec) -> Self {
        Self {
            rate: spec.rate,
            burst: spec.burst,
            allotments: spec.allotments.clone(),
        }
    }
}

/// A `Gain` is a share that waits for its former holder to have stopped.
#[derive(Clone, Copy, Debug)]
struct Gain {
    ready_at: Time,
    share: Share,
}

/// An `OwnAccount` is the account of an own slot with the share in force.
#[derive(Clone, Debug)]
pub(super) struct OwnAccount {
    pub(super) account: Account,
    share: Option<Share>,
    gain: Option<Gain>,
}

impl OwnAccount {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            account: Account::new(now),
            share: None,
            gain: None,
        }
    }

    /// Puts a share in force: a loss at once, a gain from `ready_at` on.
    pub(super) fn set(&mut self, share: Share, limits: &TeamLimits, now: Time, ready_at: Time) {
        self.advance(limits, now);
        let old = numbers(self.share, limits);
        let new = numbers(Some(share), limits);
        if new.0 > old.0 || new.1 > old.1 {
            let same = self.gain.filter(|gain| gain.share == share);
            let ready_at = same.map_or(ready_at, |gain| gain.ready_at);
            self.gain = Some(Gain { ready_at, share });
        } else {
            self.gain = None;
            self.share = Some(share);
        }
        let rate = old.0.min(new.0);
        self.account.set(rate, old.1.min(new.1), now);
    }

    /// Mints until `now`, with a waiting gain in force from its time on.
    pub(super) fn advance(&mut self, limits: &TeamLimits, now: Time) {
        if let Some(gain) = self.gain.filter(|gain| gain.ready_at <= now) {
            self.gain = None;
            self.share = Some(gain.share);
            let (rate, cap) = numbers(self.share, limits);
            self.account.set(rate, cap, gain.ready_at);
        }
        self.account.mint(now);
    }
}

fn numbers(share: Option<Share>, limits: &TeamLimits) -> (MilliRate, Tokens) {
    let rate = share.map_or(MilliRate(0), |s| s.rate(limits.rate));
    let burst = share.map_or(Tokens::ZERO, |s| s.burst(limits.burst));
    (rate, burst)
}

/// A `Demand` estimates how many tokens a second the instance uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    window: u64,
    current: Tokens,
    previous: Tokens,
}

impl Demand {
    pub(super) fn record(&mut self, amount: Tokens, now: Time) {
        let window = now.since_origin().as_secs() / DEMAND_WINDOW.as_secs();
        if window != self.window {
            let adjacent = window == self.window + 1;
            self.previous = if adjacent { self.current } else { Tokens::ZERO };
            self.current = Tokens::ZERO;
            self.window = window;
        }
        self.current += amount;
    }

    /// Returns the tokens that `span` is expected to use.
    ///
    /// Only the last whole window counts, so that an instance which a team seldom
    /// reaches asks for no more than a request needs.
    pub(super) fn over(&self, span: Duration) -> Tokens {
        let per_window = self.previous.0;
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Tokens(per_window.saturating_mul(millis) / 1_000)
    }
}

/// A `TeamSlot` is a slot that mints for a team, with its owner.
#[derive(Clone, Debug)]
pub(super) struct TeamSlot {
    pub(super) owner: InstanceName,
    pub(super) slot: u16,
    pub(super) home: bool,
    pub(super) burst: Tokens,
    pub(super) retry_at: Time,
}

/// A `TeamState` is all that an instance holds on a team's limits.
#[derive(Clone, Debug)]
pub(super) struct TeamState {
    pub(super) limits: TeamLimits,
    pub(super) accounts: BTreeMap<u16, Box<OwnAccount>>,
    pub(super) pocket: Pocket,
    pub(super) demand: Demand,
    pub(super) debt: Tokens,
    pub(super) others: Option<Vec<TeamSlot>>,
    /// The time from which the division of the limits is in force everywhere.
    pub(super) settled_at: Time,
}

impl TeamState {
    pub(super) fn new(limits: TeamLimits) -> Self {
        Self {
            limits,
            accounts: BTreeMap::new(),
            pocket: Pocket::default(),
            demand: Demand::default(),
            debt: Tokens::ZERO,
            others: None,
            settled_at: Time::ZERO,
        }
    }

    /// Mints in all own accounts and returns the sum of their levels.
    pub(super) fn advance(&mut self, now: Time) -> Tokens {
        let mut sum = Tokens::ZERO;
        for own in self.accounts.values_mut() {
            own.advance(&self.limits, now);
            sum += own.account.level();
        }
        sum
    }

    /// Draws `amount`, grants first, since they expire.
    ///
    /// Own accounts are used only as far as `own` permits.
    pub(super) fn draw(&mut self, amount: Tokens, own: bool, id: u64, now: Time) -> Vec<Part> {
        let draws = self.pocket.draw(amount, now);
        let mut missing = amount;
        let mut parts = Vec::with_capacity(draws.len() + 1);
        for draw in draws {
            missing = missing - draw.amount;
            parts.push(Part::Granted(draw));
        }
        if !own {
            return parts;
        }
        for (slot, own) in &mut self.accounts {
            let amount = missing.min(own.account.level());
            if amount > Tokens::ZERO && own.account.reserve(id, amount) {
                missing = missing - amount;
                let slot = *slot;
                parts.push(Part::Own { slot, id, amount });
            }
        }
        parts
    }

    /// Ends a reservation's parts, of which `unused` tokens were not used.
    pub(super) fn settle(&mut self, parts: Vec<Part>, unused: Tokens, now: Time) {
        let mut unused = unused;
        for part in parts.into_iter().rev() {
            let back = unused.min(part.amount());
            unused = unused - back;
            match part {
                Part::Granted(draw) => self.pocket.settle(draw, back),
                Part::Own { slot, id, .. } => {
                    if let Some(own) = self.accounts.get_mut(&slot) {
                        own.advance(&self.limits, now);
                        own.account.settle(id, back);
                    }
                }
            }
        }
    }
}
