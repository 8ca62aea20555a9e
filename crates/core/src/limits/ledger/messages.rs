//! Sending and handling of the messages that transfer tokens.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Ledger;
use crate::limits::grant::Grant;
use crate::limits::grant::GrantId;
use crate::limits::grant::GrantReply;
use crate::limits::grant::GrantReport;
use crate::limits::grant::GrantRequest;
use crate::limits::grant::OutgoingRequest;
use crate::limits::grant::PendingRequest;
use crate::limits::grant::RequestId;
use crate::limits::grant::TokenRequest;
use crate::limits::reply_cache::CachedReply;
use crate::limits::reserve::Round;
use crate::limits::team::PeerSlot;
use crate::names::InstanceName;
use crate::names::TeamName;
use crate::units::Time;
use crate::units::Tokens;

impl Ledger {
    /// Applies the reports of a peer's request and grants the tokens it requests, if
    /// possible.
    pub fn on_grant_request(&mut self, req: &GrantRequest, now: Time) -> GrantReply {
        match self.reply_cache.lookup(req) {
            CachedReply::New => {}
            CachedReply::Found(reply) => {
                self.stats.ignored += 1;
                return reply;
            }
            CachedReply::Evicted => {
                self.stats.ignored += 1;
                return self.empty_reply(req.id);
            }
        }
        for report in &req.reports {
            self.apply_report(report, now);
        }
        let reply = match &req.tokens {
            Some(tokens) => self.grant_tokens(req.id, tokens, now),
            None => self.empty_reply(req.id),
        };
        self.reply_cache.insert(req, reply.clone(), now);
        reply
    }

    /// Applies the reply to a request of this instance.
    pub fn on_grant_reply(&mut self, reply: &GrantReply, now: Time) {
        let Some(request) = self.pending.remove(&reply.request) else {
            return;
        };
        let Some(team) = self.teams.get_mut(&request.team) else {
            return;
        };
        let is_asked = |s: &&mut PeerSlot| s.owner == request.to && s.slot == request.slot;
        let mut peer_slots = team.peer_slots.iter_mut().flatten();
        if let Some(peer_slot) = peer_slots.find(is_asked) {
            peer_slot.retry_at = now + reply.retry_after;
        }
        if let Some(grant) = reply.grant {
            self.teams_with_grants.insert(request.team.clone());
            team.received.add(request, grant, now, &self.options);
        }
    }

    /// Removes expired state and returns the requests that report used and unspent
    /// tokens to their granters.
    pub fn tick(&mut self, now: Time) -> Vec<OutgoingRequest> {
        let spend_ttl = self.options.spend_ttl;
        self.pending
            .retain(|_, request| now.since(request.sent_at) < spend_ttl);
        self.reply_cache.prune(now, self.options.reply_retention);
        let mut due = BTreeMap::new();
        self.teams_with_grants.retain(|name| {
            let Some(team) = self.teams.get_mut(name) else {
                return false;
            };
            team.received.collect(name, now, &self.options, &mut due);
            !team.received.is_empty()
        });
        let mut out = Vec::with_capacity(due.len());
        for (to, reports) in due {
            self.stats.report_requests += 1;
            let request = self.request(None, reports);
            out.push(OutgoingRequest { to, request });
        }
        out
    }

    pub(super) fn plan_requests(
        &mut self,
        name: &TeamName,
        deficit: Tokens,
        round: Round,
        now: Time,
    ) -> Vec<OutgoingRequest> {
        let Some(team) = self.teams.get_mut(name) else {
            return Vec::new();
        };
        let slot_tables = &self.slot_tables;
        let peer_slots = team
            .peer_slots
            .get_or_insert_with(|| slot_tables.peer_slots(name, &team.limits));
        let chosen = choose_owners(peer_slots, deficit, round, now);
        let count = chosen.len() as u64;
        let partial = count > 1
            || peer_slots
                .iter()
                .any(|s| round == Round::Local && !s.is_local);
        let prefetch = team.demand.expected_over(self.options.prefetch_duration);
        let mut out = Vec::with_capacity(chosen.len());
        for (to, slot) in chosen {
            let needed = Tokens(deficit.0.div_ceil(count));
            let wanted = needed + Tokens(prefetch.0 / count);
            let team = name.clone();
            let pending = PendingRequest {
                to: to.clone(),
                team: team.clone(),
                slot,
                sent_at: now,
            };
            let tokens = TokenRequest {
                team,
                slot,
                needed,
                wanted,
                partial,
            };
            let request = self.request(Some(tokens), Vec::new());
            self.pending.insert(request.id, pending);
            self.stats.token_requests += 1;
            out.push(OutgoingRequest { to, request });
        }
        out
    }

    fn request(&mut self, tokens: Option<TokenRequest>, reports: Vec<GrantReport>) -> GrantRequest {
        GrantRequest {
            from: self.own_name.clone(),
            incarnation: self.incarnation,
            id: RequestId(self.next_id()),
            tokens,
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

    fn grant_tokens(&mut self, request: RequestId, tokens: &TokenRequest, now: Time) -> GrantReply {
        let number = self.next_id();
        let mut reply = self.empty_reply(request);
        if !self.fence.permits(now) {
            return reply;
        }
        let Some(team) = self.teams.get_mut(&tokens.team) else {
            return reply;
        };
        let Some(own) = team.accounts.get_mut(&tokens.slot) else {
            return reply;
        };
        own.refill(&team.limits, now);
        let level = own.account.level();
        let max_amount = tokens.needed.max(Tokens(level.0 / 2));
        let amount = if tokens.partial || tokens.needed <= level {
            tokens.wanted.min(max_amount).min(level)
        } else {
            Tokens::ZERO
        };
        let missing = tokens.needed - amount.min(tokens.needed);
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

    fn apply_report(&mut self, report: &GrantReport, now: Time) {
        let team = self.teams.get_mut(&report.team);
        let own = team.and_then(|t| Some((t.accounts.get_mut(&report.slot)?, &t.limits)));
        let Some((own, limits)) = own.filter(|_| report.id.incarnation == self.incarnation) else {
            self.stats.ignored += 1;
            return;
        };
        own.refill(limits, now);
        own.account
            .settle_grant(report.id.number, report.used, report.returned);
    }
}

/// Chooses the owners to request tokens from, until their bursts cover twice the `deficit`.
fn choose_owners(
    peer_slots: &[PeerSlot],
    deficit: Tokens,
    round: Round,
    now: Time,
) -> Vec<(InstanceName, u16)> {
    let any_local = peer_slots.iter().any(|s| s.is_local);
    let is_local = match round {
        Round::Local => any_local,
        Round::Remote if any_local => false,
        Round::Remote | Round::Last => return Vec::new(),
    };
    let mut covered = Tokens::ZERO;
    let mut chosen = Vec::new();
    let ready = peer_slots
        .iter()
        .filter(|s| s.is_local == is_local && s.retry_at <= now);
    for peer_slot in ready {
        if covered >= deficit + deficit {
            break;
        }
        covered += peer_slot.burst;
        chosen.push((peer_slot.owner.clone(), peer_slot.slot));
    }
    chosen
}
