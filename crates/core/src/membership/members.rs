//! The instances known, each with the time at which its heartbeat last advanced.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::row::Heartbeat;
use super::row::MemberRecord;
use super::row::Replaced;
use super::row::Seed;
use super::row::incarnation_above;
use crate::config::Phase;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

/// A `MembersOptions` holds the bounds of an instance's knowledge of others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembersOptions {
    /// The silence after which an instance no longer counts as live.
    pub time_to_live: Duration,
    /// The silence after which a row is forgotten.
    pub forget_after: Duration,
    /// The pause between two own heartbeats after which silence counts anew.
    pub longest_pause: Duration,
    /// The instances known of each other failure domain.
    pub contacts: usize,
}

impl Default for MembersOptions {
    fn default() -> Self {
        Self {
            time_to_live: Duration::from_secs(10),
            forget_after: Duration::from_mins(10),
            longest_pause: Duration::from_secs(3),
            contacts: 3,
        }
    }
}

/// A `Source` tells how a row arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The instance itself sent its row.
    Direct,
    /// Another instance passed the row on.
    Relayed,
}

/// An `Absorbed` is the outcome of hearing a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Absorbed {
    /// The heartbeat advanced.
    Advanced,
    /// The instance was not known; this alone does not show that it lives.
    Learned,
    /// The row tells nothing new.
    Old,
    /// A higher incarnation of the instance is known.
    Replaced(Replaced),
    /// The row carries this instance's own name.
    Own,
    /// The failure domain has as many contacts as are kept.
    Full,
}

/// An `IncarnationStatus` tells whether an instance still holds its own name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationStatus {
    /// The instance is starting and may still draw a higher incarnation.
    Starting,
    /// The instance holds its name.
    Current,
    /// A higher incarnation holds the name; this one must stop minting.
    Replaced(Replaced),
}

/// A `Member` is an instance known to another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The last row heard of it.
    pub record: MemberRecord,
    /// The time at which its heartbeat was last seen to advance.
    pub advanced: Option<Time>,
    /// The time at which this incarnation became known.
    pub learned: Time,
}

impl Member {
    /// Returns the time since which nothing new was heard.
    fn quiet_since(&self) -> Time {
        self.advanced.unwrap_or(self.learned)
    }
}

/// A `Members` holds the instances that an instance knows.
///
/// It knows all instances of its own failure domain and a bounded number of
/// contacts of each other one. Whether an instance lives is told from advances
/// of its heartbeat on the local clock alone.
///
/// ```
/// use limpetsaddle_core::config::Phase;
/// use limpetsaddle_core::membership::Members;
/// use limpetsaddle_core::membership::MembersOptions;
/// use limpetsaddle_core::membership::MemberRecord;
/// use limpetsaddle_core::membership::new_incarnation;
/// use limpetsaddle_core::units::Revision;
/// use limpetsaddle_core::units::Time;
///
/// let own = MemberRecord {
///     name: "entry-1".parse()?,
///     incarnation: new_incarnation(1_700_000_000_000, 7),
///     domain: "bergen-a".parse()?,
///     address: ([127, 0, 0, 1], 7_000).into(),
///     phase: Phase::Live,
///     heartbeat: 0,
///     revision: Revision::ABSENT,
/// };
/// let members = Members::new(own, MembersOptions::default(), Time::ZERO);
/// assert!(members.is_watcher(Time::ZERO));
/// assert!(members.pick_peer(1, Time::ZERO).is_none());
/// # Ok::<(), limpetsaddle_core::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Members {
    pub(super) own: MemberRecord,
    pub(super) rows: BTreeMap<InstanceName, Member>,
    pub(super) opts: MembersOptions,
    pub(super) unknown: BTreeSet<Incarnation>,
    incarnation_status: IncarnationStatus,
    observing: Time,
    last_beat: Time,
}

impl Members {
    /// Creates the members known to a starting instance: itself.
    #[must_use]
    pub const fn new(own: MemberRecord, opts: MembersOptions, now: Time) -> Self {
        Self {
            own,
            rows: BTreeMap::new(),
            unknown: BTreeSet::new(),
            opts,
            incarnation_status: IncarnationStatus::Starting,
            observing: now,
            last_beat: now,
        }
    }

    /// Returns this instance's own row.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns whether this instance holds its own name.
    #[must_use]
    pub const fn incarnation_status(&self) -> IncarnationStatus {
        self.incarnation_status
    }

    /// Ends the start: from here on the incarnation stays as it is.
    pub const fn end_startup(&mut self) {
        if matches!(self.incarnation_status, IncarnationStatus::Starting) {
            self.incarnation_status = IncarnationStatus::Current;
        }
    }

    /// Sets the phase that this instance tells of itself.
    pub const fn set_phase(&mut self, phase: Phase) {
        self.own.phase = phase;
    }

    /// Raises the own heartbeat, notes the revision in force and forgets rows
    /// that were silent for long.
    pub fn advance_heartbeat(&mut self, revision: Revision, now: Time) {
        if now.since(self.last_beat) > self.opts.longest_pause {
            self.observing = now;
        }
        self.last_beat = now;
        self.own.heartbeat = self.own.heartbeat.saturating_add(1);
        self.own.revision = revision;
        let forget_after = self.opts.forget_after;
        self.rows
            .retain(|_, member| now.since(member.quiet_since()) <= forget_after);
    }

    /// Takes in what `row` tells.
    pub fn absorb(&mut self, row: &MemberRecord, source: Source, now: Time) -> Absorbed {
        self.unknown.remove(&row.incarnation);
        if row.name == self.own.name {
            self.hear_own_name(row.incarnation);
            return Absorbed::Own;
        }
        let Some(member) = self.rows.get_mut(&row.name) else {
            return self.learn(row, source, now);
        };
        if row.incarnation < member.record.incarnation {
            return Absorbed::Replaced(Replaced {
                by: member.record.incarnation,
            });
        }
        if row.incarnation > member.record.incarnation {
            member.learned = now;
            member.advanced = None;
        } else if row.heartbeat <= member.record.heartbeat {
            return Absorbed::Old;
        }
        let follows = row.incarnation == member.record.incarnation;
        member.record = row.clone();
        if follows || source == Source::Direct {
            member.advanced = Some(now);
            return Absorbed::Advanced;
        }
        Absorbed::Learned
    }

    /// Takes in the heartbeats that an instance of this failure domain passed on.
    ///
    /// Incarnations that are not known are noted, to be asked for.
    pub fn absorb_beats(&mut self, heartbeats: &[Heartbeat], now: Time) {
        let mut heartbeats: BTreeMap<Incarnation, &Heartbeat> = heartbeats
            .iter()
            .map(|beat| (beat.incarnation, beat))
            .collect();
        heartbeats.remove(&self.own.incarnation);
        for member in self.rows.values_mut() {
            let Some(beat) = heartbeats.remove(&member.record.incarnation) else {
                continue;
            };
            if beat.heartbeat > member.record.heartbeat {
                member.record.heartbeat = beat.heartbeat;
                member.record.phase = beat.phase;
                member.record.revision = beat.revision;
                member.advanced = Some(now);
            }
        }
        self.unknown = heartbeats.into_keys().collect();
    }

    /// Checks that the sender of `row` may make contact, and takes the row in.
    ///
    /// # Errors
    ///
    /// Returns [`Replaced`] when a higher incarnation of the sender is known.
    pub fn admit(&mut self, row: &MemberRecord, now: Time) -> Result<(), Replaced> {
        match self.absorb(row, Source::Direct, now) {
            Absorbed::Replaced(replaced) => Err(replaced),
            Absorbed::Own if row.incarnation < self.own.incarnation => Err(Replaced {
                by: self.own.incarnation,
            }),
            _ => Ok(()),
        }
    }

    /// Takes in another instance's refusal of contact.
    pub const fn refused(&mut self, replaced: Replaced) {
        self.hear_own_name(replaced.by);
    }

    /// Takes in the platform's list, which gives addresses and no sign of life.
    ///
    /// Entries that are no longer listed and were never heard of are dropped.
    pub fn seed(&mut self, seeds: &[Seed], now: Time) {
        let listed = |name: &InstanceName| seeds.iter().any(|seed| seed.name == *name);
        self.rows
            .retain(|name, member| !is_mere_seed(member) || listed(name));
        for seed in seeds {
            if seed.name == self.own.name {
                continue;
            }
            match self.rows.get_mut(&seed.name) {
                Some(member) if is_mere_seed(member) => member.record.address = seed.address,
                Some(_) => {}
                None => {
                    self.learn(&seed_row(seed), Source::Relayed, now);
                }
            }
        }
    }

    /// Returns the member of this name.
    #[must_use]
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.rows.get(name)
    }

    /// Returns all members but this instance, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.rows.values()
    }

    /// Returns the address at which an instance takes calls.
    #[must_use]
    pub fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.rows.get(name).map(|member| member.record.address)
    }

    /// Returns whether a member's heartbeat advanced within the time to live.
    #[must_use]
    pub fn is_live(&self, member: &Member, now: Time) -> bool {
        member
            .advanced
            .is_some_and(|at| now.since(at) <= self.opts.time_to_live)
    }

    /// Returns how long nothing has been heard of an incarnation.
    ///
    /// The time before this instance could listen, because it had not started
    /// or was paused, does not count. A replaced incarnation counts as heard of
    /// until its successor became known. One that was never heard of counts as
    /// silent since this instance listens, so that a caller who learns of it
    /// from elsewhere has to count from then on its own.
    #[must_use]
    pub fn silent_for(&self, name: &InstanceName, incarnation: Incarnation, now: Time) -> Duration {
        if now.since(self.last_beat) > self.opts.longest_pause {
            return Duration::ZERO;
        }
        if *name == self.own.name && incarnation == self.own.incarnation {
            return Duration::ZERO;
        }
        let since = match self.rows.get(name) {
            Some(member) if incarnation == member.record.incarnation => member.quiet_since(),
            Some(member) if incarnation < member.record.incarnation => member.learned,
            _ => self.observing,
        };
        now.since(since.max(self.observing))
    }

    const fn hear_own_name(&mut self, incarnation: Incarnation) {
        if incarnation.0 <= self.own.incarnation.0 {
            return;
        }
        match self.incarnation_status {
            IncarnationStatus::Starting => {
                self.own.incarnation = incarnation_above(incarnation, self.own.incarnation);
            }
            IncarnationStatus::Current | IncarnationStatus::Replaced(_) => {
                self.incarnation_status = IncarnationStatus::Replaced(Replaced { by: incarnation });
            }
        }
    }

    fn learn(&mut self, row: &MemberRecord, source: Source, now: Time) -> Absorbed {
        let direct = source == Source::Direct;
        let member = Member {
            record: row.clone(),
            advanced: direct.then_some(now),
            learned: now,
        };
        if row.domain != self.own.domain && !self.make_room(&member, now) {
            return Absorbed::Full;
        }
        self.rows.insert(row.name.clone(), member);
        if direct {
            Absorbed::Advanced
        } else {
            Absorbed::Learned
        }
    }

    /// Drops the contact of lowest rank where `new` ranks above it.
    fn make_room(&mut self, new: &Member, now: Time) -> bool {
        let domain = &new.record.domain;
        let contacts = self.rows.values().filter(|m| m.record.domain == *domain);
        if contacts.clone().count() < self.opts.contacts {
            return true;
        }
        let lowest = contacts.min_by_key(|member| self.contact_rank(member, now));
        let Some(lowest) = lowest else {
            return false;
        };
        if self.contact_rank(lowest, now) >= self.contact_rank(new, now) {
            return false;
        }
        let name = lowest.record.name.clone();
        self.rows.remove(&name);
        true
    }

    /// Returns the rank of a contact: live ones first, then by a hash that
    /// differs between instances, so that they do not all keep the same.
    fn contact_rank(&self, member: &Member, now: Time) -> (bool, u64) {
        let own = self.own.name.as_str().as_bytes();
        let name = member.record.name.as_str().as_bytes();
        (self.is_live(member, now), stable_hash(&[own, name]))
    }
}

/// Returns the incarnation that stands for an instance never heard of.
const UNHEARD: Incarnation = Incarnation(0);

fn is_mere_seed(member: &Member) -> bool {
    member.record.incarnation == UNHEARD
}

fn seed_row(seed: &Seed) -> MemberRecord {
    MemberRecord {
        name: seed.name.clone(),
        incarnation: UNHEARD,
        domain: DomainName::clone(&seed.domain),
        address: seed.address,
        phase: Phase::Live,
        heartbeat: 0,
        revision: Revision::ABSENT,
    }
}
