//! The ledger through which an instance admits requests and moves tokens.

mod messages;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::fence::Fence;
use super::grant::PendingAsk;
use super::grant::RequestId;
use super::options::LimitsOptions;
use super::replies::Replies;
use super::reserve::Reservation;
use super::reserve::ReserveResult;
use super::reserve::Round;
use super::slots::shares;
use super::tables::Tables;
use super::team::OwnAccount;
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

/// The shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// A `LedgerStats` counts what a ledger has done.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerStats {
    /// Requests admitted.
    pub admitted: u64,
    /// Requests refused since the tokens did not suffice.
    pub rate_limited: u64,
    /// Requests refused since they exceed the team's burst.
    pub exceeds_burst: u64,
    /// Requests refused for lack of a recent contact or of the team's limits.
    pub unavailable: u64,
    /// Asks sent to other owners.
    pub asks: u64,
    /// Requests sent that only report.
    pub reports: u64,
    /// Grants given to other instances.
    pub grants: u64,
    /// Tokens given to other instances.
    pub granted: u64,
    /// Repeated, forgotten or misdirected messages that had no effect.
    pub ignored: u64,
}

/// A `Ledger` holds all limits at one instance.
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
/// let me = "bergen-1".parse()?;
/// let mut ledger = Ledger::new(me, Incarnation(1), "bergen".parse()?, options);
///
/// let team = "yard".parse()?;
/// let outcome = ledger.reserve(&team, Tokens(10), Round::Local, now);
/// let ReserveResult::Refused(refusal) = outcome else {
///     panic!("the team is not known yet");
/// };
/// assert_eq!(refusal.reason, Reason::LimitsUnavailable);
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Debug)]
pub struct Ledger {
    me: InstanceName,
    incarnation: Incarnation,
    options: LimitsOptions,
    fence: Fence,
    tables: Tables,
    teams: BTreeMap<TeamName, TeamState>,
    with_grants: BTreeSet<TeamName>,
    pending: BTreeMap<RequestId, PendingAsk>,
    replies: Replies,
    last_id: u64,
    stats: LedgerStats,
}

impl Ledger {
    /// Returns the ledger of a starting instance, which has no tokens yet.
    #[must_use]
    pub fn new(
        me: InstanceName,
        incarnation: Incarnation,
        domain: DomainName,
        options: LimitsOptions,
    ) -> Self {
        Self {
            tables: Tables::new(me.clone(), incarnation, domain, options),
            me,
            incarnation,
            options,
            fence: Fence::new(options.fence),
            teams: BTreeMap::new(),
            with_grants: BTreeSet::new(),
            pending: BTreeMap::new(),
            replies: Replies::default(),
            last_id: 0,
            stats: LedgerStats::default(),
        }
    }

    /// Puts a team's limits in force, or ends them with `None`.
    pub fn set_team(&mut self, name: &TeamName, spec: Option<&TeamSpec>, now: Time) {
        let Some(spec) = spec else {
            self.teams.remove(name);
            self.with_grants.remove(name);
            return;
        };
        let limits = TeamLimits::from(spec);
        let known = self.teams.entry(name.clone());
        let team = known.or_insert_with(|| TeamState::new(limits.clone()));
        for own in team.accounts.values_mut() {
            own.advance(&team.limits, now);
        }
        if team.limits.allotments != limits.allotments {
            team.settled_at = now + self.options.settling();
        }
        team.limits = limits;
        divide(name, team, &self.tables, now);
    }

    /// Puts a failure domain's number of slots in force.
    pub fn set_domain(&mut self, name: &DomainName, spec: Option<&DomainSpec>, now: Time) {
        if self.tables.set_domain(name, spec) {
            let settled_at = now + self.options.settling();
            for team in self.teams.values_mut() {
                team.settled_at = settled_at;
            }
        }
        self.divide_all(now);
    }

    /// Puts the owners of a failure domain's slots in force.
    ///
    /// A table that is older than the one held has no effect.
    pub fn set_slots(
        &mut self,
        domain: &DomainName,
        revision: Revision,
        table: &SlotTable,
        now: Time,
    ) {
        let Some(lost) = self.tables.set_slots(domain, revision, table, now) else {
            self.stats.ignored += 1;
            return;
        };
        for team in self.teams.values_mut() {
            team.accounts.retain(|slot, _| !lost.contains(slot));
        }
        self.divide_all(now);
    }

    /// Stops minting in the own slots that `next` gives up.
    ///
    /// Call this before `next` is written: whoever finds a slot free relies on
    /// its owner having stopped, whether or not the owner ever hears what came of
    /// the write. `next` is changed where a slot can't be given up yet, or where
    /// one has been given up before.
    pub fn prepare_release(&mut self, next: &mut SlotTable, now: Time) {
        let lost = self.tables.prepare_release(next, now);
        for team in self.teams.values_mut() {
            team.accounts.retain(|slot, _| !lost.contains(slot));
        }
    }

    /// Returns whether this instance may mint in a slot of its failure domain.
    #[must_use]
    pub fn mints(&self, slot: u16, now: Time) -> bool {
        let ready_at = self.tables.ready_at(slot);
        self.fence.permits(now) && ready_at.is_some_and(|ready_at| ready_at <= now)
    }

    /// Records a confirmed contact whose request was sent at `sent_at`.
    ///
    /// A contact is an exchange with the platform, or with a live instance of
    /// the same failure domain, that has also brought its newer configuration.
    pub fn on_contact(&mut self, sent_at: Time) {
        self.fence.confirm(sent_at);
    }

    /// Returns whether another incarnation has replaced this one.
    #[must_use]
    pub const fn is_replaced(&self) -> bool {
        self.fence.is_replaced()
    }

    /// Records that another incarnation has replaced this one: it mints no more.
    pub fn on_replaced(&mut self) {
        self.fence.replace();
        for team in self.teams.values_mut() {
            team.accounts.clear();
        }
    }

    /// Tries to reserve `amount` tokens for a request of `team`.
    ///
    /// When the outcome is [`ReserveResult::NeedsGrants`], the caller sends the requests, feeds
    /// the replies to [`Ledger::on_grant_reply`] and tries again in the next round.
    pub fn reserve(
        &mut self,
        team: &TeamName,
        amount: Tokens,
        round: Round,
        now: Time,
    ) -> ReserveResult {
        let open = self.fence.permits(now);
        let Some(state) = self.teams.get_mut(team) else {
            return self.refuse(Reason::LimitsUnavailable, None);
        };
        if amount > state.limits.burst {
            return self.refuse(Reason::ExceedsBurst, None);
        }
        if round == Round::Local {
            state.demand.record(amount, now);
        }
        let own = state.advance(now);
        let own = if open { own } else { Tokens::ZERO };
        let needed = amount + state.debt;
        let spendable = own + state.pocket.spendable(now);
        if needed <= spendable {
            return self.admit(team, amount, open, now);
        }
        let deficit = needed - spendable;
        let asks = self.plan_asks(team, deficit, round, now);
        if !asks.is_empty() {
            return ReserveResult::NeedsGrants(asks);
        }
        let wait = self.time_to_mint(team, deficit);
        let reason = if open {
            Reason::RateLimited
        } else {
            Reason::LimitsUnavailable
        };
        self.refuse(reason, Some(wait))
    }

    /// Ends a reservation of which `used` tokens were used.
    ///
    /// Unused tokens come back as far as the team's burst has room for them.
    /// Tokens used beyond the reservation are taken from the team's next one.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens, now: Time) {
        let Some(team) = self.teams.get_mut(&reservation.team) else {
            return;
        };
        team.debt += used.saturating_sub(reservation.amount);
        let unused = reservation.amount.saturating_sub(used);
        team.settle(reservation.parts, unused, now);
    }

    /// Returns the counters.
    #[must_use]
    pub const fn stats(&self) -> LedgerStats {
        self.stats
    }

    /// Returns the number of slots that this instance owns.
    #[must_use]
    pub fn slots_owned(&self) -> usize {
        self.tables.owned().count()
    }

    fn divide_all(&mut self, now: Time) {
        for (name, team) in &mut self.teams {
            divide(name, team, &self.tables, now);
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

    fn admit(&mut self, name: &TeamName, amount: Tokens, own: bool, now: Time) -> ReserveResult {
        let id = self.next_id();
        self.stats.admitted += 1;
        let mut parts = Vec::new();
        if let Some(team) = self.teams.get_mut(name) {
            let debt = std::mem::take(&mut team.debt);
            // The tokens that pay the debt are drawn on their own, so that no
            // refund brings them back.
            drop(team.draw(debt, own, id, now));
            parts = team.draw(amount, own, id, now);
        }
        ReserveResult::Admitted(Reservation {
            team: name.clone(),
            amount,
            parts,
        })
    }

    fn time_to_mint(&self, name: &TeamName, deficit: Tokens) -> Duration {
        let rate = self.teams.get(name).map_or(1, |t| t.limits.rate.0.max(1));
        let millis = u128::from(deficit.0) * 1_000 / u128::from(rate);
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        Duration::from_millis(millis).max(MIN_RETRY_AFTER)
    }
}

/// Divides a team's limits among the own slots.
fn divide(name: &TeamName, team: &mut TeamState, tables: &Tables, now: Time) {
    team.others = None;
    let domain = tables.home();
    let shares = match tables.home_spec() {
        Some(spec) => shares(name, &team.limits.allotments, domain, spec),
        None => Vec::new(),
    };
    let mut mine = BTreeMap::new();
    for (slot, share) in shares {
        if let Some(ready_at) = tables.ready_at(slot) {
            mine.insert(slot, (share, ready_at.max(team.settled_at)));
        }
    }
    team.accounts.retain(|slot, _| mine.contains_key(slot));
    for (slot, (share, ready_at)) in mine {
        let account = team.accounts.entry(slot);
        let own = account.or_insert_with(|| Box::new(OwnAccount::new(now)));
        own.set(share, &team.limits, now, ready_at);
    }
}
