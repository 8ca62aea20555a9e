//! The engines that are compared for one prompt.
//!
//! What an instance knows of the other instances' requests is as old as their last
//! heartbeats. If all of them compared all engines, all would select the one that seemed
//! idle, and its queue would be full before the next heartbeat. The more requests are
//! placed between two heartbeats, the fewer engines, drawn at random, are compared for
//! each: with two of them, queues stay short although nothing newer is known.

use std::time::Duration;

use limpetsaddle_core::hash::mix;

use crate::upstreams::Upstream;

/// The requests per engine between two heartbeats up to which all engines are compared.
const MAX_UNSEEN_REQUESTS: f64 = 1.0;

/// The sample size as a fraction of the engines, times the requests per engine between two
/// heartbeats.
const SAMPLE_FACTOR: f64 = 0.1;

/// The minimum number of drawn engines.
const MIN_SAMPLE: usize = 2;

/// Returns the number of engines to compare for a request, of `engines` in all.
///
/// `rate` is the number of requests that all instances place per second, and `report_age` the
/// time between two heartbeats.
///
/// ```
/// use std::time::Duration;
///
/// use limpetsaddle_fleet::placement::sample_size;
///
/// assert_eq!(sample_size(18, 60.0, Duration::from_millis(100)), 18);
/// assert_eq!(sample_size(160, 640.0, Duration::from_secs(1)), 4);
/// ```
#[must_use]
pub fn sample_size(engines: usize, rate: f64, report_age: Duration) -> usize {
    let count = f64::from(u32::try_from(engines).unwrap_or(u32::MAX));
    let unseen = rate * report_age.as_secs_f64() / count.max(1.0);
    if unseen <= MAX_UNSEEN_REQUESTS {
        return engines;
    }
    let size = count * SAMPLE_FACTOR / unseen;
    truncate(size).clamp(MIN_SAMPLE.min(engines), engines)
}

/// The fraction of the upstreams, times the requests per upstream between two heartbeats, that
/// is compared if upstreams differ in speed. Then there are no ties that spread the requests
/// among idle upstreams: the fastest idle one is the same for all instances.
const UNEVEN_SAMPLE_FACTOR: f64 = 0.2;

/// Returns the number of upstreams to compare for a request if they differ in speed.
#[must_use]
pub fn uneven_sample_size(upstreams: usize, rate: f64, report_age: Duration) -> usize {
    let count = f64::from(u32::try_from(upstreams).unwrap_or(u32::MAX));
    let unseen = rate * report_age.as_secs_f64() / count.max(1.0);
    let size = truncate((count * UNEVEN_SAMPLE_FACTOR / unseen).min(count));
    let size = size.clamp(MIN_SAMPLE.min(upstreams), upstreams);
    size.min(sample_size(upstreams, rate, report_age))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the size is between zero and the number of engines"
)]
const fn truncate(size: f64) -> usize {
    size as usize
}

/// Returns `size` of the engines, drawn with `random`, and those for which `keep` holds.
pub fn sample(
    mut rows: Vec<&Upstream>,
    size: usize,
    random: u64,
    keep: impl Fn(&Upstream) -> bool,
) -> Vec<&Upstream> {
    if rows.len() <= size {
        return rows;
    }
    rows.sort_by_cached_key(|row| mix(row.hash ^ mix(random)));
    let (drawn, rest) = rows.split_at(size);
    let kept = rest.iter().copied().filter(|row| keep(row));
    drawn.iter().copied().chain(kept).collect()
}
