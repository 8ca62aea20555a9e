//! Permits for upstreams that limit all instances together.

use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::availability::Source;
use limpetsaddle_fleet::limited_demand::LimitedDemand;
use limpetsaddle_fleet::limits::PeerCounts;
use limpetsaddle_fleet::outage::Outage;
use limpetsaddle_fleet::outage::WaitOptions;
use limpetsaddle_fleet::permit_issuer::Demand;
use limpetsaddle_fleet::permit_issuer::IssueRate;
use limpetsaddle_fleet::permit_issuer::Issued;
use limpetsaddle_fleet::permit_issuer::PermitIssuer;
use limpetsaddle_fleet::permits::Issue;
use limpetsaddle_fleet::permits::PERMIT_VALIDITY;
use limpetsaddle_fleet::permits::PermitPool;
use limpetsaddle_fleet::upstream_limit::LimitRecord;
use limpetsaddle_fleet::upstream_limit::RequestRate;
use proptest::prelude::*;

const ISSUE: Issue = Issue {
    issuer: 1,
    stamp_ms: 0,
};

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn rate(per_second: f64, live: usize) -> IssueRate {
    let counts = PeerCounts {
        registered: 9,
        live,
    };
    IssueRate::new(RequestRate::per_second(per_second), counts)
}

const fn one(priority: u8) -> Demand {
    Demand {
        wanted: 1,
        priority,
    }
}

/// Returns the permits issued to requests of each priority, one every 50 ms.
fn issued(issuer: &mut PermitIssuer, priorities: &[u8], seconds: u64) -> Vec<u32> {
    let mut counts = vec![0; priorities.len()];
    for step in 0..seconds * 20 {
        for (priority, count) in priorities.iter().zip(&mut counts) {
            let demand = one(*priority);
            let answer = issuer.issue(7, rate(2.0, 9), demand, Duration::ZERO, at(step * 50));
            if let Issued::Granted(granted) = answer {
                *count += u32::from(granted);
            }
        }
    }
    counts
}

#[test]
fn verify_urgent_requests_get_most_permits_and_starve_no_others() {
    let counts = issued(&mut PermitIssuer::default(), &[5, 1], 10);
    assert!(counts[1] >= 14, "{counts:?}");
    assert!((3..=5).contains(&counts[0]), "{counts:?}");
}

#[test]
fn verify_a_permit_is_kept_for_an_urgent_request_until_it_asks_again() {
    let mut issuer = PermitIssuer::default();
    let slow = rate(0.5, 9);
    let mut req =
        |priority, millis| issuer.issue(7, slow, one(priority), Duration::ZERO, at(millis));
    assert_eq!(req(0, 0), Issued::Granted(1));
    assert_eq!(req(0, 10), Issued::Denied(Duration::from_millis(1_990)));
    for millis in (100..2_000).step_by(100) {
        assert!(matches!(req(1, millis), Issued::Denied(_)));
    }
    assert!(matches!(req(1, 2_000), Issued::Denied(_)));
    assert_eq!(req(0, 2_010), Issued::Granted(1));
}

#[test]
fn verify_less_urgent_requests_get_what_urgent_ones_leave() {
    let counts = issued(&mut PermitIssuer::default(), &[5], 10);
    assert!(counts[0] >= 19, "{counts:?}");
}

#[test]
fn verify_a_new_issuer_waits_for_the_end_of_its_predecessor() {
    let mut issuer = PermitIssuer::default();
    let quiet = Duration::from_millis(600);
    let first = issuer.issue(7, rate(2.0, 9), one(1), quiet, at(0));
    assert_eq!(first, Issued::Denied(quiet));
    let early = issuer.issue(7, rate(2.0, 9), one(1), quiet, at(550));
    assert_eq!(early, Issued::Denied(Duration::from_millis(50)));
    let due = issuer.issue(7, rate(2.0, 9), one(1), quiet, at(650));
    assert_eq!(due, Issued::Granted(1));
    let next = issuer.issue(7, rate(2.0, 9), one(1), quiet, at(700));
    assert!(matches!(next, Issued::Denied(_)));
}

#[test]
fn verify_an_issuer_forgets_processes_that_are_gone() {
    let mut issuer = PermitIssuer::default();
    for process in 0..1_000 {
        issuer.issue(process, rate(2.0, 9), one(1), Duration::ZERO, at(process));
    }
    issuer.issue(7, rate(2.0, 9), one(1), Duration::ZERO, at(60_000));
    issuer.retain(|_| true, at(61_000));
    assert_eq!(issuer.len(), 1);
    issuer.retain(|_| false, at(61_000));
    assert!(issuer.is_empty());
}

#[test]
fn verify_the_sides_of_a_partition_issue_no_more_than_the_limit() {
    let mut sides = [(PermitIssuer::default(), 4), (PermitIssuer::default(), 5)];
    let mut issued = 0;
    for step in 0..400 {
        for (issuer, live) in &mut sides {
            let answer = issuer.issue(7, rate(3.0, *live), one(1), Duration::ZERO, at(step * 50));
            issued += u32::from(matches!(answer, Issued::Granted(_)));
        }
    }
    // Each side begins with one permit.
    assert!((58..=62).contains(&issued), "{issued} in 20 s");
}

#[test]
fn verify_a_permit_ends_when_its_ask_is_too_old() {
    let mut pool = PermitPool::default();
    pool.request(at(0)).unwrap();
    pool.grant(at(0), 1, ISSUE, at(100));
    let end = Time::ZERO + PERMIT_VALIDITY;
    assert!(pool.has_permit(at(399)));
    assert!(!pool.has_permit(end));
    assert!(pool.take(end).is_none());
}

#[test]
fn verify_a_reply_to_an_earlier_ask_is_ignored() {
    let mut pool = PermitPool::default();
    pool.request(at(0)).unwrap();
    pool.request(at(200)).unwrap();
    pool.grant(at(0), 1, ISSUE, at(210));
    pool.deny(at(0), Duration::from_secs(2), at(210));
    assert!(!pool.has_permit(at(210)));
    pool.grant(at(200), 1, ISSUE, at(220));
    assert!(pool.has_permit(at(220)));
}

#[test]
fn verify_a_permit_that_was_not_used_can_be_used_again() {
    let mut pool = PermitPool::default();
    pool.request(at(0)).unwrap();
    pool.grant(at(0), 1, ISSUE, at(5));
    let permit = pool.take(at(10)).unwrap();
    pool.put_back(permit);
    assert_eq!(pool.take(at(20)), Some(permit));
}

#[test]
fn verify_only_a_later_request_ends_a_limit() {
    let mut record = LimitRecord::default();
    let limit = RequestRate::per_second(2.0);
    record.limit(limit, at(100), Source::Answer);
    // Sent before the limit was learned, and answered after it.
    assert!(!record.lift(at(100)));
    assert!(record.lift(at(101)));
    // What another instance heard before.
    assert!(!record.limit(limit, at(90), Source::Peer));
    assert!(record.named().is_none());
    assert!(record.limit(limit, at(120), Source::Peer));
}

#[test]
fn verify_a_report_ends_a_limit_only_if_reports_name_it() {
    let mut record = LimitRecord::default();
    record.limit(RequestRate::per_second(2.0), at(100), Source::Answer);
    assert!(record.is_told_by(true));
    assert!(!record.is_told_by(false));
    record.record_unsigned();
    assert!(record.is_told_by(false));
}

#[test]
fn verify_refused_callers_return_at_the_rate_of_the_permits() {
    let mut demand = LimitedDemand::default();
    for number in 0..40 {
        demand.record_refusal(at(number * 20));
    }
    let after = |permits| demand.retry_after(Duration::from_millis(300), permits, at(800));
    assert_eq!(after(20), Duration::from_secs(2));
    assert_eq!(after(400), Duration::from_millis(300));
    assert_eq!(after(0), Duration::from_secs(10));
}

#[test]
fn verify_only_as_many_requests_wait_as_permits_will_come() {
    let mut demand = LimitedDemand::default();
    assert!(demand.may_wait(0));
    demand.begin_wait();
    assert!(!demand.may_wait(2));
    assert!(demand.may_wait(9));
    demand.end_wait();
    assert!(demand.may_wait(0));
}

#[test]
fn verify_a_request_that_may_not_queue_waits_only_for_a_reply() {
    let options = |may_queue| WaitOptions {
        left: Duration::from_secs(4),
        waited: Duration::ZERO,
        expected: Duration::from_millis(50),
        may_queue,
    };
    let mut requested = Outage::default();
    requested.add_permit(at(5), false);
    assert_eq!(
        requested.wait(&options(false), at(0), 0),
        Some(Duration::from_millis(5))
    );
    let mut denied = Outage::default();
    denied.add_permit(at(200), false);
    assert_eq!(denied.wait(&options(false), at(0), 0), None);
    assert_eq!(
        denied.wait(&options(true), at(0), 0),
        Some(Duration::from_millis(200))
    );
    assert_eq!(denied.wait(&options(true), at(0), 0).map(|_| ()), Some(()));
    let later = denied.retry_after(Duration::from_secs(3), at(0), 0);
    assert_eq!(later, Some(Duration::from_secs(3)));
}

proptest! {
    #[test]
    fn verify_no_window_has_more_permits_than_the_limit_allows(
        per_second in 0.1_f64..40.0,
        asks in prop::collection::vec((0_u64..300, 1_u16..20, 0_u8..9), 1..400),
    ) {
        let mut issuer = PermitIssuer::default();
        let mut now = 0;
        let mut times = Vec::new();
        for (pause, wanted, priority) in asks {
            now += pause;
            let demand = Demand { wanted, priority };
            let answer = issuer.issue(7, rate(per_second, 9), demand, Duration::ZERO, at(now));
            if let Issued::Granted(count) = answer {
                times.extend(std::iter::repeat_n(now, usize::from(count)));
            }
        }
        for start in &times {
            // Permits that were issued before the window may be used in it.
            let validity = u64::try_from(PERMIT_VALIDITY.as_millis()).unwrap();
            let end = start + 4_000 + validity;
            let issued = times.iter().filter(|at| (*start..end).contains(at)).count();
            let issued = f64::from(u32::try_from(issued).unwrap());
            prop_assert!(issued <= 1.5 * per_second * 4.0 + 5.0);
        }
    }
}
