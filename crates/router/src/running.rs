//! The count of requests in progress and their draining during a stop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use limpetsaddle_core::units::Time;
use log::warn;

/// The interval at which the requests in progress are checked during a stop.
const DRAIN_POLL_PERIOD: Duration = Duration::from_millis(50);

/// A counter of requests in progress.
///
/// ```
/// use limpetsaddle_router::running::RunningCount;
///
/// let count = RunningCount::default();
/// let running = count.begin();
/// assert_eq!(count.get(), 1);
/// drop(running);
/// assert_eq!(count.get(), 0);
/// ```
#[derive(Debug, Default)]
pub struct RunningCount(Rc<Cell<u64>>);

impl RunningCount {
    /// Returns the number.
    #[must_use]
    pub fn get(&self) -> u64 {
        self.0.get()
    }

    /// Counts a request as in progress until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> Running {
        self.0.set(self.0.get() + 1);
        Running(Rc::clone(&self.0))
    }
}

/// A guard that counts a request as in progress until it is dropped.
#[derive(Debug)]
pub struct Running(Rc<Cell<u64>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The durations of the phases of a stop.
#[derive(Clone, Copy, Debug)]
pub struct DrainOptions {
    /// The time in which new connections are still accepted.
    pub lame_duck: Duration,
    /// The time in which open connections may start one more request.
    pub last_request: Duration,
    /// The time limit for the whole stop.
    pub timeout: Duration,
}

/// Stops the acceptance of connections by dropping `accepting`, and waits until no
/// request is in progress or the timeout has passed.
pub async fn drain(
    count: &RunningCount,
    options: DrainOptions,
    now: impl Fn() -> Time,
    accepting: oneshot::Sender<()>,
) {
    let started = now();
    monoio::time::sleep(options.lame_duck.min(options.timeout)).await;
    drop(accepting);
    // Open connections may be about to send a request.
    monoio::time::sleep(options.last_request).await;
    while count.get() > 0 {
        if now().since(started) >= options.timeout {
            warn!(running = count.get(); "the longest time for a stop has passed");
            return;
        }
        monoio::time::sleep(DRAIN_POLL_PERIOD).await;
    }
}
