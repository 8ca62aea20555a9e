//! Limits, accounts and received grants of one team at an instance.

use std::collections::BTreeMap;
use std::time::Duration;

use super::account::Account;
use super::received::ReceivedGrants;
use super::reserve::Draw;
use super::slots::MilliTokenRate;
use super::slots::Share;
use crate::config::Allotment;
use crate::config::TeamSpec;
use crate::names::InstanceName;
use crate::units::Time;
use crate::units::TokenRate;
use crate::units::Tokens;

/// The window over which demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// A `TeamLimits` contains the fields of a team's specification that limits depend on.
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

/// A `PendingIncrease` is a larger share that applies once its former owner has stopped.
#[derive(Clone, Copy, Debug)]
struct PendingIncrease {
    ready_at: Time,
    share: Share,
}

/// A `SlotAccount` is a team's account in an owned slot, with its current share.
#[derive(Clone, Debug)]
pub(super) struct SlotAccount {
    pub(super) account: Account,
    share: Option<Share>,
    increase: Option<PendingIncrease>,
}

impl SlotAccount {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            account: Account::new(now),
            share: None,
            increase: None,
        }
    }

    /// Sets the share: a decrease applies at once, an increase from `ready_at` on.
    pub(super) fn set_share(
        &mut self,
        share: Share,
        limits: &TeamLimits,
        now: Time,
        ready_at: Time,
    ) {
        self.refill(limits, now);
        let old = rate_and_burst(self.share, limits);
        let new = rate_and_burst(Some(share), limits);
        if new.0 > old.0 || new.1 > old.1 {
            let same = self.increase.filter(|increase| increase.share == share);
            let ready_at = same.map_or(ready_at, |increase| increase.ready_at);
            self.increase = Some(PendingIncrease { ready_at, share });
        } else {
            self.increase = None;
            self.share = Some(share);
        }
        let rate = old.0.min(new.0);
        self.account.set_limits(rate, old.1.min(new.1), now);
    }

    /// Refills the account up to `now`, applying a pending increase from its time on.
    pub(super) fn refill(&mut self, limits: &TeamLimits, now: Time) {
        if let Some(increase) = self.increase.filter(|increase| increase.ready_at <= now) {
            self.increase = None;
            self.share = Some(increase.share);
            let (rate, burst) = rate_and_burst(self.share, limits);
            self.account.set_limits(rate, burst, increase.ready_at);
        }
        self.account.refill(now);
    }
}

fn rate_and_burst(share: Option<Share>, limits: &TeamLimits) -> (MilliTokenRate, Tokens) {
    let rate = share.map_or(MilliTokenRate(0), |s| s.rate(limits.rate));
    let burst = share.map_or(Tokens::ZERO, |s| s.burst(limits.burst));
    (rate, burst)
}

/// A `DemandEstimate` estimates how many tokens per second the instance uses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandEstimate {
    window: u64,
    current: Tokens,
    previous: Tokens,
}

impl DemandEstimate {
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

    /// Returns the expected use of tokens during `duration`.
    ///
    /// Only the last whole window counts, so that an instance with few requests of
    /// a team requests no more tokens than these need.
    pub(super) fn expected_over(&self, duration: Duration) -> Tokens {
        let per_window = self.previous.0;
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Tokens(per_window.saturating_mul(millis) / 1_000)
    }
}

/// A `PeerSlot` is another instance's slot that issues a team's tokens.
#[derive(Clone, Debug)]
pub(super) struct PeerSlot {
    pub(super) owner: InstanceName,
    pub(super) slot: u16,
    pub(super) is_local: bool,
    pub(super) burst: Tokens,
    pub(super) retry_at: Time,
}

/// A `TeamState` contains the state of a team's limits at an instance.
#[derive(Clone, Debug)]
pub(super) struct TeamState {
    pub(super) limits: TeamLimits,
    pub(super) accounts: BTreeMap<u16, Box<SlotAccount>>,
    pub(super) received: ReceivedGrants,
    pub(super) demand: DemandEstimate,
    pub(super) debt: Tokens,
    pub(super) peer_slots: Option<Vec<PeerSlot>>,
    /// The time from which all instances apply the current division of the limits.
    pub(super) effective_at: Time,
}

impl TeamState {
    pub(super) fn new(limits: TeamLimits) -> Self {
        Self {
            limits,
            accounts: BTreeMap::new(),
            received: ReceivedGrants::default(),
            demand: DemandEstimate::default(),
            debt: Tokens::ZERO,
            peer_slots: None,
            effective_at: Time::ZERO,
        }
    }

    /// Refills all owned accounts and returns the sum of their levels.
    pub(super) fn refill(&mut self, now: Time) -> Tokens {
        let mut sum = Tokens::ZERO;
        for own in self.accounts.values_mut() {
            own.refill(&self.limits, now);
            sum += own.account.level();
        }
        sum
    }

    /// Draws `amount` tokens, from received grants first, since they expire.
    ///
    /// Owned accounts are only used if `use_own` is set.
    pub(super) fn draw(&mut self, amount: Tokens, use_own: bool, id: u64, now: Time) -> Vec<Draw> {
        let grant_draws = self.received.draw(amount, now);
        let mut remainder = amount;
        let mut draws = Vec::with_capacity(grant_draws.len() + 1);
        for draw in grant_draws {
            remainder = remainder - draw.amount;
            draws.push(Draw::Granted(draw));
        }
        if !use_own {
            return draws;
        }
        for (slot, own) in &mut self.accounts {
            let amount = remainder.min(own.account.level());
            if amount > Tokens::ZERO && own.account.reserve(id, amount) {
                remainder = remainder - amount;
                let slot = *slot;
                draws.push(Draw::Own { slot, id, amount });
            }
        }
        draws
    }

    /// Ends a reservation's draws, of which `unused` tokens were not used.
    pub(super) fn settle(&mut self, draws: Vec<Draw>, unused: Tokens, now: Time) {
        let mut unused = unused;
        for draw in draws.into_iter().rev() {
            let refund = unused.min(draw.amount());
            unused = unused - refund;
            match draw {
                Draw::Granted(draw) => self.received.settle(draw, refund),
                Draw::Own { slot, id, .. } => {
                    if let Some(own) = self.accounts.get_mut(&slot) {
                        own.refill(&self.limits, now);
                        own.account.settle(id, refund);
                    }
                }
            }
        }
    }
}
