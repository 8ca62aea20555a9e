//! The observed speed of upstreams in heartbeats and logs.

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::SectionKind;
use limpetsaddle_fleet::pace::PaceUpdate;
use limpetsaddle_fleet::pace::WindowPart;
use limpetsaddle_fleet::speed::SpeedUpdate;
use log::info;
use log::warn;

use super::instance::FleetInstance;

/// The content of a heartbeat's section.
type Report = (Vec<SpeedUpdate>, Vec<PaceUpdate>);

/// Adds what this instance has observed of upstreams to a heartbeat.
pub fn report(instance: &FleetInstance, heartbeat: &mut Heartbeat) {
    let mut upstreams = instance.upstreams.borrow_mut();
    let report: Report = (
        upstreams.take_speed_updates(),
        upstreams.take_pace_updates(),
    );
    drop(upstreams);
    if report.0.is_empty() && report.1.is_empty() {
        return;
    }
    let sections = &mut heartbeat.sections;
    if let Err(error) = sections.add(SectionKind::Speed, &report) {
        warn!(error:display; "cannot encode speed of upstreams");
    }
}

/// Applies what a peer has observed of upstreams.
pub fn apply(instance: &FleetInstance, heartbeat: &Heartbeat, now: Time) {
    match heartbeat.sections.get::<Report>(SectionKind::Speed) {
        Ok(Some((speeds, paces))) => {
            let mut upstreams = instance.upstreams.borrow_mut();
            upstreams.apply_speeds(&speeds, now);
            upstreams.apply_paces(&paces, now);
        }
        Ok(None) => {}
        Err(error) => {
            let from = heartbeat.sender.as_str();
            warn!(from, error:display; "ignoring speed of upstreams");
        }
    }
}

/// Sets the limits of windows by the load that is known now, and logs changes.
pub fn refresh(instance: &FleetInstance) {
    let now = instance.now();
    {
        let peers = instance.peers.borrow();
        let live = u32::try_from(peers.peer_counts(now).live).unwrap_or(u32::MAX);
        let rank = peers.rank(now);
        let loads = peers.remote_loads(now);
        let mut upstreams = instance.upstreams.borrow_mut();
        upstreams.set_window_limits(&loads, WindowPart { rank, live }, now);
    }
    log_changes(instance);
    let changes = instance.upstreams.borrow_mut().take_pace_changes();
    for change in changes {
        let upstream: &str = &change.upstream;
        let cause = change.cause.code();
        instance.metrics.record_pace_change(cause);
        info!(upstream, cause, share = change.share; "window of upstream changed");
    }
}

/// Logs whether the upstreams of services have begun or ceased to differ in speed.
fn log_changes(instance: &FleetInstance) {
    let changes = instance.upstreams.borrow_mut().take_speed_changes();
    for change in changes {
        let service: &str = &change.service;
        let kind = change.kind.code();
        match change.spread {
            Some(spread) => {
                let deviation = spread.deviation();
                let unit_ms = spread.mean_ms();
                let times = change.unit_ms;
                info!(service, kind, deviation, unit_ms, times:debug; "upstreams differ in speed");
            }
            None => info!(service, kind; "upstreams equally fast"),
        }
    }
}
