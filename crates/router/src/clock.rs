//! The monotonic clock and the source of randomness of a process.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

/// A `Clock` tells the time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the present time on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::from_origin(self.origin.elapsed())
    }
}

/// A `SuspendClock` tells the time since the start of the machine, the time in
/// which it was suspended included.
///
/// Trust that others limit in time has to end on this clock: theirs went on.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspendClock;

impl SuspendClock {
    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Time {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Time::from_origin(Duration::new(seconds, nanos))
    }
}

/// Returns the time of day since the Unix epoch.
#[must_use]
pub fn time_of_day() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns a span in whole milliseconds.
///
/// ```
/// use std::time::Duration;
///
/// assert_eq!(limpetsaddle_router::clock::millis(Duration::from_secs(2)), 2_000);
/// ```
#[must_use]
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// A `Random` draws numbers from a seed that the operating system gave.
///
/// The numbers spread load and delays; keys and identities do not rest on them.
#[derive(Debug)]
pub struct Random {
    state: Cell<u64>,
}

impl Random {
    /// Returns a source whose sequence starts from `seed`.
    ///
    /// ```
    /// use limpetsaddle_router::clock::Random;
    ///
    /// let random = Random::from_seed(7);
    /// assert_ne!(random.draw(), random.draw());
    /// ```
    #[must_use]
    pub const fn from_seed(seed: u64) -> Self {
        Self {
            state: Cell::new(seed),
        }
    }

    /// Returns the next number.
    pub fn draw(&self) -> u64 {
        let next = self.state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.state.set(next);
        mix(next)
    }
}
