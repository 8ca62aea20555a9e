//! Periodic work: grant reports, expiry of queued requests and gauges.

use std::rc::Rc;
use std::time::Duration;

use crate::instance::Instance;
use crate::metrics::GaugeKind;
use crate::serve;
use crate::shutdown::Stopping;

/// The interval between ticks.
const PERIOD: Duration = Duration::from_millis(100);

/// The interval in ticks at which the gauges are recorded.
const GAUGE_TICKS: u32 = 10;

/// Runs until the instance stops.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    let mut ticks = 0_u32;
    while stopping.pause(PERIOD).await {
        tick(&instance);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(GAUGE_TICKS) {
            record_gauges(&instance);
        }
    }
}

fn tick(instance: &Rc<Instance>) {
    let now = instance.now();
    let (reports, expired) = {
        let mut board = instance.board.borrow_mut();
        (board.ledger.tick(now), board.queue.expire(now))
    };
    for rejected in expired {
        // The send fails if the caller has disconnected.
        let _ = rejected.item.waiter.send(Err(rejected.refusal));
    }
    for report in reports {
        let instance = Rc::clone(instance);
        monoio::spawn(async move { serve::send_grant_request(&instance, report).await });
    }
    instance.serve_queue();
}

fn record_gauges(instance: &Instance) {
    let now = instance.now();
    let board = instance.board.borrow();
    let metrics = &instance.metrics;
    let revision = board.store.confirmation().map_or(0, |c| c.revision.0);
    metrics.set(GaugeKind::Revision, revision);
    let age = board.store.confirmation_age(now).unwrap_or(Duration::MAX);
    metrics.set(GaugeKind::PlatformAge, millis(age));
    metrics.set(
        GaugeKind::LivePeers,
        board.members.live_peers(now).count() as u64,
    );
    metrics.set(
        GaugeKind::LiveUpstreams,
        board.upstreams.live_count() as u64,
    );
    metrics.set(GaugeKind::OwnedSlots, board.ledger.slots_owned() as u64);
    metrics.set(GaugeKind::Queued, board.queue.len() as u64);
    metrics.set(GaugeKind::Running, instance.running().get());
}

/// Returns a duration in whole milliseconds.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
