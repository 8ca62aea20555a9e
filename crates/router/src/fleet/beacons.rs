//! Beacons to and from the other instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::heartbeat::ConfigurationStatus;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::TargetWeightsUpdate;
use limpetsaddle_fleet::heartbeat::TeamUsage;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::kv_store_monitor::KvStoreMonitor;
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
    let address = (settings.ip, settings.heartbeat_port).into();
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
    let heartbeat = match Heartbeat::decode(datagram) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            warn!(error:display; "datagram dropped");
            return;
        }
    };
    let now = instance.now();
    let reports = instance
        .peers
        .borrow_mut()
        .record_heartbeat(&heartbeat, now);
    if !reports.is_new {
        return;
    }
    take_confirmation(instance, &heartbeat);
    for report in &reports.teams {
        if let Some(team) = instance.team_name(report.team) {
            let mut limits = instance.limits.borrow_mut();
            limits.charge_remote(&team, report.used);
        }
    }
    for report in &reports.services {
        instance.sent_elsewhere(report);
    }
    for news in &heartbeat.stores {
        instance.heard_store(*news);
    }
    let mut upstreams = instance.upstreams.borrow_mut();
    for news in &heartbeat.weights {
        upstreams.apply_weights(news, now);
    }
    take_named(instance, &heartbeat);
    for news in &heartbeat.leaving {
        if let Some(upstream) = upstreams.apply_leaving(news) {
            info!(upstream:display, from = heartbeat.sender.as_str(); "upstream leaves");
        }
    }
    let mut directory = instance.directory.borrow_mut();
    for news in &heartbeat.cached {
        directory.apply_update(news, now);
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
    let peer_counts = instance.peers.borrow().peer_counts(now);
    instance
        .limits
        .borrow_mut()
        .set_peer_counts(peer_counts, now);
    if peer_counts.live != before {
        let registered = peer_counts.registered;
        info!(heard = peer_counts.live, registered; "instances heard of changed");
    }
    peer_counts.live
}

/// Sends one heartbeat to all others, spread over the interval between two, and
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
    // The stamps are taken here, as the age in the heartbeat counts from here too.
    let addressees: Vec<_> = instance
        .peers
        .borrow()
        .heartbeat_targets(instance.now())
        .collect();
    if addressees.is_empty() {
        return stopping.pause(interval).await;
    }
    let mut heartbeat = heartbeat(instance, sequence);
    let parts = addressees.chunks(AT_ONCE);
    let pause = interval / u32::try_from(parts.len()).unwrap_or(u32::MAX);
    for part in parts {
        for (address, echo_ms) in part {
            heartbeat.echo_ms = *echo_ms;
            match heartbeat.encode() {
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
        // The next heartbeat repeats everything.
        log::debug!(address:display, error:display; "beacon not sent");
    }
}

fn heartbeat(instance: &FleetInstance, sequence: u64) -> Heartbeat {
    let now = instance.now();
    let limits = instance.limits.borrow();
    let teams = limits.admitted_units().filter(|(_, spent)| *spent > 0);
    let teams = teams.map(|(name, spent)| TeamUsage {
        team: name_hash(name),
        spent,
    });
    let upstreams = instance.upstreams.borrow();
    let mut heartbeat = Heartbeat::new(&instance.settings.name, instance.incarnation, sequence);
    heartbeat.stamp_ms = millis(now.since_origin());
    heartbeat.configuration = ConfigurationStatus {
        version: instance.configuration().map_or(0, |c| c.version),
        age_ms: age_ms(instance),
    };
    heartbeat.teams = teams.collect();
    heartbeat.loads = upstreams.local_loads();
    heartbeat.weights = upstreams.weights_updates(now);
    let named = instance.named.borrow();
    let named = named.iter().map(|named| TargetWeightsUpdate {
        model: name_hash(&named.model),
        version: named.newest(),
    });
    heartbeat.named = named.collect();
    heartbeat.leaving = upstreams.leaving_updates(now);
    heartbeat.services = instance.service_uses();
    let rank = instance.peers.borrow().rank(now);
    if KvStoreMonitor::is_prober(rank) {
        heartbeat.stores = instance.kv_stores.borrow().statuses(now);
    }
    heartbeat.cached = instance.directory.borrow_mut().take_updates();
    heartbeat
}

fn age_ms(instance: &FleetInstance) -> Option<u32> {
    let age = instance.freshness.borrow().age(instance.now())?;
    u32::try_from(age.as_millis()).ok()
}

/// Takes the weights that another instance has heard of: this one's own watch
/// may have fallen silent.
fn take_named(instance: &FleetInstance, heartbeat: &Heartbeat) {
    let now = instance.now();
    for news in &heartbeat.named {
        let mut named = instance.named.borrow_mut();
        let held = named.iter_mut().find(|n| name_hash(&n.model) == news.model);
        if let Some(held) = held
            && held.set_version(news.version, now)
        {
            let model = &held.model;
            let from = heartbeat.sender.as_str();
            info!(model:display, version = news.version, from; "weights named");
        }
    }
}

/// Takes another instance's confirmation of the configuration that is in force
/// here, or notes that there is a newer one.
fn take_confirmation(instance: &FleetInstance, heartbeat: &Heartbeat) {
    let news = heartbeat.configuration;
    let version = instance.configuration().map_or(0, |c| c.version);
    if news.version > version {
        instance.newer_configuration.set(true);
        return;
    }
    let confirmed = heartbeat.echo_ms.zip(news.age_ms);
    if let Some((stamp, age)) = confirmed.filter(|_| news.version == version) {
        let stamp = Time::from_origin(Duration::from_millis(stamp));
        let age = Duration::from_millis(u64::from(age));
        instance.freshness.borrow_mut().confirm_by_peer(stamp, age);
    }
}
