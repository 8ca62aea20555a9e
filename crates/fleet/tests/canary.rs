//! Single failures of canary rollouts.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::canary::AnswerOutcome;
use limpetsaddle_fleet::canary::Canaries;
use limpetsaddle_fleet::canary::CanaryReport;
use limpetsaddle_fleet::canary::CanaryStatus;
use limpetsaddle_fleet::canary::Order;
use limpetsaddle_fleet::canary::Phase;
use limpetsaddle_fleet::canary::SentAttempt;
use limpetsaddle_fleet::canary::Side;
use limpetsaddle_fleet::canary::UpstreamVersion;
use limpetsaddle_fleet::heartbeat::MAX_SECTION_BYTES;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::settings::CanaryBounds;
use yare::parameterized;

const SERVICE: &str = "api";

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn upstreams(list: &[(&str, usize, u64)]) -> Vec<UpstreamVersion> {
    let all = list.iter().flat_map(|(version, count, born_ms)| {
        (0..*count).map(move |i| UpstreamVersion {
            id: format!("{version}-{i}").into(),
            version: (*version).into(),
            born_ms: *born_ms,
        })
    });
    all.collect()
}

fn order(target: &str, revision: u64) -> Order {
    Order {
        service: SERVICE.into(),
        target: target.into(),
        duration: Duration::from_secs(20),
        revision,
        age: Duration::ZERO,
    }
}

fn status(phase: Phase, target: &str) -> CanaryStatus {
    CanaryStatus {
        phase,
        target: target.into(),
    }
}

const TWO: PeerCounts = PeerCounts {
    registered: 2,
    live: 2,
};

/// Lets an instance hear its only peer.
fn hear(canaries: &mut Canaries, report: &CanaryReport, now: Time) {
    canaries.observe("peer", 1, report, Some(now), now);
    canaries.step(false, TWO, now);
}

/// Returns an instance that hears its peer, with ten upstreams of `v1` and five of `v2`.
fn started(now: Time) -> Canaries {
    let mut canaries = Canaries::new(CanaryBounds::default());
    canaries.record_orders_read();
    canaries.observe_upstreams(SERVICE, &upstreams(&[("v1", 10, 1), ("v2", 5, 2)]));
    hear(&mut canaries, &CanaryReport::default(), now);
    canaries
}

fn ordered(now: Time) -> Canaries {
    let mut canaries = started(now);
    canaries.apply_order(order("v2", 1), None, now);
    canaries
}

/// Sends a request wherever it is admitted.
fn send(canaries: &mut Canaries, now: Time) -> Option<SentAttempt> {
    let admission = canaries.admit(SERVICE, now);
    let id = admission.map_or(Some("v1-0".into()), |all| all.upstreams.first().cloned())?;
    canaries.record_sent(SERVICE, &id, now)
}

/// Returns how many of some requests are sent to the target.
fn exposed(canaries: &mut Canaries, requests: usize, now: Time) -> usize {
    let sent = (0..requests).filter_map(|_| send(canaries, now));
    sent.filter(|attempt| attempt.side == Side::Target).count()
}

fn answer(canaries: &mut Canaries, attempt: &SentAttempt, failed: bool, now: Time) {
    let latency = Duration::from_millis(10);
    let outcome = if failed {
        AnswerOutcome::Failed
    } else {
        AnswerOutcome::Answered { latency }
    };
    canaries.record_answer(attempt, "/", outcome, now);
    canaries.record_end(attempt.clone());
}

/// Sends requests until a failing target is found bad.
fn make_bad(canaries: &mut Canaries, now: Time) {
    for _ in 0..400 {
        if let Some(sent) = send(canaries, now) {
            answer(canaries, &sent, sent.side == Side::Target, now);
        }
    }
    canaries.step(false, TWO, now);
    assert!(
        canaries
            .state(SERVICE, now)
            .is_some_and(|state| state.is_bad)
    );
}

/// Guards against an allowance for each instance, which 295 instances or many restarts add up.
#[test]
fn verify_share_is_earned_before_it_is_used() {
    let mut canaries = ordered(at(0));
    assert_eq!(exposed(&mut canaries, 9, at(0)), 0);
    for requests in 10..2_000_usize {
        send(&mut canaries, at(0));
        let state = canaries.state(SERVICE, at(0)).expect("a rollout");
        assert!(
            state.sent_target * 10 <= state.sent,
            "{requests}: {state:?}"
        );
    }
    let state = canaries.state(SERVICE, at(0)).expect("a rollout");
    assert!(state.sent_target * 13 > state.sent, "{state:?}");
}

/// Guards against a burst at the target after a time in which it had no upstreams.
#[test]
fn verify_share_is_not_saved_up() {
    let mut canaries = ordered(at(0));
    canaries.observe_upstreams(SERVICE, &upstreams(&[("v1", 10, 1)]));
    exposed(&mut canaries, 1_000, at(0));
    canaries.observe_upstreams(SERVICE, &upstreams(&[("v1", 10, 1), ("v2", 5, 2)]));
    assert!(exposed(&mut canaries, 20, at(0)) <= 2);
}

/// Guards against attempts that never arrive and still earn a share.
#[test]
fn verify_attempts_that_never_arrive_earn_nothing() {
    let mut canaries = ordered(at(0));
    for _ in 0..500 {
        let sent = send(&mut canaries, at(0)).expect("an upstream");
        assert_eq!(sent.side, Side::Base);
        canaries.record_unsent(&sent, at(0));
        canaries.record_end(sent);
    }
}

/// Guards against requests that were admitted before a verdict and are sent after it.
#[test]
fn verify_permission_is_checked_when_sending() {
    let mut canaries = ordered(at(0));
    let mut admission = None;
    while admission.is_none() {
        let next = canaries.admit(SERVICE, at(0)).expect("a restriction");
        if next.side == Side::Target {
            admission = Some(next);
        } else {
            send(&mut canaries, at(0));
        }
    }
    let id = admission.map(|all| all.upstreams[0].clone()).expect("one");
    let mut bad = ordered(at(0));
    make_bad(&mut bad, at(0));
    let report = bad.report(at(0));
    hear(&mut canaries, &report, at(1));
    assert_eq!(canaries.record_sent(SERVICE, &id, at(1)), None);
}

/// Guards against an instance that was suspended or cut off and would not know of a verdict, also
/// where heartbeats of before are read late.
#[test]
fn verify_permission_expires_without_peers() {
    let mut canaries = ordered(at(0));
    assert!(exposed(&mut canaries, 100, at(2_400)) > 0);
    assert_eq!(exposed(&mut canaries, 100, at(2_500)), 0);
    canaries.observe(
        "peer",
        1,
        &CanaryReport::default(),
        Some(at(100)),
        at(60_000),
    );
    canaries.step(false, TWO, at(60_000));
    assert_eq!(exposed(&mut canaries, 100, at(60_000)), 0);
    hear(&mut canaries, &CanaryReport::default(), at(60_000));
    assert!(exposed(&mut canaries, 100, at(60_000)) > 0);
}

/// Guards against the smaller side of a partition, which would not learn of a verdict.
#[parameterized(
    half = { 4, true },
    less_than_half = { 3, false },
)]
fn verify_permission_needs_half_of_the_peers(heard: usize, is_permitted: bool) {
    let mut canaries = ordered(at(0));
    for i in 1..heard {
        let name = format!("peer-{i}");
        canaries.observe(&name, 1, &CanaryReport::default(), Some(at(0)), at(0));
    }
    let peers = PeerCounts {
        registered: 9,
        live: 9,
    };
    canaries.step(false, peers, at(0));
    assert_eq!(exposed(&mut canaries, 100, at(0)) > 0, is_permitted);
}

/// Guards against requests to a version before, after and without its order.
#[test]
fn verify_no_request_goes_to_a_version_without_an_order() {
    let mut canaries = started(at(0));
    assert_eq!(exposed(&mut canaries, 100, at(0)), 0);
    assert_eq!(canaries.record_sent(SERVICE, "v2-0", at(0)), None);
    canaries.apply_order(order("v2", 1), None, at(0));
    assert!(exposed(&mut canaries, 100, at(0)) > 0);
    canaries.withdraw_order(SERVICE, at(0));
    assert_eq!(exposed(&mut canaries, 100, at(0)), 0);
    canaries.apply_order(order("v3", 2), None, at(0));
    assert_eq!(exposed(&mut canaries, 100, at(0)), 0);
    assert_eq!(canaries.record_sent(SERVICE, "v2-0", at(0)), None);
}

/// Guards against a restarted instance that has not read the orders, or that forgets a rollback.
#[test]
fn verify_a_restarted_instance_sends_nothing_to_other_versions() {
    let mut canaries = Canaries::new(CanaryBounds::default());
    canaries.observe_upstreams(SERVICE, &upstreams(&[("v1", 2, 1), ("v2", 2, 2)]));
    assert!(send(&mut canaries, at(0)).is_none());
    assert_eq!(canaries.record_sent(SERVICE, "v1-0", at(0)), None);
    let rolled_back = status(Phase::RolledBack, "v2");
    canaries.apply_order(order("v2", 1), Some(&rolled_back), at(0));
    canaries.record_orders_read();
    hear(&mut canaries, &CanaryReport::default(), at(0));
    assert_eq!(exposed(&mut canaries, 100, at(0)), 0);
    assert_eq!(canaries.record_sent(SERVICE, "v2-0", at(0)), None);
    // Not even if no other upstreams are left.
    canaries.observe_upstreams(SERVICE, &upstreams(&[("v2", 2, 2)]));
    assert!(send(&mut canaries, at(0)).is_none());
    assert_eq!(canaries.record_sent(SERVICE, "v2-0", at(0)), None);
}

/// Guards against old upstreams that get requests after the end of a rollout.
#[test]
fn verify_the_completed_version_is_in_force() {
    let mut canaries = started(at(0));
    let completed = status(Phase::Completed, "v2");
    canaries.apply_order(order("v2", 1), Some(&completed), at(0));
    assert_eq!(canaries.record_sent(SERVICE, "v1-0", at(0)), None);
    let sent = canaries.record_sent(SERVICE, "v2-0", at(0));
    assert!(sent.is_some_and(|sent| sent.side == Side::Base));
}

/// Guards against old upstreams that restart during a rollout, are younger than the new ones then
/// and are taken for the target, or the target for the version in force.
#[test]
fn verify_restarts_of_old_upstreams_change_no_version() {
    let mut canaries = ordered(at(0));
    let restarted = upstreams(&[("v1", 10, 3), ("v2", 5, 2)]);
    canaries.observe_upstreams(SERVICE, &restarted);
    assert!(exposed(&mut canaries, 200, at(0)) <= 20);
    let mut other = Canaries::new(CanaryBounds::default());
    other.record_orders_read();
    other.apply_order(order("v2", 1), None, at(0));
    other.observe_upstreams(SERVICE, &restarted);
    assert!(exposed(&mut other, 200, at(0)) <= 20);
}

/// Guards against a verdict that ends with the instance which reached it: instances report it
/// on, and the next holder of the lease records it, whatever the status says.
#[test]
fn verify_a_verdict_is_reported_on_and_recorded_by_a_successor() {
    let mut first = ordered(at(0));
    make_bad(&mut first, at(100));
    let mut second = ordered(at(0));
    hear(&mut second, &first.report(at(100)), at(200));
    let mut third = ordered(at(0));
    hear(&mut third, &second.report(at(200)), at(300));
    assert_eq!(exposed(&mut third, 200, at(300)), 0);
    let running = status(Phase::Canary, "v2");
    third.apply_order(order("v2", 1), Some(&running), at(400));
    assert_eq!(exposed(&mut third, 200, at(400)), 0);
    let writes = third.step(true, TWO, at(400));
    assert_eq!(writes.len(), 1);
    assert_eq!(writes[0].status, status(Phase::RolledBack, "v2"));
}

/// Guards against a verdict on an order that is held against a later order.
#[test]
fn verify_a_later_order_is_judged_anew() {
    let mut canaries = ordered(at(0));
    make_bad(&mut canaries, at(100));
    let report = canaries.report(at(100));
    canaries.apply_order(order("v2", 2), None, at(200));
    hear(&mut canaries, &report, at(200));
    assert!(exposed(&mut canaries, 100, at(200)) > 0);
}

/// Guards against a common cause that is taken for a fault of the target.
#[test]
fn verify_failures_of_both_versions_are_no_evidence() {
    let mut canaries = ordered(at(0));
    for i in 0..2_000_u32 {
        if let Some(sent) = send(&mut canaries, at(0)) {
            answer(&mut canaries, &sent, i % 3 > 0, at(0));
        }
    }
    canaries.step(false, TWO, at(0));
    assert!(canaries.state(SERVICE, at(0)).is_some_and(|s| !s.is_bad));
}

/// Guards against a status that is lost with the store's latest writes: peers report the phase,
/// and the holder of the lease writes it again.
#[parameterized(
    moving = { Phase::Moving },
    completed = { Phase::Completed },
    rolled_back = { Phase::RolledBack },
)]
fn verify_a_lost_status_is_written_again(phase: Phase) {
    let mut knowing = ordered(at(0));
    let known = status(phase, "v2");
    knowing.apply_order(order("v2", 1), Some(&known), at(100));
    let mut holder = ordered(at(0));
    hear(&mut holder, &knowing.report(at(100)), at(200));
    assert!(holder.needs_lease());
    let writes = holder.step(true, TWO, at(300));
    assert_eq!(writes.first().map(|write| &write.status), Some(&known));
    holder.apply_order(order("v2", 1), Some(&known), at(400));
    assert_eq!(holder.step(true, TWO, at(500)), []);
}

/// Guards against an order for a version that never starts and is never ended, or too early.
#[test]
fn verify_an_order_without_upstreams_waits_until_shortly_before_its_deadline() {
    let mut canaries = started(at(0));
    canaries.apply_order(order("v9", 1), None, at(0));
    let mut written = Vec::new();
    for millis in (0..20_000).step_by(100) {
        hear(&mut canaries, &CanaryReport::default(), at(millis));
        for write in canaries.step(true, TWO, at(millis)) {
            canaries.apply_order(order("v9", 1), Some(&write.status), at(millis));
            written.push((write.status.phase, millis));
        }
    }
    assert!(
        matches!(
            written[..],
            [(Phase::Canary, 0), (Phase::RolledBack, 19_000..)]
        ),
        "{written:?}"
    );
}

/// Guards against an instance that has just started and takes the order for a new one.
#[test]
fn verify_the_age_of_an_order_is_learned_from_peers() {
    let mut old = ordered(at(0));
    let mut canaries = ordered(at(18_000));
    hear(&mut canaries, &old.report(at(19_500)), at(18_000));
    let writes = canaries.step(true, TWO, at(18_000));
    assert_eq!(writes[0].status.phase, Phase::RolledBack);
}

/// Guards against rollouts of other services that are disturbed.
#[test]
fn verify_services_are_independent() {
    let mut canaries = ordered(at(0));
    canaries.observe_upstreams("other", &upstreams(&[("v1", 2, 1)]));
    make_bad(&mut canaries, at(0));
    assert_eq!(canaries.admit("other", at(0)), None);
    assert_eq!(canaries.admit("unknown", at(0)), None);
    assert!(canaries.record_sent("other", "v1-0", at(0)).is_some());
    assert!(canaries.record_sent("unknown", "x", at(0)).is_some());
}

/// Guards against a canary that is spread so thinly that faults under load don't show, or so
/// narrowly that a sound version is overloaded.
#[parameterized(
    few_old = { 5, 5, 1, 0.09 },
    many_old = { 100, 50, 10, 0.09 },
    few_new = { 100, 1, 1, 0.011 },
)]
fn verify_the_load_of_the_canary_is_that_of_old_upstreams(
    old: usize,
    new: usize,
    selected: usize,
    share: f64,
) {
    let mut canaries = ordered(at(0));
    canaries.observe_upstreams(SERVICE, &upstreams(&[("v1", old, 1), ("v2", new, 2)]));
    let mut ids = std::collections::BTreeSet::new();
    let mut count = 0_u32;
    for _ in 0..10_000 {
        let admission = canaries.admit(SERVICE, at(0)).expect("a restriction");
        if admission.side == Side::Target {
            count += 1;
            ids.extend(admission.upstreams.iter().cloned());
        }
        send(&mut canaries, at(0));
    }
    assert_eq!(ids.len(), selected);
    let observed = f64::from(count) / 10_000.0;
    assert!((observed - share).abs() < 0.002, "{observed}");
}

/// Guards against reports that outgrow their section of the heartbeat.
#[test]
fn verify_reports_are_bounded() {
    let mut canaries = started(at(0));
    let all = upstreams(&[("v1", 2, 1), ("v2", 2, 2)]);
    for service in 0..100 {
        let name = format!("service-{service}");
        canaries.observe_upstreams(&name, &all);
        let mut order = order("v2", 1);
        order.service = name.as_str().into();
        canaries.apply_order(order, None, at(0));
        for route in 0..100 {
            let sent = canaries.record_sent(&name, "v1-0", at(0)).expect("one");
            let outcome = AnswerOutcome::Failed;
            canaries.record_answer(&sent, &format!("/{route}"), outcome, at(0));
        }
    }
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let report = canaries.report(at(0));
        let encoded = postcard::to_stdvec(&report).expect("an encoding");
        assert!(encoded.len() <= MAX_SECTION_BYTES, "{}", encoded.len());
        let detailed = report.rollouts.iter().filter(|r| !r.routes.is_empty());
        reported.extend(detailed.map(|rollout| rollout.order));
    }
    assert_eq!(reported.len(), 100);
}
