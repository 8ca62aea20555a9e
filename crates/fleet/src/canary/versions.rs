//! The versions of a service's upstreams: which one is in force, and which upstreams of a target
//! version take part in its canary.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::rc::Rc;

use limpetsaddle_core::hash::stable_hash;

use super::UpstreamVersion;
use crate::Name;

/// The rejected versions that are remembered for a service.
const MAX_REJECTED: usize = 16;

/// The largest load of an upstream in the canary as a multiple of an old one's load. A higher
/// load would make a sound version slow.
const MAX_RELATIVE_LOAD: f64 = 1.1;

/// The part that an order has in the selection of the version in force.
#[derive(Clone, Copy, Debug)]
pub enum OrderEffect<'a> {
    /// There is no order.
    None,
    /// An order that has not ended names this version.
    Running(&'a Name),
    /// The order for this version was rolled back.
    RolledBack(&'a Name),
}

/// The upstreams of a target version that take part in a canary.
#[derive(Clone, Debug)]
pub struct Selection {
    /// The ids in ascending order.
    pub upstreams: Rc<[Name]>,
    /// The fraction of the service's requests that they get.
    pub share: f64,
}

#[derive(Clone, Debug)]
struct Base {
    version: Name,
    /// The start of its first upstream.
    born_ms: u64,
    /// Whether it is the target of a completed rollout.
    is_completed: bool,
    /// Whether it is the target of the running order for want of upstreams of other versions.
    is_presumed: bool,
}

/// The versions of a service's upstreams.
#[derive(Debug, Default)]
pub struct Versions {
    upstreams: BTreeMap<Name, (Name, u64)>,
    base: Option<Base>,
    rejected: VecDeque<Name>,
}

impl Versions {
    /// Replaces the upstreams and returns whether they differ; the caller must then call
    /// [`Self::update_base`].
    pub fn set_upstreams(&mut self, upstreams: &[UpstreamVersion]) -> bool {
        let entries = upstreams.iter().map(|upstream| {
            let version = Name::clone(&upstream.version);
            (Name::clone(&upstream.id), (version, upstream.born_ms))
        });
        let entries = entries.collect();
        let is_changed = self.upstreams != entries;
        self.upstreams = entries;
        is_changed
    }

    /// Records that a version is the target of a completed rollout.
    pub fn complete(&mut self, version: &Name) {
        self.rejected.retain(|rejected| rejected != version);
        self.base = Some(Base {
            version: Name::clone(version),
            born_ms: 0,
            is_completed: true,
            is_presumed: false,
        });
    }

    /// Records that a version has lost its order.
    pub fn reject(&mut self, version: &Name) {
        if self.base().is_some_and(|base| base == version) || self.rejected.contains(version) {
            return;
        }
        if self.rejected.len() == MAX_REJECTED {
            self.rejected.pop_front();
        }
        self.rejected.push_back(Name::clone(version));
    }

    /// Selects the version in force again, after a change of the order.
    ///
    /// The version stays while it has upstreams or an order runs. Otherwise it is that of the
    /// first upstream that was started, but not the target of the order.
    pub fn update_base(&mut self, order: OrderEffect<'_>) {
        let first = |may_be: &dyn Fn(&Name) -> bool| {
            let entries = self.upstreams.iter();
            let entries = entries.filter(|(_, (version, _))| may_be(version));
            entries
                .min_by_key(|(id, (_, born_ms))| (*born_ms, Name::clone(id)))
                .map(|(_, (version, born_ms))| (Name::clone(version), *born_ms))
        };
        if self.upstreams.is_empty() {
            return;
        }
        let is_sound = |version: &Name| !self.rejected.contains(version);
        let base = self.base.as_ref();
        let is_present = base.is_some_and(|base| self.has(&base.version));
        let (found, is_presumed) = match order {
            OrderEffect::Running(target) => {
                if is_present && base.is_some_and(|base| !base.is_presumed) {
                    return;
                }
                let is_other = |version: &Name| version != target;
                let other = first(&|version| is_other(version) && is_sound(version));
                let other = other.or_else(|| first(&is_other));
                match other {
                    Some(other) => (Some(other), false),
                    None if base.is_some() => return,
                    None => (first(&|_| true), true),
                }
            }
            OrderEffect::RolledBack(target) => {
                let may_be = |version: &Name| version != target && is_sound(version);
                (first(&may_be), false)
            }
            OrderEffect::None => (first(&is_sound).or_else(|| first(&|_| true)), false),
        };
        let is_kept = is_present
            && base.is_some_and(|base| {
                let is_barred =
                    matches!(order, OrderEffect::RolledBack(target) if *target == base.version);
                let is_older = found.as_ref().is_none_or(|(_, born)| base.born_ms <= *born);
                !is_barred && !base.is_presumed && (base.is_completed || is_older)
            });
        if !is_kept {
            self.base = found.map(|(version, born_ms)| Base {
                version,
                born_ms,
                is_completed: false,
                is_presumed,
            });
        }
    }

    /// Returns the version in force.
    pub fn base(&self) -> Option<&Name> {
        self.base.as_ref().map(|base| &base.version)
    }

    /// Returns the version of an upstream.
    pub fn of(&self, id: &str) -> Option<&Name> {
        self.upstreams.get(id).map(|(version, _)| version)
    }

    /// Returns whether there is at most one version.
    pub fn is_uniform(&self) -> bool {
        let versions = self.upstreams.values().map(|(version, _)| version);
        versions.collect::<HashSet<_>>().len() <= 1
    }

    /// Returns whether all upstreams are of the version in force.
    pub fn has_only_base(&self) -> bool {
        let base = self.base();
        let mut versions = self.upstreams.values().map(|(version, _)| version);
        versions.all(|version| Some(version) == base)
    }

    fn has(&self, version: &Name) -> bool {
        self.upstreams.values().any(|(known, _)| known == version)
    }

    /// Returns the ids of the upstreams of a version in ascending order.
    pub fn upstreams(&self, version: &Name) -> Rc<[Name]> {
        let entries = self.upstreams.iter();
        let entries = entries.filter(|(_, (known, _))| known == version);
        entries.map(|(id, _)| Name::clone(id)).collect()
    }

    /// Selects as few upstreams of the target as give each of them the load that an old one has,
    /// if they get `share` of all requests. All instances select the same ones.
    ///
    /// If that would be too much for them, their share is smaller.
    pub fn select(&self, target: &Name, share: f64) -> Selection {
        let old = self.base().map_or(0, |base| self.upstreams(base).len());
        let old = as_f64(old);
        let mut upstreams = self.upstreams(target).to_vec();
        upstreams.sort_by_cached_key(|id| stable_hash(&[b"canary", id.as_bytes()]));
        let wanted = share / (1.0 - share) * old * MAX_RELATIVE_LOAD;
        let mut count = 1;
        while count < upstreams.len() && as_f64(count + 1) <= wanted {
            count += 1;
        }
        upstreams.truncate(count);
        upstreams.sort();
        let load = MAX_RELATIVE_LOAD * as_f64(upstreams.len());
        let limit = if old > 0.0 { load / (old + load) } else { 1.0 };
        Selection {
            upstreams: upstreams.into(),
            share: share.min(limit),
        }
    }
}

impl Selection {
    /// Returns whether an upstream takes part.
    pub fn contains(&self, id: &str) -> bool {
        let known = self.upstreams.binary_search_by(|known| (**known).cmp(id));
        known.is_ok()
    }
}

/// Converts a count.
pub fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
