//! Regular work of the blackboard: reports of grants, expiry, gauges.

use std::rc::Rc;
use std::time::Duration;

use crate::instance::Instance;
use crate::metrics::Level;
use crate::serve;
use crate::shutdown::Stopping;

/// The time between two ticks.
const PERIOD: Duration = Duration::from_millis(100);

/// The ticks between two records of the gauges.
const GAUGE_TICKS: u32 = 10;

/// Runs until the instance ends.
pub async fn run(instance: Rc<Instance>, stopping: Stopping) {
    let mut ticks = 0_u32;
    while stopping.pause(PERIOD).await {
        tick(&instance);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(GAUGE_TICKS) {
            record(&instance);
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
        // A caller that has left needs no answer.
        let _ = rejected.item.waiter.send(Err(rejected.refusal));
    }
    for report in reports {
        let instance = Rc::clone(instance);
        monoio::spawn(async move { serve::send_grant(&instance, report).await });
    }
    instance.serve_queue();
}

fn record(instance: &Instance) {
    let now = instance.now();
    let board = instance.board.borrow();
    let metrics = &instance.metrics;
    let revision = board.store.confirmation().map_or(0, |c| c.revision.0);
    metrics.set(Level::Revision, revision);
    let age = board.store.confirmation_age(now).unwrap_or(Duration::MAX);
    metrics.set(Level::PlatformAge, millis(age));
    metrics.set(
        Level::LivePeers,
        board.members.live_peers(now).count() as u64,
    );
    metrics.set(Level::LiveUpstreams, board.upstreams.live_count() as u64);
    metrics.set(Level::OwnedSlots, board.ledger.slots_owned() as u64);
    metrics.set(Level::Queued, board.queue.len() as u64);
    metrics.set(Level::Running, instance.running().get());
}

/// Returns a span in whole milliseconds.
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
