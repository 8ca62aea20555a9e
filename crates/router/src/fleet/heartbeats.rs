//! Beacons to and from the other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::beacon::Beacon;
use limpetsaddle_fleet::beacon::ConfigurationNews;
use limpetsaddle_fleet::beacon::NamedNews;
use limpetsaddle_fleet::beacon::TeamUse;
use limpetsaddle_fleet::beacon::name_hash;
use limpetsaddle_fleet::store_watch::StoreWatch;
use log::info;
use log::warn;
use monoio::net::udp::UdpSocket;

use super::instance::FleetInstance;
use crate::clock::millis;
use crate::errors::Error;
use crate::errors::Result;
use crate::shutdown::Stopping;

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// The number of beacons that are sent at once.
const AT_ONCE: usize = 21;

/// The pause after an error of the socket, so that a lasting one costs little.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// Starts the tasks that send and take beacons.
///
/// # Errors
///
/// Returns [`Error::Listen`] when the port cannot be bound.
pub fn start(instance: &Rc<FleetInstance>, stopping: &Stopping) -> Result<()> {
    let settings = &instance.settings;
    let address = (settings.ip, settings.beacon_port).into();
    let socket = UdpSocket::bind(address);
    let socket = socket.map_err(|source| Error::Listen { address, source })?;
    let socket = Rc::new(socket);
    monoio::spawn(listen(Rc::clone(instance), Rc::clone(&socket)));
    monoio::spawn(tell(Rc::clone(instance), socket, stopping.clone()));
    Ok(())
}

async fn listen(instance: Rc<FleetInstance>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (read, back) = socket.recv_from(buf).await;
        buf = back;
        match read {
            Ok((length, _)) => take(&instance, &buf[..length]),
            Err(error) => {
                warn!(error:display; "no beacon could be read");
                monoio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

fn take(instance: &FleetInstance, datagram: &[u8]) {
    let beacon = match Beacon::decode(datagram) {
        Ok(beacon) => beacon,
        Err(error) => {
            warn!(error:display; "datagram dropped");
            return;
        }
    };
    let now = instance.now();
    let reports = instance.peers.borrow_mut().hear(&beacon, now);
    if !reports.is_new {
        return;
    }
    take_confirmation(instance, &beacon);
    for report in &reports.used {
        if let Some(team) = instance.team_name(report.team) {
            let mut limits = instance.limits.borrow_mut();
            limits.used_elsewhere(&team, report.used);
        }
    }
    for report in &reports.sent {
        instance.sent_elsewhere(report);
    }
    for news in &beacon.stores {
        instance.heard_store(*news);
    }
    let mut upstreams = instance.upstreams.borrow_mut();
    for news in &beacon.weights {
        upstreams.news(news, now);
    }
    take_named(instance, &beacon);
    for news in &beacon.leaving {
        if let Some(upstream) = upstreams.hear_leaving(news) {
            info!(upstream:display, from = beacon.sender.as_str(); "upstream leaves");
        }
    }
    let mut directory = instance.directory.borrow_mut();
    for news in &beacon.cached {
        directory.learn(news, now);
    }
}

async fn tell(instance: Rc<FleetInstance>, socket: Rc<UdpSocket>, stopping: Stopping) {
    let mut sequence = 0;
    let mut heard = 0;
    loop {
        sequence += 1;
        heard = attend(&instance, heard);
        if !send(&instance, &socket, &stopping, sequence).await {
            return;
        }
    }
}

/// Adapts the limits to the instances that are heard of, and returns how many
/// these are.
fn attend(instance: &FleetInstance, before: usize) -> usize {
    let now = instance.now();
    let attendance = instance.peers.borrow().attendance(now);
    instance.limits.borrow_mut().attend(attendance, now);
    if attendance.heard != before {
        let registered = attendance.registered;
        info!(heard = attendance.heard, registered; "instances heard of changed");
    }
    attendance.heard
}

/// Sends one beacon to all others, spread over the interval between two, and
/// returns whether to go on.
///
/// The datagrams of a large fleet are as many bytes as a narrow link carries in a
/// tenth of a second, for which answers to callers would wait.
async fn send(
    instance: &FleetInstance,
    socket: &UdpSocket,
    stopping: &Stopping,
    sequence: u64,
) -> bool {
    let interval = instance.peers.borrow().interval();
    // The stamps are taken here, as the age in the beacon counts from here too.
    let addressees: Vec<_> = instance.peers.borrow().addressees(instance.now()).collect();
    if addressees.is_empty() {
        return stopping.pause(interval).await;
    }
    let mut beacon = beacon(instance, sequence);
    let parts = addressees.chunks(AT_ONCE);
    let pause = interval / u32::try_from(parts.len()).unwrap_or(u32::MAX);
    for part in parts {
        for (address, echo_ms) in part {
            beacon.echo_ms = *echo_ms;
            match beacon.encode() {
                Ok(datagram) => send_to(socket, *address, datagram).await,
                Err(error) => warn!(error:display; "beacon not sent"),
            }
        }
        if !stopping.pause(pause).await {
            return false;
        }
    }
    true
}

async fn send_to(socket: &UdpSocket, address: SocketAddr, datagram: Vec<u8>) {
    if let (Err(error), _) = socket.send_to(datagram, address).await {
        // The next beacon repeats everything.
        log::debug!(address:display, error:display; "beacon not sent");
    }
}

fn beacon(instance: &FleetInstance, sequence: u64) -> Beacon {
    let now = instance.now();
    let limits = instance.limits.borrow();
    let teams = limits.spent().filter(|(_, spent)| *spent > 0);
    let teams = teams.map(|(name, spent)| TeamUse {
        team: name_hash(name),
        spent,
    });
    let upstreams = instance.upstreams.borrow();
    let mut beacon = Beacon::new(&instance.settings.name, instance.incarnation, sequence);
    beacon.stamp_ms = millis(now.from_start());
    beacon.configuration = ConfigurationNews {
        version: instance.configuration().map_or(0, |c| c.version),
        age_ms: age_ms(instance),
    };
    beacon.teams = teams.collect();
    beacon.loads = upstreams.loads();
    beacon.weights = upstreams.weights_news(now);
    let named = instance.named.borrow();
    let named = named.iter().map(|named| NamedNews {
        model: name_hash(&named.model),
        version: named.newest(),
    });
    beacon.named = named.collect();
    beacon.leaving = upstreams.leaving_news(now);
    beacon.services = instance.service_uses();
    let rank = instance.peers.borrow().rank(now);
    if StoreWatch::asks(rank) {
        beacon.stores = instance.kv_stores.borrow().news(now);
    }
    beacon.cached = instance.directory.borrow_mut().take_news();
    beacon
}

fn age_ms(instance: &FleetInstance) -> Option<u32> {
    let age = instance.freshness.borrow().age(instance.now())?;
    u32::try_from(age.as_millis()).ok()
}

/// Takes the weights that another instance has heard of: this one's own watch
/// may have fallen silent.
fn take_named(instance: &FleetInstance, beacon: &Beacon) {
    let now = instance.now();
    for news in &beacon.named {
        let mut named = instance.named.borrow_mut();
        let held = named.iter_mut().find(|n| name_hash(&n.model) == news.model);
        if let Some(held) = held
            && held.name(news.version, now)
        {
            let model = &held.model;
            let from = beacon.sender.as_str();
            info!(model:display, version = news.version, from; "weights named");
        }
    }
}

/// Takes another instance's confirmation of the configuration that is in force
/// here, or notes that there is a newer one.
fn take_confirmation(instance: &FleetInstance, beacon: &Beacon) {
    let news = beacon.configuration;
    let version = instance.configuration().map_or(0, |c| c.version);
    if news.version > version {
        instance.newer_configuration.set(true);
        return;
    }
    let confirmed = beacon.echo_ms.zip(news.age_ms);
    if let Some((stamp, age)) = confirmed.filter(|_| news.version == version) {
        let stamp = Time::from_origin(Duration::from_millis(stamp));
        let age = Duration::from_millis(u64::from(age));
        instance.freshness.borrow_mut().confirm_by_peer(stamp, age);
    }
}
