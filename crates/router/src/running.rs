//! The requests in progress, and the wait for their end during a stop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use limpetsaddle_core::units::Time;
use log::warn;

/// The time between two looks at the requests in progress during a stop.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// A `RunningCount` is the number of requests in progress.
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

/// A `Running` counts a request as in progress for as long as it lives.
#[derive(Debug)]
pub struct Running(Rc<Cell<u64>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The `DrainOptions` are the times of a stop.
#[derive(Clone, Copy, Debug)]
pub struct DrainOptions {
    /// The time in which new connections are still served.
    pub lame_duck: Duration,
    /// The time that connections which were accepted last get for a request.
    pub last_request: Duration,
    /// The timeout time for the whole.
    pub timeout: Duration,
}

/// Drops `no_more` to end the acceptance of connections, and waits until every
/// request in progress has ended or the timeout time has passed.
pub async fn drain(
    count: &RunningCount,
    times: DrainOptions,
    now: impl Fn() -> Time,
    no_more: oneshot::Sender<()>,
) {
    let started = now();
    monoio::time::sleep(times.lame_duck.min(times.timeout)).await;
    drop(no_more);
    // Connections that were accepted last may be about to send a request.
    monoio::time::sleep(times.last_request).await;
    while count.get() > 0 {
        if now().since(started) >= times.timeout {
            warn!(running = count.get(); "the longest time for a stop has passed");
            return;
        }
        monoio::time::sleep(DRAIN_POLL).await;
    }
}
