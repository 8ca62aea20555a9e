//! The observed speed of upstreams in heartbeats and logs.

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::heartbeat::Heartbeat;
use limpetsaddle_fleet::heartbeat::SectionKind;
use limpetsaddle_fleet::speed::SpeedUpdate;
use log::info;
use log::warn;

use super::instance::FleetInstance;

/// Adds this instance's samples of the speed of upstreams to a heartbeat.
pub fn report(instance: &FleetInstance, heartbeat: &mut Heartbeat) {
    let updates = instance.upstreams.borrow_mut().take_speed_updates();
    log_changes(instance);
    if updates.is_empty() {
        return;
    }
    let sections = &mut heartbeat.sections;
    if let Err(error) = sections.add(SectionKind::Speed, &updates) {
        warn!(error:display; "cannot encode speed of upstreams");
    }
}

/// Applies a peer's samples of the speed of upstreams.
pub fn apply(instance: &FleetInstance, heartbeat: &Heartbeat, now: Time) {
    match heartbeat
        .sections
        .get::<Vec<SpeedUpdate>>(SectionKind::Speed)
    {
        Ok(Some(updates)) => instance.upstreams.borrow_mut().apply_speeds(&updates, now),
        Ok(None) => {}
        Err(error) => {
            let from = heartbeat.sender.as_str();
            warn!(from, error:display; "ignoring speed of upstreams");
        }
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
