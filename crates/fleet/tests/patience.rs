//! Patience with silent upstreams.

use std::time::Duration;

use limpetsaddle_fleet::configuration::RouteKind;
use limpetsaddle_fleet::patience::PatienceOptions;
use yare::parameterized;

/// A silence of a sound upstream.
const SOUND_SILENCE: Duration = Duration::from_millis(1_100);

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const NOT_RESUMABLE: RouteKind = RouteKind::Stream { resumable: false };

#[parameterized(
    idempotent = { RouteKind::Idempotent, true },
    non_idempotent = { RouteKind::NonIdempotent, false },
    resumable = { RESUMABLE, true },
    not_resumable = { NOT_RESUMABLE, false },
)]
fn verify_only_what_may_run_again_is_tried_beside_a_silent_upstream(kind: RouteKind, tried: bool) {
    let patience = PatienceOptions::default();
    let remaining = Duration::from_secs(10);
    let wait = patience.until_response(kind, Duration::from_millis(100), remaining);
    assert_eq!(wait.is_some(), tried);
    assert!(wait.is_none_or(|wait| wait < remaining));
}

#[test]
fn verify_no_other_upstream_is_tried_when_no_time_is_left_for_it() {
    let patience = PatienceOptions::default();
    let short = Duration::from_millis(100);
    assert_eq!(
        patience.until_response(RouteKind::Idempotent, Duration::ZERO, short),
        None
    );
    assert_eq!(
        patience.until_response(RESUMABLE, Duration::ZERO, SOUND_SILENCE),
        None
    );
}

#[test]
fn verify_two_engines_overlap_for_less_than_is_permitted() {
    let permitted = Duration::from_millis(400);
    let overlap = PatienceOptions::default().overlap(RESUMABLE);
    assert!(overlap.is_some_and(|overlap| overlap < permitted));
    assert_eq!(
        PatienceOptions::default().overlap(RouteKind::Idempotent),
        None
    );
}
