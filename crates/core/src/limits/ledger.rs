//! Ledger of an instance, which admits requests and transfers tokens.

mod messages;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::fence::Fence;
use super::grant::PendingRequest;
use super::grant::RequestId;
use super::options::LimitsOptions;
use super::reply_cache::ReplyCache;
use super::reserve::Reservation;
use super::reserve::ReserveResult;
use super::reserve::Round;
use super::slot_tables::SlotTables;
use super::slots::slot_shares;
use super::team::SlotAccount;
use super::team::TeamLimits;
use super::team::TeamState;
use crate::config::DomainSpec;
use crate::config::SlotTable;
use crate::config::TeamSpec;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::names::TeamName;
use crate::refusal::Reason;
use crate::refusal::Refusal;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;
use crate::units::Tokens;

/// The minimum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// A `LedgerStats` contains the counters of a ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerStats {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused for lack of tokens.
    pub rate_limited: u64,
    /// Requests refused because they exceed the team's burst.
    pub exceeds_burst: u64,
    /// Requests refused for lack of a recent contact or of the team's limits.
    pub unavailable: u64,
    /// Requests for tokens sent to other owners.
    pub token_requests: u64,
    /// Requests sent that only report on grants.
    pub report_requests: u64,
    /// Grants given to other instances.
    pub grants: u64,
    /// Tokens granted to other instances.
    pub granted: u64,
    /// Messages without an effect: repeated, too old or for another incarnation.
    pub ignored: u64,
}

/// A `Ledger` enforces the limits of all teams at one instance.
///
/// ```
/// use limpetsaddle_core::config::DomainSpec;
/// use limpetsaddle_core::limits::Ledger;
/// use limpetsaddle_core::limits::LimitsOptions;
/// use limpetsaddle_core::limits::ReserveResult;
/// use limpetsaddle_core::limits::Round;
/// use limpetsaddle_core::refusal::Reason;
/// use limpetsaddle_core::units::Incarnation;
/// use limpetsaddle_core::units::Time;
/// use limpetsaddle_core::units::Tokens;
///
/// let now = Time::ZERO;
/// let options = LimitsOptions::default();
/// let own_name = "bergen-1".parse()?;
/// let mut ledger = Ledger::new(own_name, Incarnation(1), "bergen".parse()?, options);
///
/// let team = "yard".parse()?;
/// let outcome = ledger.reserve(&team, Tokens(10), Round::Local, now);
/// let ReserveResult::Refused(refusal) = outcome else {
///     panic!("the team has no limits yet");
/// };
/// assert_eq!(refusal.reason, Reason::LimitsUnavailable);
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug)]
pub struct Ledger {
    own_name: InstanceName,
    incarnation: Incarnation,
    options: LimitsOptions,
    fence: Fence,
    slot_tables: SlotTables,
    teams: BTreeMap<TeamName, TeamState>,
    teams_with_grants: BTreeSet<TeamName>,
    pending: BTreeMap<RequestId, PendingRequest>,
    reply_cache: ReplyCache,
    last_id: u64,
    stats: LedgerStats,
}

impl Ledger {
    /// Returns the ledger of an instance that is starting, without tokens.
    #[must_use]
    pub fn new(
        own_name: InstanceName,
        incarnation: Incarnation,
        domain: DomainName,
        options: LimitsOptions,
    ) -> Self {
        Self {
            slot_tables: SlotTables::new(own_name.clone(), incarnation, domain, options),
            own_name,
            incarnation,
            options,
            fence: Fence::new(options.fence_timeout),
            teams: BTreeMap::new(),
            teams_with_grants: BTreeSet::new(),
            pending: BTreeMap::new(),
            reply_cache: ReplyCache::default(),
            last_id: 0,
            stats: LedgerStats::default(),
        }
    }

    /// Sets a team's limits, or removes them with `None`.
    pub fn set_team(&mut self, name: &TeamName, spec: Option<&TeamSpec>, now: Time) {
        let Some(spec) = spec else {
            self.teams.remove(name);
            self.teams_with_grants.remove(name);
            return;
        };
        let limits = TeamLimits::from(spec);
        let entry = self.teams.entry(name.clone());
        let team = entry.or_insert_with(|| TeamState::new(limits.clone()));
        for own in team.accounts.values_mut() {
            own.refill(&team.limits, now);
        }
        if team.limits.allotments != limits.allotments {
            team.effective_at = now + self.options.gain_delay();
        }
        team.limits = limits;
        update_shares(name, team, &self.slot_tables, now);
    }

    /// Sets a failure domain's number of slots.
    pub fn set_domain(&mut self, name: &DomainName, spec: Option<&DomainSpec>, now: Time) {
        if self.slot_tables.set_domain(name, spec) {
            let effective_at = now + self.options.gain_delay();
            for team in self.teams.values_mut() {
                team.effective_at = effective_at;
            }
        }
        self.update_all_shares(now);
    }

    /// Sets the owners of a failure domain's slots.
    ///
    /// A table that is older than the current one has no effect.
    pub fn set_slots(
        &mut self,
        domain: &DomainName,
        revision: Revision,
        table: &SlotTable,
        now: Time,
    ) {
        let Some(lost) = self.slot_tables.set_slots(domain, revision, table, now) else {
            self.stats.ignored += 1;
            return;
        };
        for team in self.teams.values_mut() {
            team.accounts.retain(|slot, _| !lost.contains(slot));
        }
        self.update_all_shares(now);
    }

    /// Stops issuing tokens in the owned slots that `next` releases.
    ///
    /// Must be called before `next` is written: an instance that finds a slot free
    /// relies on its last owner having stopped, even if that owner never receives
    /// the result of the write. `next` is changed for a slot that can't be released
    /// yet or that was released before.
    pub fn prepare_release(&mut self, next: &mut SlotTable, now: Time) {
        let lost = self.slot_tables.prepare_release(next, now);
        for team in self.teams.values_mut() {
            team.accounts.retain(|slot, _| !lost.contains(slot));
        }
    }

    /// Returns whether this instance may issue tokens in a slot of its failure domain.
    #[must_use]
    pub fn may_issue(&self, slot: u16, now: Time) -> bool {
        let ready_at = self.slot_tables.ready_at(slot);
        self.fence.permits(now) && ready_at.is_some_and(|ready_at| ready_at <= now)
    }

    /// Records a confirmed contact whose request was sent at `sent_at`.
    ///
    /// A contact is an exchange with the platform, or with a live instance of the
    /// same failure domain, that also returned its newer configuration.
    pub fn on_contact(&mut self, sent_at: Time) {
        self.fence.confirm(sent_at);
    }

    /// Returns whether another incarnation has replaced this one.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.fence.is_replaced()
    }

    /// Records that another incarnation has replaced this one, which stops issuing tokens.
    pub fn on_replaced(&mut self) {
        self.fence.replace();
        for team in self.teams.values_mut() {
            team.accounts.clear();
        }
    }

    /// Reserves `amount` tokens for a request of `team`.
    ///
    /// After [`ReserveResult::NeedsGrants`], the caller sends the requests, passes
    /// the replies to [`Ledger::on_grant_reply`] and reserves again in the next
    /// round.
    pub fn reserve(
        &mut self,
        team: &TeamName,
        amount: Tokens,
        round: Round,
        now: Time,
    ) -> ReserveResult {
        let is_permitted = self.fence.permits(now);
        let Some(state) = self.teams.get_mut(team) else {
            return self.refuse(Reason::LimitsUnavailable, None);
        };
        if amount > state.limits.burst {
            return self.refuse(Reason::ExceedsBurst, None);
        }
        if round == Round::Local {
            state.demand.record(amount, now);
        }
        let own = state.refill(now);
        let own = if is_permitted { own } else { Tokens::ZERO };
        let needed = amount + state.debt;
        let spendable = own + state.received.spendable(now);
        if needed <= spendable {
            return self.admit(team, amount, is_permitted, now);
        }
        let deficit = needed - spendable;
        let token_requests = self.plan_requests(team, deficit, round, now);
        if !token_requests.is_empty() {
            return ReserveResult::NeedsGrants(token_requests);
        }
        let wait = self.time_to_refill(team, deficit);
        let reason = if is_permitted {
            Reason::RateLimited
        } else {
            Reason::LimitsUnavailable
        };
        self.refuse(reason, Some(wait))
    }

    /// Ends a reservation of which `used` tokens were used.
    ///
    /// Unused tokens are returned as far as the team's burst has room for them.
    /// Tokens used beyond the reservation are charged to the team's next one.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens, now: Time) {
        let Some(team) = self.teams.get_mut(&reservation.team) else {
            return;
        };
        team.debt += used.saturating_sub(reservation.amount);
        let unused = reservation.amount.saturating_sub(used);
        team.settle(reservation.draws, unused, now);
    }

    /// Returns the counters.
    #[must_use]
    pub const fn stats(&self) -> LedgerStats {
        self.stats
    }

    /// Returns the number of slots that this instance owns.
    #[must_use]
    pub fn slots_owned(&self) -> usize {
        self.slot_tables.owned().count()
    }

    fn update_all_shares(&mut self, now: Time) {
        for (name, team) in &mut self.teams {
            update_shares(name, team, &self.slot_tables, now);
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn refuse(&mut self, reason: Reason, wait: Option<Duration>) -> ReserveResult {
        match reason {
            Reason::RateLimited => self.stats.rate_limited += 1,
            Reason::ExceedsBurst => self.stats.exceeds_burst += 1,
            _ => self.stats.unavailable += 1,
        }
        let refusal = Refusal::not_run(reason);
        ReserveResult::Refused(wait.map_or(refusal, |wait| refusal.retry_after(wait)))
    }

    fn admit(
        &mut self,
        name: &TeamName,
        amount: Tokens,
        use_own: bool,
        now: Time,
    ) -> ReserveResult {
        let id = self.next_id();
        self.stats.admitted += 1;
        let mut draws = Vec::new();
        if let Some(team) = self.teams.get_mut(name) {
            let debt = std::mem::take(&mut team.debt);
            // The debt is drawn separately, so that its tokens are never refunded.
            drop(team.draw(debt, use_own, id, now));
            draws = team.draw(amount, use_own, id, now);
        }
        ReserveResult::Admitted(Reservation {
            team: name.clone(),
            amount,
            draws,
        })
    }

    fn time_to_refill(&self, name: &TeamName, deficit: Tokens) -> Duration {
        let rate = self.teams.get(name).map_or(1, |t| t.limits.rate.0.max(1));
        let millis = u128::from(deficit.0) * 1_000 / u128::from(rate);
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        Duration::from_millis(millis).max(MIN_RETRY_AFTER)
    }
}

/// Updates a team's shares in the owned slots.
fn update_shares(name: &TeamName, team: &mut TeamState, slot_tables: &SlotTables, now: Time) {
    team.peer_slots = None;
    let domain = slot_tables.local_domain();
    let slot_shares = match slot_tables.local_spec() {
        Some(spec) => slot_shares(name, &team.limits.allotments, domain, spec),
        None => Vec::new(),
    };
    let mut own_shares = BTreeMap::new();
    for (slot, share) in slot_shares {
        if let Some(ready_at) = slot_tables.ready_at(slot) {
            own_shares.insert(slot, (share, ready_at.max(team.effective_at)));
        }
    }
    team.accounts
        .retain(|slot, _| own_shares.contains_key(slot));
    for (slot, (share, ready_at)) in own_shares {
        let account = team.accounts.entry(slot);
        let own = account.or_insert_with(|| Box::new(SlotAccount::new(now)));
        own.set_share(share, &team.limits, now, ready_at);
    }
}
