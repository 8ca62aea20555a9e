//! Requests to a service none of whose upstreams is available.
//!
//! A request that could only wait for its deadline is refused at once, with the time at
//! which the first upstream has rested. If that is soon, waiting is better for the caller
//! than to come back.

use std::time::Duration;

use limpetsaddle_core::units::Time;

/// The longest time for which a request waits: another instance may serve the caller
/// sooner, as a rest binds one instance.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// The longest wait for the reply to a permit request.
const REPLY_WAIT: Duration = Duration::from_millis(20);

/// The fraction of the remaining time within which the response must be expected.
const USABLE_FRACTION: f64 = 0.8;

/// The fraction of the remaining rest over which requests are spread after its end.
const SPREAD_FRACTION: f64 = 0.25;

/// The shortest time over which requests are spread.
const MIN_SPREAD: Duration = Duration::from_millis(40);

/// The longest time over which requests are spread.
const MAX_SPREAD: Duration = Duration::from_secs(1);

/// The first wait of a stream that has begun.
const MIN_STREAM_WAIT: Duration = Duration::from_millis(200);

/// The longest wait of a stream that has begun.
const MAX_STREAM_WAIT: Duration = Duration::from_secs(1);

/// The state of a service that has no available upstream for a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outage {
    /// Whether an upstream that was attempted for the request is available to others.
    pub others_served: bool,
    /// The earliest end of a rest.
    pub first_end: Option<Time>,
    /// The earliest end of a rest among upstreams that were not attempted.
    pub first_untried: Option<Time>,
    /// The earliest time at which there may be a permit for an upstream with a limit.
    pub first_permit: Option<Time>,
}

/// The time that a request has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitOptions {
    /// The time to the deadline.
    pub left: Duration,
    /// The time for which the request has waited.
    pub waited: Duration,
    /// The time that the response is expected to take.
    pub expected: Duration,
    /// Whether the request may wait for a permit that was denied.
    pub may_queue: bool,
}

/// The waits of a stream that its caller has a part of, and that no upstream can continue now.
///
/// Such a stream can no longer be refused: it waits as long as it may still end in time. Each
/// wait is longer than the one before, as each may end with an attempt in vain.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_fleet::outage::StreamWaits;
///
/// let mut waits = StreamWaits::default();
/// let (left, expected) = (Duration::from_secs(3), Duration::from_millis(100));
/// let first = waits.next(left, expected).unwrap();
/// assert!(waits.next(left, expected).unwrap() > first);
/// assert_eq!(waits.next(Duration::from_millis(200), expected), None);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamWaits {
    number: u32,
}

impl StreamWaits {
    /// Returns whether the stream has not waited yet.
    #[must_use]
    pub const fn is_new(&self) -> bool {
        self.number == 0
    }

    /// Returns the next wait, or `None` if the rest of the stream would come too late after it.
    ///
    /// `left` is the time to the deadline, and `expected` that to the next event.
    pub fn next(&mut self, left: Duration, expected: Duration) -> Option<Duration> {
        let factor = 1_u32.checked_shl(self.number).unwrap_or(u32::MAX);
        let wait = MIN_STREAM_WAIT.saturating_mul(factor).min(MAX_STREAM_WAIT);
        let is_in_time = wait.saturating_add(expected) < left;
        self.number += u32::from(is_in_time);
        is_in_time.then_some(wait)
    }
}

impl Outage {
    /// Records the end of an upstream's rest.
    pub fn add_rest(&mut self, until: Time, is_tried: bool) {
        let earliest = |end: Option<Time>| end.map_or(until, |end| end.min(until));
        self.first_end = Some(earliest(self.first_end));
        if !is_tried {
            self.first_untried = Some(earliest(self.first_untried));
        }
    }

    /// Records the time at which there may be a permit for an upstream.
    pub fn add_permit(&mut self, until: Time, is_tried: bool) {
        if !is_tried {
            let earliest = self.first_permit.map_or(until, |first| first.min(until));
            self.first_permit = Some(earliest);
        }
    }

    /// Returns the time for which a request waits for the first rest to end or the first
    /// permit, or `None` if it is refused at once.
    ///
    /// `random` spreads requests that wait for the same end.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_core::units::Time;
    /// use limpetsaddle_fleet::outage::Outage;
    /// use limpetsaddle_fleet::outage::WaitOptions;
    ///
    /// let mut outage = Outage::default();
    /// let options = WaitOptions {
    ///     left: Duration::from_secs(3),
    ///     waited: Duration::ZERO,
    ///     expected: Duration::from_millis(100),
    ///     may_queue: true,
    /// };
    /// assert_eq!(outage.wait(&options, Time::ZERO, 7), None);
    /// outage.add_rest(Time::ZERO + Duration::from_millis(200), false);
    /// assert!(outage.wait(&options, Time::ZERO, 7).is_some());
    /// ```
    #[must_use]
    pub fn wait(&self, options: &WaitOptions, now: Time, random: u64) -> Option<Duration> {
        let rest = self.first_untried.map(|end| spread(end.since(now), random));
        let permit = self.first_permit.map(|at| at.since(now));
        let permit = permit.filter(|wait| options.may_queue || *wait <= REPLY_WAIT);
        let wait = rest.into_iter().chain(permit).min()?;
        let is_short = options.waited.saturating_add(wait) <= MAX_WAIT;
        let is_in_time =
            wait.saturating_add(options.expected) <= options.left.mul_f64(USABLE_FRACTION);
        (is_short && is_in_time).then_some(wait)
    }

    /// Returns the time after which a refused caller may retry, or `None` if no rest
    /// or permit determines it.
    ///
    /// `backlog` is the time in which permits will have come for the callers that were refused
    /// before.
    #[must_use]
    pub fn retry_after(&self, backlog: Duration, now: Time, random: u64) -> Option<Duration> {
        let permit = self.first_permit.map(|at| at.since(now).max(backlog));
        let rest = self.first_end.map(|end| end.since(now));
        let first = rest.into_iter().chain(permit).min();
        let first = first.filter(|_| !self.others_served)?;
        Some(spread(first, random))
    }
}

/// Returns the rest and a random part of the time over which requests are spread.
fn spread(rest: Duration, random: u64) -> Duration {
    let width = rest.min(MAX_SPREAD * 4).mul_f64(SPREAD_FRACTION);
    let draw = f64::from(u32::try_from(random >> 32).unwrap_or(0)) / f64::from(u32::MAX);
    rest.saturating_add(width.clamp(MIN_SPREAD, MAX_SPREAD).mul_f64(draw))
}
