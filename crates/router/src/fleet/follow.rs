//! Following the kinds of objects that the platform's store holds.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::beacon::name_hash;
use limpetsaddle_fleet::peers::Registration;
use limpetsaddle_fleet::tenure::TenureRecord;
use limpetsaddle_fleet::upstreams::REAPPEAR_TIME;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use limpetsaddle_fleet::weights::NamedWeights;
use limpetsaddle_platform_wire as wire;
use limpetsaddle_platform_wire::store::Call;
use limpetsaddle_platform_wire::store::Change;
use limpetsaddle_platform_wire::store::Object;
use limpetsaddle_platform_wire::store::Watched;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use super::instance::FleetInstance;
use super::store::StoreError;
use crate::shutdown::Stopping;

/// The wait of a watch whose return confirms the configuration. It bounds the
/// age of the last confirmation, for which keys are trusted only a few seconds.
const CONFIRMING_WAIT: Duration = Duration::from_millis(1_000);

/// The age of the last confirmation from which an instance asks the store itself
/// instead of going by others.
const CONFIRM_AFTER: Duration = Duration::from_millis(2_000);

/// The wait of a watch on upstreams or weights where missing a change does harm:
/// a connection that has fallen silent is noticed when it ends.
const CHECKED_WAIT: Duration = Duration::from_millis(2_500);

/// The wait of a watch on kinds whose age does no harm.
const QUIET_WAIT: Duration = Duration::from_millis(15_000);

/// The pause after a change, in which further changes gather to be read at once.
const GATHERING: Duration = Duration::from_millis(250);

/// The same for kinds whose age does no harm.
const QUIET_GATHERING: Duration = Duration::from_millis(2_000);

/// The time that each call gets before it may be given up. A slow store needs
/// some hundred milliseconds.
const LEAST_WAIT: Duration = Duration::from_millis(1_300);

/// The time between two looks at whether a watch has to be given up.
const RECHECK: Duration = Duration::from_millis(250);

/// The instances that follow the tenure closely, to take it over.
const HEIRS: u32 = 8;

/// The bounds of the pause after a failed call, in milliseconds.
const PAUSE: (u64, u64) = (100, 400);

/// What this instance takes for the age of weights that were named before it
/// started: they may have been named long ago.
const AGE_AT_START: Duration = Duration::from_millis(2_500);

/// The name of the one record of tenure.
pub const TENURE_NAME: &str = "weights";

/// A `Pace` is how a kind is watched at the moment.
struct Pace {
    /// The longest wait of a watch.
    wait: Duration,
    /// The pause after a change, in which further changes gather.
    gathering: Duration,
}

/// A `Follower` takes the objects of one kind.
trait Follower {
    /// The kind.
    const KIND: &'static str;

    /// Returns how the kind is watched.
    fn pace(&self) -> Pace;

    /// Returns whether the watch has to be given up and begun anew.
    fn is_urgent(&self) -> bool {
        false
    }

    /// Takes all objects of the kind.
    fn listed(&self, objects: Vec<Object>);

    /// Takes one change.
    fn changed(&self, change: Change);

    /// Records that nothing newer than what was taken existed at `at`.
    fn confirmed(&self, _at: Time) {}
}

/// Starts the tasks that follow the store.
pub fn start(instance: &Rc<FleetInstance>, stopping: &Stopping) {
    let shared = || Rc::clone(instance);
    let configuration = ConfigurationFollower {
        instance: shared(),
        is_waiting_for_others: Cell::new(false),
    };
    monoio::spawn(follow(shared(), configuration, stopping.clone()));
    monoio::spawn(follow(
        shared(),
        UpstreamFollower(shared()),
        stopping.clone(),
    ));
    monoio::spawn(follow(
        shared(),
        WeightsFollower(shared()),
        stopping.clone(),
    ));
    let instances = InstanceFollower {
        instance: shared(),
        held: RefCell::new(HashMap::new()),
    };
    monoio::spawn(follow(shared(), instances, stopping.clone()));
    monoio::spawn(follow(shared(), TenureFollower(shared()), stopping.clone()));
}

async fn follow<F: Follower>(instance: Rc<FleetInstance>, follower: F, stopping: Stopping) {
    let mut from = None;
    while !stopping.is_closed() {
        let sent = instance.now();
        let pace = follower.pace();
        let step = step(&instance, &follower, from, pace.wait);
        let Some(outcome) = until_urgent(&stopping, &follower, step).await else {
            continue;
        };
        instance.store.note(outcome.as_ref().err(), instance.now());
        instance.metrics.store_call(outcome.is_ok());
        match outcome {
            Ok(step) => {
                from = step.next;
                if from.is_some() {
                    follower.confirmed(sent + step.waited);
                }
                if step.changed {
                    stopping.pause(pace.gathering).await;
                }
            }
            Err(_) => {
                let span = PAUSE.0 + instance.random.draw() % (PAUSE.1 - PAUSE.0);
                stopping.pause(Duration::from_millis(span)).await;
            }
        }
    }
}

/// A `Step` is the outcome of one call.
struct Step {
    /// The revision from which to go on, or `None` to list everything again.
    next: Option<u64>,
    /// The time for which the store has certainly waited before it answered.
    waited: Duration,
    /// Whether anything had changed.
    changed: bool,
}

async fn step<F: Follower>(
    instance: &FleetInstance,
    follower: &F,
    from: Option<u64>,
    wait: Duration,
) -> Result<Step, StoreError> {
    let Some(from) = from else {
        let (objects, at) = instance.store.list(F::KIND).await?;
        follower.listed(objects);
        return Ok(Step {
            next: Some(at),
            waited: Duration::ZERO,
            changed: false,
        });
    };
    let sent = instance.now();
    match instance.store.watch(F::KIND, from, wait).await? {
        Watched::Changes { changes, at } => {
            let changed = !changes.is_empty();
            // The store answers a watch without changes when its wait is over.
            let whole_wait = !changed && instance.now().since(sent) >= wait;
            for change in changes {
                follower.changed(change);
            }
            Ok(Step {
                next: Some(at),
                waited: if whole_wait { wait } else { Duration::ZERO },
                changed,
            })
        }
        Watched::HistoryGone => {
            info!(kind = F::KIND, from; "the store dropped its history; listing again");
            Ok(Step {
                next: None,
                waited: Duration::ZERO,
                changed: false,
            })
        }
    }
}

/// Runs a call, and gives it up when the instance ends or the follower cannot
/// wait for it any longer.
async fn until_urgent<F: Follower, T>(
    stopping: &Stopping,
    follower: &F,
    work: impl Future<Output = T>,
) -> Option<T> {
    let work = std::pin::pin!(work);
    let urgent = std::pin::pin!(async {
        stopping.pause(LEAST_WAIT).await;
        while stopping.pause(RECHECK).await && !follower.is_urgent() {}
    });
    match futures::future::select(work, urgent).await {
        futures::future::Either::Left((result, _)) => Some(result),
        futures::future::Either::Right(_) => None,
    }
}

struct ConfigurationFollower {
    instance: Rc<FleetInstance>,
    is_waiting_for_others: Cell<bool>,
}

impl ConfigurationFollower {
    /// Returns whether this instance has to ask the store itself: it does so for
    /// others, or hears of no confirmation from them.
    fn confirms(&self) -> bool {
        let now = self.instance.now();
        let age = self.instance.freshness.borrow().age(now);
        let heard = age.is_some_and(|age| age < CONFIRM_AFTER);
        !heard || self.instance.peers.borrow().is_confirmer(now)
    }

    fn take(&self, object: &Object) {
        if object.name != wire::store::CONFIGURATION_NAME {
            return;
        }
        let Some(spec) = &object.spec else {
            return;
        };
        match wire::configuration::decode(spec) {
            Ok(configuration) => {
                let held = self.instance.configuration();
                if held.is_some_and(|held| held.version >= configuration.version) {
                    return;
                }
                let version = configuration.version;
                let revision = object.revision;
                self.instance.configure(configuration);
                info!(version, revision; "configuration in force");
            }
            Err(error) => {
                let revision = object.revision;
                warn!(revision, error:display; "configuration not usable; the last one stays");
            }
        }
    }
}

impl Follower for ConfigurationFollower {
    const KIND: &'static str = wire::store::CONFIGURATION;

    fn pace(&self) -> Pace {
        let waits_for_others = !self.confirms();
        self.is_waiting_for_others.set(waits_for_others);
        Pace {
            wait: if waits_for_others {
                QUIET_WAIT
            } else {
                CONFIRMING_WAIT
            },
            gathering: Duration::ZERO,
        }
    }

    fn is_urgent(&self) -> bool {
        if self.instance.newer_configuration.take() {
            return true;
        }
        self.is_waiting_for_others.get() && self.confirms()
    }

    fn listed(&self, objects: Vec<Object>) {
        objects.iter().for_each(|object| self.take(object));
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object);
        }
    }

    fn confirmed(&self, at: Time) {
        self.instance.freshness.borrow_mut().confirm(at);
    }
}

struct UpstreamFollower(Rc<FleetInstance>);

impl UpstreamFollower {
    /// Forgets what the engine held before it started anew.
    fn forget_if_new(&self, entry: &UpstreamEntry) {
        let upstreams = self.0.upstreams.borrow();
        let held = upstreams.get(&entry.id);
        if held.is_none_or(|row| row.entry.born_ms != entry.born_ms) {
            let hash = name_hash(&entry.id);
            self.0.directory.borrow_mut().forget(hash);
        }
    }

    fn take(&self, object: &Object) {
        let revision = object.revision;
        let upstream = object.name.as_str();
        match wire::servers::decode(object) {
            Ok(entry) => {
                let phase = format!("{:?}", entry.phase);
                let weights = entry.weights.first().map_or(0, |w| w.version);
                let born_ms = entry.born_ms;
                let service = Name::clone(&entry.service);
                self.forget_if_new(&entry);
                self.0.upstreams.borrow_mut().upsert(entry);
                info!(
                    upstream, revision, phase, weights, born_ms, service:display;
                    "upstream listed"
                );
            }
            Err(error) => {
                self.0.upstreams.borrow_mut().remove(upstream);
                warn!(upstream, revision, error:display; "upstream entry not usable");
            }
        }
    }
}

impl Follower for UpstreamFollower {
    const KIND: &'static str = wire::store::UPSTREAMS;

    fn pace(&self) -> Pace {
        // In a large fleet each change would be read by very many.
        let large = self.0.peers.borrow().is_large();
        let leaving = self.0.settings.bounds.leaving;
        Pace {
            wait: if large {
                CHECKED_WAIT * 3
            } else {
                CHECKED_WAIT
            },
            gathering: if large { leaving / 2 } else { GATHERING },
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        let now = self.0.now();
        let names: Vec<Name> = objects.iter().map(|o| o.name.as_str().into()).collect();
        let after_outage = self.0.store.is_after_outage(REAPPEAR_TIME, now);
        objects.iter().for_each(|object| self.take(object));
        let mut upstreams = self.0.upstreams.borrow_mut();
        upstreams.retain(&names, after_outage, now);
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object);
            return;
        }
        let now = self.0.now();
        let upstream = change.object.name.as_str();
        let after_outage = self.0.store.is_after_outage(REAPPEAR_TIME, now);
        let mut upstreams = self.0.upstreams.borrow_mut();
        if after_outage {
            upstreams.missing(upstream, now);
        } else {
            upstreams.remove(upstream);
        }
        info!(upstream, after_outage; "upstream removed from the list");
    }
}

struct WeightsFollower(Rc<FleetInstance>);

impl WeightsFollower {
    fn take(&self, object: &Object, since: Time) {
        match wire::versions::decode(object) {
            Ok((model, version)) => {
                let mut named = self.0.named.borrow_mut();
                let held = named.iter_mut().find(|n| n.model == model);
                let is_newer = if let Some(held) = held {
                    held.name(version, since)
                } else {
                    named.push(NamedWeights::new(Name::clone(&model), version, since));
                    true
                };
                if !is_newer {
                    return;
                }
                let revision = object.revision;
                info!(model:display, version, revision; "weights named");
            }
            Err(error) => {
                let name = object.name.as_str();
                warn!(name, error:display; "named weights not usable");
            }
        }
    }
}

impl Follower for WeightsFollower {
    const KIND: &'static str = wire::store::WEIGHTS;

    fn pace(&self) -> Pace {
        let now = self.0.now();
        let checked = self.0.peers.borrow().is_confirmer(now);
        Pace {
            wait: if checked { CHECKED_WAIT } else { QUIET_WAIT },
            gathering: Duration::ZERO,
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        let now = self.0.now().from_start();
        let since = Time::from_origin(now.saturating_sub(AGE_AT_START));
        objects.iter().for_each(|object| self.take(object, since));
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object, self.0.now());
        }
    }
}

/// What an instance writes of itself.
#[derive(Deserialize, Serialize)]
struct InstanceRecord {
    address: std::net::SocketAddr,
}

struct InstanceFollower {
    instance: Rc<FleetInstance>,
    held: RefCell<HashMap<String, (u64, InstanceRecord)>>,
}

impl InstanceFollower {
    fn take(&self, object: Object) {
        let spec = object.spec.as_ref();
        let record = spec.and_then(|spec| serde_json::from_str(spec.get()).ok());
        let Some(record) = record else {
            warn!(name = object.name.as_str(); "registration not usable");
            return;
        };
        self.held
            .borrow_mut()
            .insert(object.name, (object.revision, record));
    }

    fn publish(&self) {
        let held = self.held.borrow();
        let all = held.iter().map(|(name, (_, record))| Registration {
            name: name.as_str().into(),
            address: record.address,
        });
        let now = self.instance.now();
        self.instance
            .peers
            .borrow_mut()
            .register(all.collect(), now);
        let own = held.get(&*self.instance.settings.name);
        let revision = own.map(|(revision, _)| *revision);
        let current = own.is_some_and(|(_, r)| r.address == beacon_address(&self.instance));
        if !current {
            monoio::spawn(register(Rc::clone(&self.instance), revision));
        }
        for name in self.instance.peers.borrow().forgotten(now) {
            if let Some((revision, _)) = held.get(&**name) {
                let name = Name::clone(name);
                monoio::spawn(forget(Rc::clone(&self.instance), name, *revision));
            }
        }
    }
}

impl Follower for InstanceFollower {
    const KIND: &'static str = wire::store::INSTANCES;

    fn pace(&self) -> Pace {
        Pace {
            wait: QUIET_WAIT,
            gathering: QUIET_GATHERING,
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        self.held.borrow_mut().clear();
        objects.into_iter().for_each(|object| self.take(object));
        self.publish();
    }

    fn changed(&self, change: Change) {
        if change.removed {
            self.held.borrow_mut().remove(&change.object.name);
        } else {
            self.take(change.object);
        }
        self.publish();
    }
}

fn beacon_address(instance: &FleetInstance) -> std::net::SocketAddr {
    (instance.settings.ip, instance.settings.beacon_port).into()
}

/// Writes this instance's registration.
async fn register(instance: Rc<FleetInstance>, revision: Option<u64>) {
    let record = InstanceRecord {
        address: beacon_address(&instance),
    };
    let name = Name::clone(&instance.settings.name);
    let kind = wire::store::INSTANCES;
    let outcome = match serde_json::value::to_raw_value(&record) {
        Ok(spec) => {
            let call = conditional(kind, &name, revision, &spec);
            instance
                .store
                .write(&call)
                .await
                .map(|written| format!("{written:?}"))
        }
        Err(error) => Err(StoreError::Wire(error.into())),
    };
    match outcome {
        Ok(_) => info!(name:display; "registered"),
        // The next list shows that the registration is missing.
        Err(error) => warn!(name:display, error:display; "registration failed"),
    }
}

/// Removes the registration of an instance that has been silent for long.
async fn forget(instance: Rc<FleetInstance>, name: Name, revision: u64) {
    let call = Call::Remove {
        kind: wire::store::INSTANCES,
        name: &name,
        revision,
    };
    match instance.store.write(&call).await {
        Ok(_) => info!(name:display, revision; "registration of a silent instance removed"),
        Err(error) => warn!(name:display, error:display; "registration not removed"),
    }
}

/// Returns the call that creates an object, or replaces the one at `revision`.
pub fn conditional<'a>(
    kind: &'a str,
    name: &'a str,
    revision: Option<u64>,
    spec: &'a serde_json::value::RawValue,
) -> Call<'a> {
    match revision {
        None => Call::Create { kind, name, spec },
        Some(revision) => Call::Replace {
            kind,
            name,
            revision,
            spec,
        },
    }
}

struct TenureFollower(Rc<FleetInstance>);

impl TenureFollower {
    fn take(&self, object: &Object) {
        if object.name != TENURE_NAME {
            return;
        }
        match read_tenure(object) {
            Ok(record) => {
                let now = self.0.now();
                let mut tenure = self.0.tenure.borrow_mut();
                if tenure.holder() != Some(&record.holder) {
                    let holder = &record.holder;
                    let fencing = record.fencing;
                    info!(holder:display, fencing, revision = object.revision; "holder changed");
                }
                tenure.observe(Some((object.revision, record)), now);
            }
            Err(error) => warn!(error:display; "tenure record not usable"),
        }
    }
}

/// Reads the record of the instance that gives orders.
pub fn read_tenure(object: &Object) -> Result<TenureRecord, serde_json::Error> {
    let text = object.spec.as_ref().map_or("null", |spec| spec.get());
    serde_json::from_str(text)
}

impl Follower for TenureFollower {
    const KIND: &'static str = wire::store::TENURES;

    fn pace(&self) -> Pace {
        // The first in rank take over; the others only follow.
        let now = self.0.now();
        let heir = self.0.peers.borrow().rank(now) < HEIRS;
        Pace {
            wait: QUIET_WAIT,
            gathering: if heir { GATHERING } else { QUIET_GATHERING * 2 },
        }
    }

    fn listed(&self, objects: Vec<Object>) {
        self.0.tenure.borrow_mut().observe(None, self.0.now());
        objects.iter().for_each(|object| self.take(object));
    }

    fn changed(&self, change: Change) {
        if !change.removed {
            self.take(&change.object);
        }
    }
}
