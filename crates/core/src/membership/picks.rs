//! The choice of peers to talk to and of a failure domain's watchers.

use std::cmp::Reverse;

use super::members::Member;
use super::members::Members;
use super::row::MemberRecord;
use crate::config::Phase;
use crate::hash::mix;
use crate::hash::stable_hash;
use crate::names::DomainName;
use crate::names::InstanceName;
use crate::units::Time;

/// The instances of a failure domain that watch the platform.
pub const WATCHERS: usize = 2;

/// One exchange in this many tries an instance that is not known to live.
const RETRY_SILENT: u64 = 8;

impl Members {
    /// Returns the live instances of this failure domain but this one, by name.
    pub fn live_peers(&self, now: Time) -> impl Iterator<Item = &MemberRecord> {
        let peers = self.domain_peers();
        peers
            .filter(move |m| self.is_live(m, now))
            .map(|member| &member.record)
    }

    /// Returns the instance of this failure domain to exchange with next.
    ///
    /// Silent instances are tried now and then, so that a healed cut is found.
    #[must_use]
    pub fn pick_peer(&self, random: u64, now: Time) -> Option<&MemberRecord> {
        let (live, silent) = self.split(self.domain_peers(), now);
        pick(&live, &silent, random)
    }

    /// Returns an instance of another failure domain to exchange with next.
    #[must_use]
    pub fn pick_contact(&self, random: u64, now: Time) -> Option<&MemberRecord> {
        let domains = self.other_domains();
        let domain = domains.get(index(random, domains.len())?)?;
        let contacts = self.rows.values().filter(|m| m.record.domain == **domain);
        let (live, silent) = self.split(contacts, now);
        pick(&live, &silent, mix(random))
    }

    /// Returns the instances that are to watch the platform for this domain.
    ///
    /// They rank first by rendezvous hash over the live instances, so that the
    /// choice changes little when instances come and go. Instances that are
    /// about to stop are chosen only where no others are left.
    #[must_use]
    pub fn watchers(&self, now: Time) -> Vec<&InstanceName> {
        let own = std::iter::once(&self.own);
        let mut rows: Vec<&MemberRecord> = own.chain(self.live_peers(now)).collect();
        rows.sort_by_key(|row| (row.phase == Phase::Leaving, Reverse(watch_rank(row))));
        let chosen = rows.into_iter().take(WATCHERS);
        chosen.map(|row| &row.name).collect()
    }

    /// Returns whether this instance is to watch the platform.
    #[must_use]
    pub fn is_watcher(&self, now: Time) -> bool {
        self.watchers(now).contains(&&self.own.name)
    }

    /// Returns the peers to which this instance pushes a change of configuration.
    ///
    /// The watchers of a failure domain divide its other instances among them;
    /// other instances push nothing.
    #[must_use]
    pub fn push_targets(&self, now: Time) -> Vec<&MemberRecord> {
        let watchers = self.watchers(now);
        let Some(turn) = watchers.iter().position(|name| **name == self.own.name) else {
            return Vec::new();
        };
        let others = self
            .live_peers(now)
            .filter(|r| !watchers.contains(&&r.name));
        let share = others.skip(turn).step_by(watchers.len());
        let fellows = self.live_peers(now).filter(|r| watchers.contains(&&r.name));
        share.chain(fellows).collect()
    }

    fn domain_peers(&self) -> impl Iterator<Item = &Member> {
        let members = self.rows.values();
        members.filter(|member| member.record.domain == self.own.domain)
    }

    fn other_domains(&self) -> Vec<&DomainName> {
        let domains = self.rows.values().map(|member| &member.record.domain);
        let mut others: Vec<&DomainName> = domains.filter(|d| **d != self.own.domain).collect();
        others.sort();
        others.dedup();
        others
    }

    fn split<'a>(
        &self,
        members: impl Iterator<Item = &'a Member>,
        now: Time,
    ) -> (Vec<&'a MemberRecord>, Vec<&'a MemberRecord>) {
        let (live, silent): (Vec<_>, Vec<_>) = members.partition(|m| self.is_live(m, now));
        let rows = |members: Vec<&'a Member>| members.into_iter().map(|m| &m.record).collect();
        (rows(live), rows(silent))
    }
}

fn watch_rank(row: &MemberRecord) -> u64 {
    stable_hash(&[row.domain.as_str().as_bytes(), row.name.as_str().as_bytes()])
}

fn pick<'a>(
    live: &[&'a MemberRecord],
    silent: &[&'a MemberRecord],
    random: u64,
) -> Option<&'a MemberRecord> {
    let retry = random.is_multiple_of(RETRY_SILENT);
    let rows = if live.is_empty() || (retry && !silent.is_empty()) {
        silent
    } else {
        live
    };
    rows.get(index(mix(random), rows.len())?).copied()
}

fn index(random: u64, len: usize) -> Option<usize> {
    let len = u64::try_from(len).ok()?;
    usize::try_from(random.checked_rem(len)?).ok()
}
