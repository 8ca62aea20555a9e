//! Startup: loading of the configuration from peers or the platform.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::membership::Seed;
use limpetsaddle_platform::InvalidEntry;
use log::info;

use super::exchange::exchange_with;
use super::watch;
use crate::instance::Instance;
use crate::metrics::Event;
use crate::shutdown::Stopping;
use crate::unusable;
use crate::unusable::UnusableEntry;

/// The number of known peers that are asked for the configuration in each round.
const MAX_PEERS_ASKED: usize = 3;

/// The time in which only peers are asked, before the platform's whole
/// configuration is listed.
const PEERS_ONLY_TIME: Duration = Duration::from_millis(300);

/// The pause between two rounds while no complete configuration is in force.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// The interval at which the platform's list of instances is read.
const INSTANCES_PERIOD: Duration = Duration::from_secs(10);

/// The kind of the entries in the platform's list of instances.
const INSTANCES: &str = "instances";

/// Loads the configuration from peers and the platform until it is complete.
///
/// Peers are asked first, so that after a restart of a whole failure domain not
/// every instance lists the whole configuration at the platform.
pub async fn run(instance: Rc<Instance>) {
    monoio::spawn(load_from_platform(Rc::clone(&instance)));
    while !instance.is_ready() {
        let asked_seeds = exchange_with_seeds(&instance).await;
        if asked_seeds {
            instance.record_peers_asked();
        }
        exchange_with_known_peers(&instance).await;
        instance.record_peers_asked();
        finish_startup(&instance);
        if !instance.is_ready() {
            monoio::time::sleep(ROUND_PAUSE).await;
        }
    }
    finish_startup(&instance);
    let revision = instance.board.borrow().store.highest_revision();
    info!(revision = revision.0; "the configuration is in force");
}

/// Exchanges with the configured peers and returns whether there are any.
async fn exchange_with_seeds(instance: &Rc<Instance>) -> bool {
    let settings = &instance.settings;
    let seeds = settings.seeds.iter().copied();
    let calls: Vec<_> = seeds
        .filter(|address| *address != settings.advertise)
        .map(|address| exchange_with(Rc::clone(instance), address))
        .collect();
    let any = !calls.is_empty();
    futures::future::join_all(calls).await;
    any
}

async fn load_from_platform(instance: Rc<Instance>) {
    read_instances(&instance).await;
    monoio::time::sleep(PEERS_ONLY_TIME).await;
    while !instance.board.borrow().is_ready() {
        let listed = watch::list(&instance).await;
        instance.record_platform_call(listed.is_ok());
        monoio::time::sleep(ROUND_PAUSE).await;
    }
}

async fn exchange_with_known_peers(instance: &Rc<Instance>) {
    let addresses: Vec<SocketAddr> = {
        let board = instance.board.borrow();
        let addresses = board.members.iter().map(|m| m.record.address);
        addresses.take(MAX_PEERS_ASKED).collect()
    };
    let calls = addresses
        .into_iter()
        .map(|address| exchange_with(Rc::clone(instance), address));
    futures::future::join_all(calls).await;
}

/// Ends the startup phase, in which this instance may still raise its incarnation.
fn finish_startup(instance: &Instance) {
    instance.board.borrow_mut().members.end_startup();
}

/// Keeps the addresses from the platform's list of instances up to date.
pub async fn refresh(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(INSTANCES_PERIOD).await {
        read_instances(&instance).await;
    }
}

async fn read_instances(instance: &Rc<Instance>) {
    let Ok(listed) = instance.platform.instances().await else {
        instance.record_platform_call(false);
        return;
    };
    instance.record_platform_call(true);
    record_invalid(instance, &listed.invalid);
    let live = listed.valid.into_iter().filter(|i| i.phase == Phase::Live);
    let seeds: Vec<Seed> = live
        .map(|i| Seed {
            name: i.name,
            domain: i.domain,
            address: i.address,
        })
        .collect();
    let now = instance.now();
    instance.board.borrow_mut().members.seed(&seeds, now);
}

fn record_invalid(instance: &Instance, invalid: &[InvalidEntry]) {
    instance
        .unusable_entries
        .borrow_mut()
        .begin(INSTANCES, None);
    for entry in invalid {
        let entry = UnusableEntry {
            kind: INSTANCES,
            name: &entry.name,
            reason: &entry.reason,
        };
        let message = "ignoring an invalid entry of the list of instances";
        if unusable::record(&instance.unusable_entries, &entry, message, instance.now()) {
            instance.metrics.count(Event::InstanceInvalid);
        }
    }
    instance.unusable_entries.borrow_mut().end(INSTANCES, None);
}
