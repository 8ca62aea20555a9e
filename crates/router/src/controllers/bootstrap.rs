//! The start of an instance: configuration from whoever answers first.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::membership::Seed;
use log::info;

use super::exchange::exchange_with;
use super::watch;
use crate::instance::Instance;
use crate::shutdown::Stopping;

/// The peers of the failure domain that are asked at the start.
const PEERS_ASKED: usize = 3;

/// The time that peers get to answer before the platform is asked for all.
const PEERS_FIRST: Duration = Duration::from_millis(300);

/// The pause between two rounds while nobody has answered.
const PAUSE: Duration = Duration::from_millis(200);

/// The time between two readings of the platform's list of instances.
const REFRESH: Duration = Duration::from_secs(10);

/// Asks peers and the platform until a complete configuration is in force.
///
/// Peers are asked first, so that a failure domain that restarts as a whole
/// does not read everything from the platform once for each instance.
pub async fn run(instance: Rc<Instance>) {
    monoio::spawn(from_platform(Rc::clone(&instance)));
    while !instance.is_ready() {
        let asked_seeds = ask_seeds(&instance).await;
        if asked_seeds {
            instance.note_peers_asked();
        }
        ask_known_peers(&instance).await;
        instance.note_peers_asked();
        settle(&instance);
        if !instance.is_ready() {
            monoio::time::sleep(PAUSE).await;
        }
    }
    settle(&instance);
    let revision = instance.board.borrow().store.highest_revision();
    info!(revision = revision.0; "the configuration is in force");
}

/// Asks the configured peers and returns whether there are any.
async fn ask_seeds(instance: &Rc<Instance>) -> bool {
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

async fn from_platform(instance: Rc<Instance>) {
    read_instances(&instance).await;
    monoio::time::sleep(PEERS_FIRST).await;
    while !instance.board.borrow().is_ready() {
        let listed = watch::list(&instance).await;
        instance.note_platform(listed.is_ok());
        monoio::time::sleep(PAUSE).await;
    }
}

async fn ask_known_peers(instance: &Rc<Instance>) {
    let addresses: Vec<SocketAddr> = {
        let board = instance.board.borrow();
        let addresses = board.members.iter().map(|m| m.record.address);
        addresses.take(PEERS_ASKED).collect()
    };
    let calls = addresses
        .into_iter()
        .map(|address| exchange_with(Rc::clone(instance), address));
    futures::future::join_all(calls).await;
}

/// Ends the time in which this instance may still raise its incarnation.
fn settle(instance: &Instance) {
    instance.board.borrow_mut().members.end_startup();
}

/// Keeps the addresses from the platform's list of instances up to date.
pub async fn refresh(instance: Rc<Instance>, stopping: Stopping) {
    while stopping.pause(REFRESH).await {
        read_instances(&instance).await;
    }
}

async fn read_instances(instance: &Rc<Instance>) {
    let Ok(listed) = instance.platform.instances().await else {
        instance.note_platform(false);
        return;
    };
    instance.note_platform(true);
    let live = listed.into_iter().filter(|i| i.phase == Phase::Live);
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
