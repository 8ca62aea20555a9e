//! The tokens that an instance got from other owners.

use std::collections::BTreeMap;

use super::grant::Grant;
use super::grant::GrantId;
use super::grant::GrantReport;
use super::grant::PendingAsk;
use super::options::LimitsOptions;
use crate::names::InstanceName;
use crate::names::TeamName;
use crate::units::Time;
use crate::units::Tokens;

#[derive(Clone, Debug)]
struct Received {
    from: InstanceName,
    slot: u16,
    left: Tokens,
    expires: Time,
    used_at: Time,
    used: Tokens,
    returned: Tokens,
    open: u32,
}

impl Received {
    fn is_spendable(&self, now: Time) -> bool {
        self.left > Tokens::ZERO && now < self.expires
    }

    fn is_finished(&self, now: Time, options: &LimitsOptions) -> bool {
        let nothing_due = self.used == Tokens::ZERO && self.returned == Tokens::ZERO;
        let closed = self.open == 0 || now.since(self.expires) >= options.refund_window;
        !self.is_spendable(now) && nothing_due && closed
    }

    /// Gives back the tokens that no request has drawn for some time.
    fn return_idle(&mut self, now: Time, options: &LimitsOptions) {
        let idle = now.since(self.used_at) >= options.idle_return;
        let ending = now + options.margin >= self.expires;
        if self.is_spendable(now) && (idle || ending) {
            self.returned += std::mem::take(&mut self.left);
        }
    }

    fn report(&mut self, id: GrantId, team: &TeamName) -> Option<GrantReport> {
        if self.used == Tokens::ZERO && self.returned == Tokens::ZERO {
            return None;
        }
        Some(GrantReport {
            id,
            team: team.clone(),
            slot: self.slot,
            used: std::mem::take(&mut self.used),
            returned: std::mem::take(&mut self.returned),
        })
    }
}

/// A `Draw` is what a reservation took from one grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draw {
    pub(super) id: GrantId,
    pub(super) amount: Tokens,
}

/// A `Pocket` holds one team's grants at their receiver.
#[derive(Clone, Debug, Default)]
pub(super) struct Pocket {
    grants: BTreeMap<GrantId, Received>,
}

impl Pocket {
    pub(super) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Adds the grant that answers `ask`.
    pub(super) fn add(
        &mut self,
        ask: PendingAsk,
        offer: Grant,
        now: Time,
        options: &LimitsOptions,
    ) {
        let received = Received {
            from: ask.to,
            slot: ask.slot,
            left: offer.amount,
            expires: ask.sent_at + options.spend_ttl,
            used_at: now,
            used: Tokens::ZERO,
            returned: Tokens::ZERO,
            open: 0,
        };
        self.grants.entry(offer.id).or_insert(received);
    }

    /// Returns the tokens that can be spent at `now`.
    pub(super) fn spendable(&self, now: Time) -> Tokens {
        let live = self.grants.values().filter(|g| g.is_spendable(now));
        live.fold(Tokens::ZERO, |sum, g| sum + g.left)
    }

    /// Draws up to `amount`, the earliest to expire first.
    pub(super) fn draw(&mut self, amount: Tokens, now: Time) -> Vec<Draw> {
        let mut live: Vec<_> = self.grants.iter_mut().collect();
        live.retain(|(_, g)| g.is_spendable(now));
        live.sort_by_key(|(id, g)| (g.expires, **id));
        let mut missing = amount;
        let mut draws = Vec::new();
        for (id, grant) in live {
            let part = missing.min(grant.left);
            if part == Tokens::ZERO {
                break;
            }
            missing = missing - part;
            grant.left = grant.left - part;
            grant.used_at = now;
            grant.open += 1;
            draws.push(Draw {
                id: *id,
                amount: part,
            });
        }
        draws
    }

    /// Ends a draw; its unused tokens go back to the granter with a report.
    pub(super) fn settle(&mut self, draw: Draw, unused: Tokens) {
        let Some(grant) = self.grants.get_mut(&draw.id) else {
            return;
        };
        grant.open = grant.open.saturating_sub(1);
        grant.returned += unused;
        grant.used += draw.amount - unused;
    }

    /// Moves what is due for reports into `due`, sorted by granter.
    pub(super) fn collect(
        &mut self,
        team: &TeamName,
        now: Time,
        options: &LimitsOptions,
        due: &mut BTreeMap<InstanceName, Vec<GrantReport>>,
    ) {
        for (id, grant) in &mut self.grants {
            grant.return_idle(now, options);
            if let Some(report) = grant.report(*id, team) {
                due.entry(grant.from.clone()).or_default().push(report);
            }
        }
        self.grants
            .retain(|_, grant| !grant.is_finished(now, options));
    }
}
