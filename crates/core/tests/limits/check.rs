//! Check of the limit over all intervals of a recorded history.

use limpetsaddle_core::units::Time;

/// An admission, with the largest limits in force at any instance at that time.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    pub at: Time,
    pub used: u64,
    pub rate: u64,
    pub burst: u64,
}

/// Returns the first admission that exceeds the limit of some interval.
///
/// A token bucket that is full at the start and never runs empty bounds all
/// intervals.
pub fn first_excess(history: &[Admission]) -> Option<Admission> {
    let mut level: u128 = u128::MAX;
    let mut last = Time::ZERO;
    for admission in history {
        let capacity = u128::from(admission.burst) * 1_000_000_000;
        let refill = u128::from(admission.rate) * admission.at.since(last).as_nanos();
        level = level.saturating_add(refill).min(capacity);
        last = admission.at;
        let used = u128::from(admission.used) * 1_000_000_000;
        match level.checked_sub(used) {
            Some(rest) => level = rest,
            None => return Some(*admission),
        }
    }
    None
}
