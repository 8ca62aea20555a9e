//! The orders for rollouts of the software of services, as the platform's store holds them,
//! and the writes of their status.

use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::canary::CanaryStatus;
use limpetsaddle_fleet::canary::CanaryWrite;
use limpetsaddle_fleet::canary::Order;
use limpetsaddle_fleet::store_era::StoreEra;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::rollouts::RolloutStatus;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::WriteResult;
use log::info;
use log::warn;

use super::instance::FleetInstance;
use super::order_lease;
use super::unusable;
use crate::clock::millis;

/// The orders as the store holds them.
#[derive(Default)]
pub struct StoredOrders {
    orders: HashMap<Name, StoredOrder>,
    /// The services whose status is being written.
    writing: HashSet<Name>,
    /// The services that had upstreams when they were last observed.
    services: Vec<Name>,
}

struct StoredOrder {
    order: Order,
    /// The revision of the object, which grows with each write of its status.
    revision: u64,
    era: Option<StoreEra>,
    status: Option<RolloutStatus>,
}

impl StoredOrders {
    /// Returns the services for which there is an order.
    pub fn ordered_services(&self) -> Vec<Name> {
        self.orders.keys().cloned().collect()
    }

    /// Takes the services that had upstreams when they were last observed.
    pub fn take_services(&mut self) -> Vec<Name> {
        std::mem::take(&mut self.services)
    }

    /// Keeps the services that have upstreams.
    pub fn keep_services(&mut self, services: impl Iterator<Item = Name>) {
        self.services = services.collect();
    }
}

impl StoredOrder {
    /// Returns whether an object holds the same order, and not one that was written anew with the
    /// same content.
    fn is_same(
        &self,
        order: &Order,
        status: Option<&RolloutStatus>,
        era: Option<StoreEra>,
    ) -> bool {
        let is_unchanged =
            self.order.target == order.target && self.order.duration == order.duration;
        // A return of the store from an older copy takes a status away; in one era, only a new
        // order does.
        let keeps_status = status.is_some() || self.status.is_none() || self.era != era;
        is_unchanged && keeps_status
    }
}

/// Applies all orders that the store holds.
pub fn replace_all(instance: &FleetInstance, objects: &[Object]) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let gone: Vec<Name> = {
        let known = desk.orders.borrow();
        let is_gone = |service: &&Name| objects.iter().all(|object| *object.name != ***service);
        known.orders.keys().filter(is_gone).cloned().collect()
    };
    for service in gone {
        withdraw(instance, &service);
    }
    for object in objects {
        apply(instance, object);
    }
    desk.canaries.borrow_mut().record_orders_read();
}

/// Applies the removal of an order.
pub fn withdraw(instance: &FleetInstance, service: &str) {
    let Some(desk) = &instance.canary else {
        return;
    };
    if desk.orders.borrow_mut().orders.remove(service).is_some() {
        info!(service; "rollout withdrawn");
        let now = instance.now();
        desk.canaries.borrow_mut().withdraw_order(service, now);
    }
}

/// Applies an order and its status.
pub fn apply(instance: &FleetInstance, object: &Object) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let (mut order, status) = match wire::rollouts::decode(object) {
        Ok(decoded) => decoded,
        Err(error) => {
            let message = "ignoring an invalid rollout";
            unusable::record(instance, wire::store::ROLLOUTS, object, &error, message);
            return;
        }
    };
    let era = instance.store.era();
    let mut stored = desk.orders.borrow_mut();
    let known = stored.orders.get(&order.service);
    if let Some(known) = known {
        // A read may be older than the result of a write.
        if known.era == era && object.revision < known.revision {
            return;
        }
        let is_stated = status
            .as_ref()
            .is_some_and(|status| status.target == order.target && status.order.is_some());
        if !is_stated && known.is_same(&order, status.as_ref(), era) {
            order.revision = known.order.revision;
        }
    }
    let is_new = known.is_none_or(|known| known.order.revision != order.revision);
    let is_changed = known.is_none_or(|known| known.status != status);
    let now = instance.now();
    if let Some(era) = era {
        let reads = instance.store.reads().borrow();
        let age = reads.change_age(era, order.revision, now);
        order.age = age.most.unwrap_or_default();
    }
    if is_new || is_changed {
        let phase = status.as_ref().map(|status| format!("{:?}", status.phase));
        let of = status.as_ref().map_or("", |status| &*status.target);
        info!(
            service:display = order.service, target:display = order.target, order = order.revision,
            revision = object.revision, duration_ms = millis(order.duration),
            age_ms = millis(order.age), phase = phase.unwrap_or_default(), status_of = of;
            "rollout read"
        );
    }
    let entry = StoredOrder {
        order: order.clone(),
        revision: object.revision,
        era,
        status: status.clone(),
    };
    stored.orders.insert(Name::clone(&order.service), entry);
    drop(stored);
    let status = status.map(|status| CanaryStatus {
        phase: status.phase,
        target: status.target,
    });
    desk.canaries
        .borrow_mut()
        .apply_order(order, status.as_ref(), now);
}

/// Judges the running rollouts, and writes what the holder of the lease has to write.
pub fn step(instance: &Rc<FleetInstance>) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let now = instance.now();
    let holds_lease = order_lease::fencing(instance).is_some();
    let peers = instance.peers.borrow().peer_counts(now);
    let writes = desk.canaries.borrow_mut().step(holds_lease, peers, now);
    for write in writes {
        let is_first = desk
            .orders
            .borrow_mut()
            .writing
            .insert(Name::clone(&write.service));
        if is_first {
            monoio::spawn(write_status(Rc::clone(instance), write));
        }
    }
}

async fn write_status(instance: Rc<FleetInstance>, write: CanaryWrite) {
    let Some(desk) = &instance.canary else {
        return;
    };
    let service = &write.service;
    let known = {
        let stored = desk.orders.borrow();
        let known = stored.orders.get(service);
        known.map(|known| (known.revision, known.order.revision))
    };
    if let Some((revision, order)) = known {
        let status = RolloutStatus {
            phase: write.status.phase,
            target: Name::clone(&write.status.target),
            order: Some(order),
        };
        put_status(&instance, service, revision, &status).await;
    }
    desk.orders.borrow_mut().writing.remove(service);
}

async fn put_status(
    instance: &FleetInstance,
    service: &Name,
    revision: u64,
    status: &RolloutStatus,
) {
    let phase = format!("{:?}", status.phase);
    let target = &status.target;
    let content = wire::rollouts::encode_status(status);
    let kind = wire::store::ROLLOUTS;
    let written = instance
        .store
        .put_status(kind, service, revision, &content)
        .await;
    match written {
        Ok(WriteResult::Applied(object)) => {
            info!(service:display, target:display, phase, revision = object.revision; "status of rollout written");
            instance.metrics.record_rollout_status("written");
            apply(instance, &object);
        }
        Ok(WriteResult::Conflict(stored)) => {
            info!(service:display, target:display, phase, revision; "status of rollout not written, as the rollout has changed");
            instance.metrics.record_rollout_status("conflict");
            if let Some(object) = stored {
                apply(instance, &object);
            }
        }
        Ok(WriteResult::NotFound) => {
            info!(service:display, target:display, phase; "status of rollout not written, as it was withdrawn");
            instance.metrics.record_rollout_status("conflict");
        }
        Err(error) => {
            warn!(service:display, target:display, phase, error:display; "cannot write status of rollout");
            instance.metrics.record_rollout_status("failed");
        }
    }
}
