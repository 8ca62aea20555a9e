//! Monotonic clocks and random numbers.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use limpetsaddle_core::hash::mix;
use limpetsaddle_core::units::Time;

/// A monotonic clock that starts with the process.
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
    /// Returns the time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::from_origin(self.origin.elapsed())
    }
}

/// A monotonic clock that starts with the machine and includes the time in which
/// it was suspended.
///
/// Leases and other grants with an expiry need this clock, as the grantor's time
/// continues while this machine is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspendClock;

impl SuspendClock {
    /// Returns the time since the machine was started.
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

/// Returns a duration in whole milliseconds.
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

/// A generator of pseudo-random numbers, which is not cryptographically secure.
///
/// Its numbers are used to spread load and delays, not for keys or secrets.
#[derive(Debug)]
pub struct Random {
    state: Cell<u64>,
}

impl Random {
    /// Returns a generator with a seed.
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

    /// Returns the next number of the sequence.
    pub fn draw(&self) -> u64 {
        let next = self.state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.state.set(next);
        mix(next)
    }
}
