//! The ledger's side of the messages by which tokens move.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Ledger;
use crate::limits::grant::Grant;
use crate::limits::grant::GrantId;
use crate::limits::grant::GrantReply;
use crate::limits::grant::GrantReport;
use crate::limits::grant::GrantRequest;
use crate::limits::grant::OutgoingRequest;
use crate::limits::grant::PendingAsk;
use crate::limits::grant::RequestId;
use crate::limits::grant::TokenRequest;
use crate::limits::replies::Seen;
use crate::limits::reserve::Round;
use crate::limits::team::TeamSlot;
use crate::names::InstanceName;
use crate::names::TeamName;
use crate::units::Time;
use crate::units::Tokens;

impl Ledger {
    /// Answers a peer's request for tokens and takes in its reports.
    pub fn on_grant_request(&mut self, req: &GrantRequest, now: Time) -> GrantReply {
        match self.replies.find(req) {
            Seen::New => {}
            Seen::Answered(reply) => {
                self.stats.ignored += 1;
                return reply;
            }
            Seen::Forgotten => {
                self.stats.ignored += 1;
                return self.empty_reply(req.id);
            }
        }
        for report in &req.reports {
            self.take_report(report, now);
        }
        let reply = match &req.tokens {
            Some(ask) => self.answer(req.id, ask, now),
            None => self.empty_reply(req.id),
        };
        self.replies.keep(req, reply.clone(), now);
        reply
    }

    /// Takes in the reply to a request of this instance.
    pub fn on_grant_reply(&mut self, reply: &GrantReply, now: Time) {
        let Some(ask) = self.pending.remove(&reply.request) else {
            return;
        };
        let Some(team) = self.teams.get_mut(&ask.team) else {
            return;
        };
        let asked = |s: &&mut TeamSlot| s.owner == ask.to && s.slot == ask.slot;
        let mut others = team.others.iter_mut().flatten();
        if let Some(other) = others.find(asked) {
            other.retry_at = now + reply.retry_after;
        }
        if let Some(offer) = reply.grant {
            self.with_grants.insert(ask.team.clone());
            team.pocket.add(ask, offer, now, &self.options);
        }
    }

    /// Returns the reports and unspent tokens that are due to their granters.
    pub fn tick(&mut self, now: Time) -> Vec<OutgoingRequest> {
        let spend_ttl = self.options.spend_ttl;
        self.pending
            .retain(|_, ask| now.since(ask.sent_at) < spend_ttl);
        self.replies.prune(now, self.options.reply_memory);
        let mut due = BTreeMap::new();
        self.with_grants.retain(|name| {
            let Some(team) = self.teams.get_mut(name) else {
                return false;
            };
            team.pocket.collect(name, now, &self.options, &mut due);
            !team.pocket.is_empty()
        });
        let mut out = Vec::with_capacity(due.len());
        for (to, reports) in due {
            self.stats.reports += 1;
            let request = self.request(None, reports);
            out.push(OutgoingRequest { to, request });
        }
        out
    }

    pub(super) fn plan_asks(
        &mut self,
        name: &TeamName,
        deficit: Tokens,
        round: Round,
        now: Time,
    ) -> Vec<OutgoingRequest> {
        let Some(team) = self.teams.get_mut(name) else {
            return Vec::new();
        };
        let tables = &self.tables;
        let others = team
            .others
            .get_or_insert_with(|| tables.others(name, &team.limits));
        let chosen = choose(others, deficit, round, now);
        let count = chosen.len() as u64;
        let partial = count > 1 || others.iter().any(|s| round == Round::Local && !s.home);
        let chunk = team.demand.over(self.options.chunk);
        let mut out = Vec::with_capacity(chosen.len());
        for (to, slot) in chosen {
            let needed = Tokens(deficit.0.div_ceil(count));
            let wanted = needed + Tokens(chunk.0 / count);
            let team = name.clone();
            let pending = PendingAsk {
                to: to.clone(),
                team: team.clone(),
                slot,
                sent_at: now,
            };
            let ask = TokenRequest {
                team,
                slot,
                needed,
                wanted,
                partial,
            };
            let request = self.request(Some(ask), Vec::new());
            self.pending.insert(request.id, pending);
            self.stats.asks += 1;
            out.push(OutgoingRequest { to, request });
        }
        out
    }

    fn request(&mut self, ask: Option<TokenRequest>, reports: Vec<GrantReport>) -> GrantRequest {
        GrantRequest {
            from: self.me.clone(),
            incarnation: self.incarnation,
            id: RequestId(self.next_id()),
            tokens: ask,
            reports,
        }
    }

    fn empty_reply(&self, request: RequestId) -> GrantReply {
        GrantReply {
            request,
            grant: None,
            retry_after: self.options.max_backoff,
        }
    }

    fn answer(&mut self, request: RequestId, ask: &TokenRequest, now: Time) -> GrantReply {
        let number = self.next_id();
        let mut reply = self.empty_reply(request);
        if !self.fence.permits(now) {
            return reply;
        }
        let Some(team) = self.teams.get_mut(&ask.team) else {
            return reply;
        };
        let Some(own) = team.accounts.get_mut(&ask.slot) else {
            return reply;
        };
        own.advance(&team.limits, now);
        let level = own.account.level();
        let fair = ask.needed.max(Tokens(level.0 / 2));
        let amount = if ask.partial || ask.needed <= level {
            ask.wanted.min(fair).min(level)
        } else {
            Tokens::ZERO
        };
        let missing = ask.needed - amount.min(ask.needed);
        let wait = own.account.time_until(level - amount + missing);
        reply.retry_after = match missing {
            Tokens::ZERO => Duration::ZERO,
            _ => wait
                .unwrap_or(self.options.max_backoff)
                .clamp(self.options.min_backoff, self.options.max_backoff),
        };
        let expires = now + self.options.grant_ttl;
        if amount > Tokens::ZERO && own.account.grant(number, amount, expires) {
            self.stats.grants += 1;
            self.stats.granted += amount.0;
            let id = GrantId {
                incarnation: self.incarnation,
                number,
            };
            reply.grant = Some(Grant { id, amount });
        }
        reply
    }

    fn take_report(&mut self, report: &GrantReport, now: Time) {
        let team = self.teams.get_mut(&report.team);
        let own = team.and_then(|t| Some((t.accounts.get_mut(&report.slot)?, &t.limits)));
        let Some((own, limits)) = own.filter(|_| report.id.incarnation == self.incarnation) else {
            self.stats.ignored += 1;
            return;
        };
        own.advance(limits, now);
        own.account
            .settle_grant(report.id.number, report.used, report.returned);
    }
}

/// Chooses the owners to ask: as many as can be expected to cover `deficit`.
fn choose(
    others: &[TeamSlot],
    deficit: Tokens,
    round: Round,
    now: Time,
) -> Vec<(InstanceName, u16)> {
    let any_home = others.iter().any(|s| s.home);
    let home = match round {
        Round::Local => any_home,
        Round::Remote if any_home => false,
        Round::Remote | Round::Last => return Vec::new(),
    };
    let mut covered = Tokens::ZERO;
    let mut chosen = Vec::new();
    let ready = others
        .iter()
        .filter(|s| s.home == home && s.retry_at <= now);
    for other in ready {
        if covered >= deficit + deficit {
            break;
        }
        covered += other.burst;
        chosen.push((other.owner.clone(), other.slot));
    }
    chosen
}
