//! Sending and receiving of heartbeats.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt as _;
use futures::StreamExt as _;
use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::heartbeat::ConfigurationStatus;
use limpetsaddle_fleet::heartbeat::Datagram;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::TargetWeightsUpdate;
use limpetsaddle_fleet::heartbeat::TeamUsage;
use limpetsaddle_fleet::heartbeat::WeightsNotice;
use limpetsaddle_fleet::heartbeat::name_hash;
use limpetsaddle_fleet::kv_store_monitor::KvStoreMonitor;
use limpetsaddle_fleet::quarantine::QuarantineReport;
use limpetsaddle_fleet::weights::AgeSource;
use limpetsaddle_fleet::weights::Learned;
use limpetsaddle_fleet::weights::VersionAge;
use limpetsaddle_fleet::weights::reported_ages;
use log::info;
use log::warn;
use monoio::net::udp::UdpSocket;

use super::canary;
use super::instance::FleetInstance;
use super::pace;
use super::permits;
use super::reach;
use super::upstream_calls;
use crate::clock::millis;
use crate::errors::Error;
use crate::errors::Result;
use crate::shutdown::Stopping;

const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// The largest number of keys of cached parts in a heartbeat, which take up to six bytes each.
const MAX_CACHED_KEYS: usize = 4 * 1024;

/// The number of heartbeats that are sent in one burst.
const BURST_SIZE: usize = 21;

/// The time between two notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(120);

/// The heartbeats after which all withheld parts are reported again.
const REPEAT_HEARTBEATS: u32 = 10;

/// The pause after a socket error, so that a persistent error causes no busy
/// loop.
const ERROR_PAUSE: Duration = Duration::from_millis(100);

/// Starts the tasks that send and receive heartbeats.
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
    monoio::spawn(receive(Rc::clone(instance), Rc::clone(&socket)));
    monoio::spawn(send_notices(
        Rc::clone(instance),
        Rc::clone(&socket),
        stopping.clone(),
    ));
    monoio::spawn(send_quarantine_reports(
        Rc::clone(instance),
        Rc::clone(&socket),
        stopping.clone(),
    ));
    monoio::spawn(send_permit_messages(
        Rc::clone(instance),
        Rc::clone(&socket),
        stopping.clone(),
    ));
    monoio::spawn(send_periodically(
        Rc::clone(instance),
        socket,
        stopping.clone(),
    ));
    Ok(())
}

async fn receive(instance: Rc<FleetInstance>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (read, returned) = socket.recv_from(buf).await;
        buf = returned;
        match read {
            Ok((length, _)) => handle_datagram(&instance, &buf[..length]),
            Err(error) => {
                warn!(error:display; "cannot receive heartbeats");
                monoio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

fn handle_datagram(instance: &FleetInstance, datagram: &[u8]) {
    match Datagram::decode(datagram) {
        Ok(Datagram::Heartbeat(heartbeat, echo_ms)) => {
            handle_heartbeat(instance, &heartbeat, echo_ms);
        }
        Ok(Datagram::Notice(notice)) => handle_notice(instance, &notice),
        Ok(Datagram::Quarantine(report)) => handle_quarantine(instance, &report),
        Ok(Datagram::Permits(message)) => permits::handle(instance, &message),
        Err(error) => warn!(error:display; "dropping invalid datagram"),
    }
}

fn handle_notice(instance: &FleetInstance, notice: &WeightsNotice) {
    if !instance.peers.borrow().is_registered(&notice.sender) {
        return;
    }
    let now = instance.now();
    let mut upstreams = instance.upstreams.borrow_mut();
    for update in &notice.weights {
        upstreams.apply_weights(update, now);
    }
}

fn handle_quarantine(instance: &FleetInstance, report: &QuarantineReport) {
    if instance.peers.borrow().is_registered(&report.sender) {
        let now = instance.now();
        let mut quarantine = instance.quarantine.borrow_mut();
        let mut runs = instance.runs.borrow_mut();
        quarantine.apply_report(report, &mut runs, now);
    }
}

fn handle_heartbeat(instance: &FleetInstance, heartbeat: &Heartbeat, echo_ms: Option<u64>) {
    let now = instance.now();
    let delta = instance.peers.borrow_mut().record_heartbeat(heartbeat, now);
    if !delta.is_new {
        return;
    }
    if let Some(era) = heartbeat.store_era {
        instance.store.observe_era(era);
    }
    let mut lease = instance.lease.borrow_mut();
    lease.observe_fencing(heartbeat.fencing);
    drop(lease);
    canary::observe_peer(instance, heartbeat, echo_ms);
    apply_peer_read(instance, heartbeat);
    apply_confirmation(instance, heartbeat, echo_ms);
    let sender = name_hash(&heartbeat.sender);
    for usage in &delta.teams {
        if let Some(team) = instance.team_name(usage.team) {
            let mut limits = instance.limits.borrow_mut();
            limits.charge_report(sender, &team, usage.used, now);
        }
    }
    instance.limits.borrow_mut().record_heard(sender, now);
    for usage in &delta.services {
        instance.record_peer_requests(usage);
    }
    for report in &heartbeat.stores {
        instance.observe_kv_store(*report);
    }
    pace::apply(instance, heartbeat, now);
    let mut upstreams = instance.upstreams.borrow_mut();
    for report in &heartbeat.weights {
        upstreams.apply_weights(report, now);
    }
    apply_store_read(instance, heartbeat, echo_ms);
    apply_ages(instance, heartbeat, echo_ms);
    apply_target_weights(instance, heartbeat);
    for report in &heartbeat.leaving {
        if let Some(upstream) = upstreams.apply_leaving(report, now) {
            info!(upstream:display, from = heartbeat.sender.as_str(); "upstream draining");
        }
    }
    drop(upstreams);
    upstream_calls::log_changes(instance, "heartbeat");
    let mut directory = instance.directory.borrow_mut();
    for report in &heartbeat.cached {
        directory.apply_update(report, now);
    }
}

async fn send_periodically(instance: Rc<FleetInstance>, socket: Rc<UdpSocket>, stopping: Stopping) {
    let mut sequence = 0;
    let mut live = 0;
    loop {
        sequence += 1;
        live = update_peer_counts(&instance, live);
        permits::release(&instance);
        pace::refresh(&instance);
        if !send_round(&instance, &socket, &stopping, sequence).await {
            return;
        }
    }
}

/// Adapts the limits to the number of live instances, and returns that number.
fn update_peer_counts(instance: &FleetInstance, previous: usize) -> usize {
    let now = instance.now();
    let counts = {
        let mut peers = instance.peers.borrow_mut();
        peers.expire(now);
        peers.peer_counts(now)
    };
    instance.update_limits(now);
    if counts.live != previous {
        let registered = counts.registered;
        info!(live = counts.live, registered; "number of live instances changed");
    }
    counts.live
}

/// Sends one heartbeat to all peers, spread over the heartbeat interval, and
/// returns whether to continue.
///
/// In a large fleet, the datagrams sent at once would occupy a narrow link for a
/// tenth of a second and delay responses to callers.
async fn send_round(
    instance: &FleetInstance,
    socket: &UdpSocket,
    stopping: &Stopping,
    sequence: u64,
) -> bool {
    let interval = instance.peers.borrow().heartbeat_interval();
    // The echoed stamps and the age of the configuration count from the same
    // moment.
    let recipients: Vec<_> = instance
        .peers
        .borrow()
        .heartbeat_targets(instance.now())
        .collect();
    if recipients.is_empty() {
        return stopping.pause(interval).await;
    }
    let encoded = match build_heartbeat(instance, sequence).encode() {
        Ok(encoded) => encoded,
        Err(error) => {
            warn!(error:display; "cannot encode heartbeat");
            return stopping.pause(interval).await;
        }
    };
    let bursts = recipients.chunks(BURST_SIZE);
    let pause = interval / u32::try_from(bursts.len()).unwrap_or(u32::MAX);
    for burst in bursts {
        for (address, echo_ms) in burst {
            match encoded.for_recipient(*echo_ms) {
                Ok(datagram) => send_to(socket, *address, datagram).await,
                Err(error) => warn!(error:display; "cannot encode heartbeat"),
            }
        }
        if !stopping.pause(pause).await {
            return false;
        }
    }
    true
}

/// Sends notices of engines that are about to load weights while this instance
/// orders that, if heartbeats would be late.
async fn send_notices(instance: Rc<FleetInstance>, socket: Rc<UdpSocket>, stopping: Stopping) {
    while stopping.pause(NOTICE_INTERVAL).await {
        let now = instance.now();
        let interval = instance.peers.borrow().heartbeat_interval();
        if !instance.rollout.borrow().is_active() || interval <= NOTICE_INTERVAL {
            continue;
        }
        let weights = instance
            .upstreams
            .borrow()
            .weights_updates_within(NOTICE_INTERVAL * 2, now);
        if weights.is_empty() {
            continue;
        }
        let notice = WeightsNotice::new(&instance.settings.name, weights);
        let datagram = match notice.encode() {
            Ok(datagram) => datagram,
            Err(error) => {
                warn!(error:display; "cannot encode notice");
                continue;
            }
        };
        let recipients: Vec<_> = instance.peers.borrow().heartbeat_targets(now).collect();
        for (address, _) in recipients {
            send_to(&socket, address, datagram.clone()).await;
        }
    }
}

/// Sends permit requests and replies until the instance stops.
async fn send_permit_messages(
    instance: Rc<FleetInstance>,
    socket: Rc<UdpSocket>,
    stopping: Stopping,
) {
    let Some(mut datagrams) = instance.permits.take_datagrams() else {
        return;
    };
    let mut stopped = std::pin::pin!(stopping.closed().fuse());
    loop {
        let next = futures::select_biased! {
            () = stopped => None,
            next = datagrams.next() => next,
        };
        let Some((address, datagram)) = next else {
            return;
        };
        send_to(&socket, address, datagram).await;
    }
}

/// Sends what this instance knows of crashes and withheld parts as long as that is news.
async fn send_quarantine_reports(
    instance: Rc<FleetInstance>,
    socket: Rc<UdpSocket>,
    stopping: Stopping,
) {
    while stopping.pause(NOTICE_INTERVAL).await {
        for report in next_reports(&instance) {
            match report.encode() {
                Ok(datagram) => {
                    let now = instance.now();
                    let recipients: Vec<_> =
                        instance.peers.borrow().heartbeat_targets(now).collect();
                    for (address, _) in recipients {
                        send_to(&socket, address, datagram.clone()).await;
                    }
                }
                Err(error) => warn!(error:display; "cannot encode report of crashes"),
            }
        }
    }
}

/// Returns the due reports of crashes and withheld parts.
fn next_reports(instance: &FleetInstance) -> Vec<QuarantineReport> {
    let mut quarantine = instance.quarantine.borrow_mut();
    if !quarantine.has_reports() {
        return Vec::new();
    }
    let now = instance.now();
    let peers = instance.peers.borrow();
    let interval = peers.heartbeat_interval() * REPEAT_HEARTBEATS;
    let repeat_interval = peers.is_confirmer(now).then_some(interval);
    quarantine.take_reports(&instance.settings.name, repeat_interval, now)
}

async fn send_to(socket: &UdpSocket, address: SocketAddr, datagram: Vec<u8>) {
    if let (Err(error), _) = socket.send_to(datagram, address).await {
        // The next heartbeat repeats everything.
        log::debug!(address:display, error:display; "cannot send datagram");
    }
}

fn build_heartbeat(instance: &FleetInstance, sequence: u64) -> Heartbeat {
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
    heartbeat.store_era = instance.store.era();
    heartbeat.fencing = instance.lease.borrow().max_fencing();
    heartbeat.configuration = ConfigurationStatus {
        version: instance.configuration().map_or(0, |c| c.version),
        age_ms: configuration_age_ms(instance),
    };
    heartbeat.teams = teams.collect();
    heartbeat.loads = upstreams.local_loads();
    heartbeat.weights = upstreams.weights_updates(now);
    let targets = instance.target_weights.borrow();
    heartbeat.ages = reported_ages(&targets, instance.settings.bounds.max_weights_age, now);
    heartbeat.reach = reach::report(instance);
    heartbeat.read = instance.store.reads().borrow().report(now);
    let targets = targets.iter().map(|target| TargetWeightsUpdate {
        model: target.model_hash(),
        version: target.newest(),
    });
    heartbeat.named = targets.collect();
    heartbeat.leaving = upstreams.leaving_updates(now);
    heartbeat.services = instance.service_usage();
    let rank = instance.peers.borrow().rank(now);
    if KvStoreMonitor::is_prober(rank) {
        heartbeat.stores = instance.kv_stores.borrow().statuses(now);
    }
    heartbeat.cached = instance
        .directory
        .borrow_mut()
        .take_updates(MAX_CACHED_KEYS);
    drop(upstreams);
    pace::report(instance, &mut heartbeat);
    canary::add_report(instance, &mut heartbeat);
    heartbeat
}

fn configuration_age_ms(instance: &FleetInstance) -> Option<u32> {
    let age = instance.freshness.borrow().age(instance.now())?;
    u32::try_from(age.as_millis()).ok()
}

/// Returns the longest time that a heartbeat may have been under way: the peer has sent it
/// after this instance sent the echoed stamp.
fn max_delay(echo_ms: Option<u64>, now: Time) -> Option<Duration> {
    echo_ms.map(|ms| now.since(Time::from_origin(Duration::from_millis(ms))))
}

/// Applies a peer's read of the store, which bounds the ages of later changes.
fn apply_store_read(instance: &FleetInstance, heartbeat: &Heartbeat, echo_ms: Option<u64>) {
    let now = instance.now();
    if let Some((report, delay)) = heartbeat.read.zip(max_delay(echo_ms, now)) {
        let read = report.read(delay, now);
        instance
            .store_polls
            .borrow_mut()
            .record_peer_read(read.sent);
        instance.store.reads().borrow_mut().record(read);
    }
}

/// Applies the ages of target weights that a peer reports, which this instance
/// does not know if they were set before its start or while it was suspended.
fn apply_ages(instance: &FleetInstance, heartbeat: &Heartbeat, echo_ms: Option<u64>) {
    let now = instance.now();
    let max_delay = max_delay(echo_ms, now);
    let mut targets = instance.target_weights.borrow_mut();
    for report in &heartbeat.ages {
        let Some(target) = targets.iter_mut().find(|t| t.model_hash() == report.model) else {
            continue;
        };
        let age = report.age(max_delay);
        let learned = target.learn(report.version, age, AgeSource::Peer, now);
        let model = &target.model;
        let version = report.version;
        let from = heartbeat.sender.as_str();
        match learned {
            Learned::Newest => info!(model:display, version, from; "target weights changed"),
            Learned::Age => {
                let age_ms = age.most.map(millis);
                info!(model:display, version, age_ms:?, from; "age of target weights known");
            }
            Learned::Nothing => {}
        }
    }
}

/// Applies the target weights that a peer reports without an age, as this instance's own
/// watch may have silently failed.
fn apply_target_weights(instance: &FleetInstance, heartbeat: &Heartbeat) {
    let now = instance.now();
    for report in &heartbeat.named {
        let mut targets = instance.target_weights.borrow_mut();
        if targets.iter().all(|t| t.newest() >= report.version) {
            continue;
        }
        let known = targets.iter_mut().find(|t| t.model_hash() == report.model);
        if let Some(known) = known.filter(|target| target.newest() < report.version) {
            known.learn(report.version, VersionAge::UNKNOWN, AgeSource::Peer, now);
            let model = &known.model;
            let from = heartbeat.sender.as_str();
            info!(model:display, version = report.version, from; "target weights changed");
        }
    }
}

/// Records when the store has last answered a call of the peer, as far as the heartbeat shows.
///
/// The heartbeat may have been under way for long, which makes the call look later than it
/// was. That costs one poll at most.
fn apply_peer_read(instance: &FleetInstance, heartbeat: &Heartbeat) {
    let now = instance.now();
    let confirmed = heartbeat.configuration.age_ms.map(|age| {
        let age = Duration::from_millis(u64::from(age));
        Time::from_origin(now.since_origin().saturating_sub(age))
    });
    let read = heartbeat
        .read
        .map(|read| read.read(Duration::ZERO, now).sent);
    if let Some(at) = confirmed.max(read) {
        instance.store_polls.borrow_mut().record_peer_read(at);
    }
}

/// Applies a peer's confirmation of the current configuration, or records that
/// a newer one exists.
fn apply_confirmation(instance: &FleetInstance, heartbeat: &Heartbeat, echo_ms: Option<u64>) {
    let report = heartbeat.configuration;
    let version = instance.configuration().map_or(0, |c| c.version);
    let mut newer = instance.newer_versions.borrow_mut();
    if newer.record(report.version, version, instance.now()) {
        instance.newer_configuration.set(true);
        return;
    }
    let confirmed = echo_ms.zip(report.age_ms);
    if let Some((stamp, age)) = confirmed.filter(|_| report.version == version) {
        let stamp = Time::from_origin(Duration::from_millis(stamp));
        let age = Duration::from_millis(u64::from(age));
        instance.freshness.borrow_mut().confirm_by_peer(stamp, age);
    }
}
