//! One service: the versions of its upstreams, its rollout and the attempts that run.

use std::collections::HashMap;
use std::rc::Rc;

use limpetsaddle_core::units::Time;

use super::Phase;
use super::rollout::Rollout;
use super::versions::OrderEffect;
use super::versions::Selection;
use super::versions::Versions;
use crate::Name;

/// A service.
#[derive(Debug, Default)]
pub struct Service {
    pub versions: Versions,
    pub rollout: Option<Rollout>,
    /// The attempts that run, by version.
    pub running: HashMap<Name, u32>,
    /// The attempts of this instance since it has read the order.
    pub sent: u64,
    /// Those of them to the target.
    pub sent_target: u64,
    /// The upstreams of the version in force.
    base: Rc<[Name]>,
    has_others: bool,
    /// The upstreams of the target, if a rollout runs.
    selection: Option<Selection>,
}

impl Service {
    /// Follows a change of the order or of the upstreams.
    pub fn update(&mut self, exposure_share: f64) {
        let rollout = self.rollout.as_ref();
        let effect = rollout.map_or(OrderEffect::None, Rollout::effect);
        self.versions.update_base(effect);
        let base = self.versions.base();
        self.base = base.map_or_else(|| [].into(), |base| self.versions.upstreams(base));
        self.has_others = !self.versions.has_only_base();
        let running = self.rollout.as_ref().filter(|rollout| rollout.is_running());
        let running = running.filter(|rollout| base != Some(&rollout.order.target));
        self.selection = running.map(|rollout| rollout.selection(&self.versions, exposure_share));
    }

    /// Ends the rollout of an order that is no longer in force.
    pub fn drop_rollout(&mut self) {
        let ended = self.rollout.take();
        if let Some(rollout) = ended.filter(|rollout| rollout.phase != Phase::Completed) {
            self.versions.reject(&rollout.order.target);
        }
    }

    /// Follows a change of the rollout's phase.
    pub fn follow_phase(&mut self, before: Phase, exposure_share: f64) {
        let Some(rollout) = &self.rollout else {
            return;
        };
        if rollout.phase != before {
            if rollout.phase == Phase::Completed {
                self.versions.complete(&rollout.order.target);
            }
            self.update(exposure_share);
        }
    }

    /// Returns the upstreams of the version in force.
    pub fn base_upstreams(&self) -> Rc<[Name]> {
        Rc::clone(&self.base)
    }

    /// Returns whether there are no upstreams of other versions than the one in force.
    pub const fn has_only_base(&self) -> bool {
        !self.has_others
    }

    /// Returns the rollout, the upstreams of its target and their share, if there are any.
    pub fn target(&self, now: Time) -> Option<(&Rollout, &Selection, f64)> {
        let rollout = self.rollout.as_ref()?;
        let selection = self.selection.as_ref()?;
        let share = rollout.share(selection, self.base.len(), now);
        (!selection.upstreams.is_empty()).then_some((rollout, selection, share))
    }

    /// Returns whether the target has fewer upstreams than the version in force.
    pub fn target_has_fewer(&self) -> bool {
        let selection = self.selection.as_ref();
        selection.is_some_and(|selection| selection.upstreams.len() < self.base.len())
    }

    /// Returns the share of the target.
    pub fn share(&self, now: Time) -> f64 {
        self.target(now).map_or(0.0, |(_, _, share)| share)
    }

    /// Returns the upstreams of the target, if one more attempt may be sent there.
    pub fn admits_target(&self, is_permitted: bool, now: Time) -> Option<&Selection> {
        let (rollout, selection, share) = self.target(now)?;
        let admits = rollout.admits_target(share, is_permitted);
        admits.then_some(selection)
    }

    /// Returns whether all new requests go to the target.
    pub fn moves_all(&self, now: Time) -> bool {
        let target = self.target(now);
        target.is_some_and(|(rollout, _, share)| rollout.moves_all(share))
    }

    /// Returns the attempts that run at upstreams of other versions than the target.
    pub fn base_running(&self) -> u32 {
        let Some(rollout) = &self.rollout else {
            return 0;
        };
        let others = self.running.iter();
        let others = others.filter(|(version, _)| **version != rollout.order.target);
        others.map(|(_, running)| running).sum()
    }
}
