//! Grants that an instance has received from other owners.

use std::collections::BTreeMap;

use super::grant::Grant;
use super::grant::GrantId;
use super::grant::GrantReport;
use super::grant::PendingRequest;
use super::options::LimitsOptions;
use crate::names::InstanceName;
use crate::names::TeamName;
use crate::units::Time;
use crate::units::Tokens;

#[derive(Clone, Debug)]
struct ReceivedGrant {
    from: InstanceName,
    slot: u16,
    remaining: Tokens,
    expires: Time,
    last_used_at: Time,
    used: Tokens,
    returned: Tokens,
    open_draws: u32,
}

impl ReceivedGrant {
    fn is_spendable(&self, now: Time) -> bool {
        self.remaining > Tokens::ZERO && now < self.expires
    }

    fn is_finished(&self, now: Time, options: &LimitsOptions) -> bool {
        let nothing_to_report = self.used == Tokens::ZERO && self.returned == Tokens::ZERO;
        let closed = self.open_draws == 0 || now.since(self.expires) >= options.refund_window;
        !self.is_spendable(now) && nothing_to_report && closed
    }

    /// Returns the tokens of a grant that is idle or about to expire.
    fn return_idle(&mut self, now: Time, options: &LimitsOptions) {
        let idle = now.since(self.last_used_at) >= options.idle_return_after;
        let expires_soon = now + options.clock_margin >= self.expires;
        if self.is_spendable(now) && (idle || expires_soon) {
            self.returned += std::mem::take(&mut self.remaining);
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

/// A `GrantDraw` counts the tokens that a reservation has drawn from one grant.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantDraw {
    pub(super) id: GrantId,
    pub(super) amount: Tokens,
}

/// A `ReceivedGrants` contains the grants that an instance has received for one team.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedGrants {
    grants: BTreeMap<GrantId, ReceivedGrant>,
}

impl ReceivedGrants {
    pub(super) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Adds the grant received for `request`.
    pub(super) fn add(
        &mut self,
        request: PendingRequest,
        grant: Grant,
        now: Time,
        options: &LimitsOptions,
    ) {
        let received = ReceivedGrant {
            from: request.to,
            slot: request.slot,
            remaining: grant.amount,
            expires: request.sent_at + options.spend_ttl,
            last_used_at: now,
            used: Tokens::ZERO,
            returned: Tokens::ZERO,
            open_draws: 0,
        };
        self.grants.entry(grant.id).or_insert(received);
    }

    /// Returns the number of tokens that can be spent at `now`.
    pub(super) fn spendable(&self, now: Time) -> Tokens {
        let live = self.grants.values().filter(|g| g.is_spendable(now));
        live.fold(Tokens::ZERO, |sum, g| sum + g.remaining)
    }

    /// Draws up to `amount` tokens, from the earliest to expire first.
    pub(super) fn draw(&mut self, amount: Tokens, now: Time) -> Vec<GrantDraw> {
        let mut live: Vec<_> = self.grants.iter_mut().collect();
        live.retain(|(_, g)| g.is_spendable(now));
        live.sort_by_key(|(id, g)| (g.expires, **id));
        let mut remainder = amount;
        let mut draws = Vec::new();
        for (id, grant) in live {
            let taken = remainder.min(grant.remaining);
            if taken == Tokens::ZERO {
                break;
            }
            remainder = remainder - taken;
            grant.remaining = grant.remaining - taken;
            grant.last_used_at = now;
            grant.open_draws += 1;
            draws.push(GrantDraw {
                id: *id,
                amount: taken,
            });
        }
        draws
    }

    /// Ends a draw, whose unused tokens the next report returns to the granter.
    pub(super) fn settle(&mut self, draw: GrantDraw, unused: Tokens) {
        let Some(grant) = self.grants.get_mut(&draw.id) else {
            return;
        };
        grant.open_draws = grant.open_draws.saturating_sub(1);
        grant.returned += unused;
        grant.used += draw.amount - unused;
    }

    /// Moves pending reports into `reports`, by granter, and removes finished grants.
    pub(super) fn collect(
        &mut self,
        team: &TeamName,
        now: Time,
        options: &LimitsOptions,
        reports: &mut BTreeMap<InstanceName, Vec<GrantReport>>,
    ) {
        for (id, grant) in &mut self.grants {
            grant.return_idle(now, options);
            if let Some(report) = grant.report(*id, team) {
                reports.entry(grant.from.clone()).or_default().push(report);
            }
        }
        self.grants
            .retain(|_, grant| !grant.is_finished(now, options));
    }
}
