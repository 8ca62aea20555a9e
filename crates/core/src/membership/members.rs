//! The known instances, each with the time at which its heartbeat last advanced.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::record::Heartbeat;
use super::record::MemberRecord;
use super::record::Replaced;
use super::record::Seed;
use super::record::incarnation_above;
use crate::config::Phase;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::units::Incarnation;
use crate::units::Revision;
use crate::units::Time;

/// A `MembersOptions` contains the timeouts and limits of [`Members`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembersOptions {
    /// The time without heartbeats after which an instance is no longer live.
    pub time_to_live: Duration,
    /// The time without heartbeats after which a record is removed.
    pub remove_after: Duration,
    /// The maximum time between two own heartbeats. After a longer pause, the silence
    /// of other instances is counted from the end of the pause.
    pub max_pause: Duration,
    /// The maximum number of known instances of each other failure domain.
    pub contacts_per_domain: usize,
}

impl Default for MembersOptions {
    fn default() -> Self {
        Self {
            time_to_live: Duration::from_secs(10),
            remove_after: Duration::from_mins(10),
            max_pause: Duration::from_secs(3),
            contacts_per_domain: 3,
        }
    }
}

/// A `RecordSource` is the way by which a record was received.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordSource {
    /// The instance itself sent its record.
    Direct,
    /// Another instance relayed the record.
    Relayed,
}

/// An `UpdateOutcome` is the result of applying a received record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The heartbeat advanced.
    Advanced,
    /// The instance or its incarnation was added, which does not prove that it is live.
    Added,
    /// The record contains nothing new.
    Stale,
    /// A higher incarnation of the instance is known.
    Replaced(Replaced),
    /// The record has the name of this instance.
    OwnName,
    /// The maximum number of contacts of the failure domain is already known.
    ContactsFull,
}

/// An `IncarnationStatus` is the status of an instance among the incarnations of its
/// name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncarnationStatus {
    /// The instance is starting and may still raise its incarnation.
    Starting,
    /// The instance is the current incarnation.
    Current,
    /// A higher incarnation exists; this one must stop issuing tokens.
    Replaced(Replaced),
}

/// A `Member` is another instance known to this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The latest record of the instance.
    pub record: MemberRecord,
    /// The time at which an advance of its heartbeat was last observed.
    pub last_advance: Option<Time>,
    /// The time since which this incarnation is known.
    pub known_since: Time,
}

impl Member {
    /// Returns the time since which nothing new was received.
    fn silent_since(&self) -> Time {
        self.last_advance.unwrap_or(self.known_since)
    }
}

/// A `Members` contains the instances known to one instance.
///
/// These are all instances of its own failure domain and a limited number of contacts
/// of each other failure domain. An instance is live if its heartbeat has advanced
/// recently, as measured by the local clock.
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
    pub(super) peers: BTreeMap<InstanceName, Member>,
    pub(super) opts: MembersOptions,
    pub(super) unknown: BTreeSet<Incarnation>,
    incarnation_status: IncarnationStatus,
    observing_since: Time,
    last_heartbeat: Time,
}

impl Members {
    /// Returns the members known to a starting instance, which is only itself.
    #[must_use]
    pub const fn new(own: MemberRecord, opts: MembersOptions, now: Time) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            unknown: BTreeSet::new(),
            opts,
            incarnation_status: IncarnationStatus::Starting,
            observing_since: now,
            last_heartbeat: now,
        }
    }

    /// Returns the record of this instance.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the status of this instance's incarnation.
    #[must_use]
    pub const fn incarnation_status(&self) -> IncarnationStatus {
        self.incarnation_status
    }

    /// Ends the startup, after which the incarnation no longer changes.
    pub const fn end_startup(&mut self) {
        if matches!(self.incarnation_status, IncarnationStatus::Starting) {
            self.incarnation_status = IncarnationStatus::Current;
        }
    }

    /// Sets the phase that this instance reports.
    pub const fn set_phase(&mut self, phase: Phase) {
        self.own.phase = phase;
    }

    /// Increments the own heartbeat, sets the revision in force and removes records of
    /// instances that have been silent for too long.
    pub fn advance_heartbeat(&mut self, revision: Revision, now: Time) {
        if now.since(self.last_heartbeat) > self.opts.max_pause {
            self.observing_since = now;
        }
        self.last_heartbeat = now;
        self.own.heartbeat = self.own.heartbeat.saturating_add(1);
        self.own.revision = revision;
        let remove_after = self.opts.remove_after;
        self.peers
            .retain(|_, member| now.since(member.silent_since()) <= remove_after);
    }

    /// Applies a received record.
    pub fn apply_record(
        &mut self,
        record: &MemberRecord,
        source: RecordSource,
        now: Time,
    ) -> UpdateOutcome {
        self.unknown.remove(&record.incarnation);
        if record.name == self.own.name {
            self.on_own_name(record.incarnation);
            return UpdateOutcome::OwnName;
        }
        let Some(member) = self.peers.get_mut(&record.name) else {
            return self.add_member(record, source, now);
        };
        if record.incarnation < member.record.incarnation {
            return UpdateOutcome::Replaced(Replaced {
                by: member.record.incarnation,
            });
        }
        if record.incarnation > member.record.incarnation {
            member.known_since = now;
            member.last_advance = None;
        } else if record.heartbeat <= member.record.heartbeat {
            return UpdateOutcome::Stale;
        }
        let same_incarnation = record.incarnation == member.record.incarnation;
        member.record = record.clone();
        if same_incarnation || source == RecordSource::Direct {
            member.last_advance = Some(now);
            return UpdateOutcome::Advanced;
        }
        UpdateOutcome::Added
    }

    /// Applies the heartbeats relayed by an instance of this failure domain.
    ///
    /// Unknown incarnations are stored, so that their records can be requested.
    pub fn apply_heartbeats(&mut self, heartbeats: &[Heartbeat], now: Time) {
        let mut heartbeats: BTreeMap<Incarnation, &Heartbeat> = heartbeats
            .iter()
            .map(|heartbeat| (heartbeat.incarnation, heartbeat))
            .collect();
        heartbeats.remove(&self.own.incarnation);
        for member in self.peers.values_mut() {
            let Some(heartbeat) = heartbeats.remove(&member.record.incarnation) else {
                continue;
            };
            if heartbeat.heartbeat > member.record.heartbeat {
                member.record.heartbeat = heartbeat.heartbeat;
                member.record.phase = heartbeat.phase;
                member.record.revision = heartbeat.revision;
                member.last_advance = Some(now);
            }
        }
        self.unknown = heartbeats.into_keys().collect();
    }

    /// Checks whether contact from the sender of `record` is accepted, and applies the
    /// record.
    ///
    /// # Errors
    ///
    /// Returns [`Replaced`] when a higher incarnation of the sender is known.
    pub fn accept_contact(&mut self, record: &MemberRecord, now: Time) -> Result<(), Replaced> {
        match self.apply_record(record, RecordSource::Direct, now) {
            UpdateOutcome::Replaced(replaced) => Err(replaced),
            UpdateOutcome::OwnName if record.incarnation < self.own.incarnation => Err(Replaced {
                by: self.own.incarnation,
            }),
            _ => Ok(()),
        }
    }

    /// Records that another instance has refused contact.
    pub const fn on_contact_refused(&mut self, replaced: Replaced) {
        self.on_own_name(replaced.by);
    }

    /// Applies the platform's list of instances, which contains addresses but doesn't
    /// prove that the instances are live.
    ///
    /// Instances that are only known from an earlier list and are no longer listed are
    /// removed.
    pub fn seed(&mut self, seeds: &[Seed], now: Time) {
        let listed = |name: &InstanceName| seeds.iter().any(|seed| seed.name == *name);
        self.peers
            .retain(|name, member| !is_only_seeded(member) || listed(name));
        for seed in seeds {
            if seed.name == self.own.name {
                continue;
            }
            match self.peers.get_mut(&seed.name) {
                Some(member) if is_only_seeded(member) => member.record.address = seed.address,
                Some(_) => {}
                None => {
                    self.add_member(&seed_record(seed), RecordSource::Relayed, now);
                }
            }
        }
    }

    /// Returns the member with a name.
    #[must_use]
    pub fn get(&self, name: &InstanceName) -> Option<&Member> {
        self.peers.get(name)
    }

    /// Returns all members except this instance, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.peers.values()
    }

    /// Returns the address at which an instance accepts calls.
    #[must_use]
    pub fn address(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.peers.get(name).map(|member| member.record.address)
    }

    /// Returns whether a member's heartbeat has advanced within the time to live.
    #[must_use]
    pub fn is_live(&self, member: &Member, now: Time) -> bool {
        member
            .last_advance
            .is_some_and(|at| now.since(at) <= self.opts.time_to_live)
    }

    /// Returns the time for which nothing has been received from an incarnation.
    ///
    /// Time during which this instance was not running or was paused doesn't count. A
    /// replaced incarnation is silent since its successor became known. An unknown
    /// incarnation is silent since this instance started observing, so that a caller
    /// that knows it from another source has to count from that time itself.
    #[must_use]
    pub fn silent_for(&self, name: &InstanceName, incarnation: Incarnation, now: Time) -> Duration {
        if now.since(self.last_heartbeat) > self.opts.max_pause {
            return Duration::ZERO;
        }
        if *name == self.own.name && incarnation == self.own.incarnation {
            return Duration::ZERO;
        }
        let since = match self.peers.get(name) {
            Some(member) if incarnation == member.record.incarnation => member.silent_since(),
            Some(member) if incarnation < member.record.incarnation => member.known_since,
            _ => self.observing_since,
        };
        now.since(since.max(self.observing_since))
    }

    const fn on_own_name(&mut self, incarnation: Incarnation) {
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

    fn add_member(
        &mut self,
        record: &MemberRecord,
        source: RecordSource,
        now: Time,
    ) -> UpdateOutcome {
        let direct = source == RecordSource::Direct;
        let member = Member {
            record: record.clone(),
            last_advance: direct.then_some(now),
            known_since: now,
        };
        if record.domain != self.own.domain && !self.make_room(&member, now) {
            return UpdateOutcome::ContactsFull;
        }
        self.peers.insert(record.name.clone(), member);
        if direct {
            UpdateOutcome::Advanced
        } else {
            UpdateOutcome::Added
        }
    }

    /// Removes the contact with the lowest rank if `new` ranks above it.
    fn make_room(&mut self, new: &Member, now: Time) -> bool {
        let domain = &new.record.domain;
        let contacts = self.peers.values().filter(|m| m.record.domain == *domain);
        if contacts.clone().count() < self.opts.contacts_per_domain {
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
        self.peers.remove(&name);
        true
    }

    /// Returns the rank of a contact: live ones first, then by a hash that differs
    /// between instances, so that they don't all keep the same contacts.
    fn contact_rank(&self, member: &Member, now: Time) -> (bool, u64) {
        let own = self.own.name.as_str().as_bytes();
        let name = member.record.name.as_str().as_bytes();
        (self.is_live(member, now), stable_hash(&[own, name]))
    }
}

/// The placeholder incarnation of an instance known only from the platform's list.
const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

fn is_only_seeded(member: &Member) -> bool {
    member.record.incarnation == UNKNOWN_INCARNATION
}

fn seed_record(seed: &Seed) -> MemberRecord {
    MemberRecord {
        name: seed.name.clone(),
        incarnation: UNKNOWN_INCARNATION,
        domain: DomainName::clone(&seed.domain),
        address: seed.address,
        phase: Phase::Live,
        heartbeat: 0,
        revision: Revision::ABSENT,
    }
}
