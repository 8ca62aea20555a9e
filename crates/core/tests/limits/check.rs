//! The bound on every window of a recorded history.

use limpetsaddle_core::units::Time;

/// An admission, with the limits that were in force somewhere at its time.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    pub at: Time,
    pub used: u64,
    pub rate: u64,
    pub burst: u64,
}

/// Returns the first admission after which some window holds too many tokens.
///
/// A bucket that is full at the start and never runs dry is the same as a bound
/// on every window.
pub fn first_excess(history: &[Admission]) -> Option<Admission> {
    let mut level: u128 = u128::MAX;
    let mut last = Time::ZERO;
    for admission in history {
        let cap = u128::from(admission.burst) * 1_000_000_000;
        let minted = u128::from(admission.rate) * admission.at.since(last).as_nanos();
        level = level.saturating_add(minted).min(cap);
        last = admission.at;
        let used = u128::from(admission.used) * 1_000_000_000;
        match level.checked_sub(used) {
            Some(rest) => level = rest,
            None => return Some(*admission),
        }
    }
    None
}
