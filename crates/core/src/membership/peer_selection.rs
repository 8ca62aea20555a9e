//! Selection of peers for exchanges and of the watchers of a failure domain.

use std::cmp::Reverse;

use super::members::Member;
use super::members::Members;
use super::record::MemberRecord;
use crate::config::Phase;
use crate::hash::mix;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::units::Time;

/// The number of instances per failure domain that watch the platform.
pub const WATCHERS: usize = 2;

/// One exchange in this many goes to an instance that is not live.
const SILENT_PEER_INTERVAL: u64 = 8;

impl Members {
    /// Returns the other live instances of this failure domain, sorted by name.
    pub fn live_peers(&self, now: Time) -> impl Iterator<Item = &MemberRecord> {
        let peers = self.domain_peers();
        peers
            .filter(move |m| self.is_live(m, now))
            .map(|member| &member.record)
    }

    /// Returns the instance of this failure domain to exchange with next.
    ///
    /// Silent instances are contacted occasionally, to detect the end of a network
    /// partition.
    #[must_use]
    pub fn pick_peer(&self, random: u64, now: Time) -> Option<&MemberRecord> {
        let (live, silent) = self.split_by_liveness(self.domain_peers(), now);
        random_record(&live, &silent, random)
    }

    /// Returns an instance of another failure domain to exchange with next.
    #[must_use]
    pub fn pick_contact(&self, random: u64, now: Time) -> Option<&MemberRecord> {
        let domains = self.other_domains();
        let domain = domains.get(random_index(random, domains.len())?)?;
        let contacts = self.peers.values().filter(|m| m.record.domain == **domain);
        let (live, silent) = self.split_by_liveness(contacts, now);
        random_record(&live, &silent, mix(random))
    }

    /// Returns the instances that should watch the platform for this failure domain.
    ///
    /// They are chosen by rendezvous hashing among the live instances, so that few
    /// watchers change when instances start or stop. Instances that are about to stop
    /// are chosen only if there are no others.
    #[must_use]
    pub fn watchers(&self, now: Time) -> Vec<&InstanceName> {
        let own = std::iter::once(&self.own);
        let mut records: Vec<&MemberRecord> = own.chain(self.live_peers(now)).collect();
        records.sort_by_key(|record| (record.phase == Phase::Leaving, Reverse(watch_rank(record))));
        let chosen = records.into_iter().take(WATCHERS);
        chosen.map(|record| &record.name).collect()
    }

    /// Returns whether this instance should watch the platform.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        self.watchers(now).contains(&&self.own.name)
    }

    /// Returns the peers to which this instance pushes configuration changes.
    ///
    /// Each watcher pushes to the other watchers and to its share of the remaining
    /// instances of the failure domain. Other instances push nothing.
    #[must_use]
    pub fn push_targets(&self, now: Time) -> Vec<&MemberRecord> {
        let watchers = self.watchers(now);
        let Some(position) = watchers.iter().position(|name| **name == self.own.name) else {
            return Vec::new();
        };
        let others = self
            .live_peers(now)
            .filter(|r| !watchers.contains(&&r.name));
        let share = others.skip(position).step_by(watchers.len());
        let other_watchers = self.live_peers(now).filter(|r| watchers.contains(&&r.name));
        share.chain(other_watchers).collect()
    }

    fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        let members = self.peers.values();
        members.filter(|member| member.record.domain == self.own.domain)
    }

    fn other_domains(&self) -> Vec<&DomainName> {
        let domains = self.peers.values().map(|member| &member.record.domain);
        let mut others: Vec<&DomainName> = domains.filter(|d| **d != self.own.domain).collect();
        others.sort();
        others.dedup();
        others
    }

    fn split_by_liveness<'a>(
        &self,
        members: impl Iterator<Item = &'a Member>,
        now: Time,
    ) -> (Vec<&'a MemberRecord>, Vec<&'a MemberRecord>) {
        let (live, silent): (Vec<_>, Vec<_>) = members.partition(|m| self.is_live(m, now));
        let records = |members: Vec<&'a Member>| members.into_iter().map(|m| &m.record).collect();
        (records(live), records(silent))
    }
}

fn watch_rank(record: &MemberRecord) -> u64 {
    stable_hash(&[
        record.domain.as_str().as_bytes(),
        record.name.as_str().as_bytes(),
    ])
}

fn random_record<'a>(
    live: &[&'a MemberRecord],
    silent: &[&'a MemberRecord],
    random: u64,
) -> Option<&'a MemberRecord> {
    let retry = random.is_multiple_of(SILENT_PEER_INTERVAL);
    let records = if live.is_empty() || (retry && !silent.is_empty()) {
        silent
    } else {
        live
    };
    records
        .get(random_index(mix(random), records.len())?)
        .copied()
}

fn random_index(random: u64, len: usize) -> Option<usize> {
    let len = u64::try_from(len).ok()?;
    usize::try_from(random.checked_rem(len)?).ok()
}
