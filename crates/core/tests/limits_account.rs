//! Tests of the token bucket of one team in one slot.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetsaddle_core::limits::Account;
use limpetsaddle_core::limits::MilliTokenRate;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::Tokens;
use proptest::prelude::*;
use yare::parameterized;

const BURST: u64 = 100;
const RATE: u64 = 10;

#[derive(Clone, Copy, Debug)]
enum Step {
    At(u64),
    Limits(u64, u64),
    Reserve(u64, u64),
    Settle(u64, u64),
    Grant(u64, u64),
    SettleGrant(u64, u64, u64),
}

use Step::At;
use Step::Grant;
use Step::Limits;
use Step::Reserve;
use Step::Settle;
use Step::SettleGrant;

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn apply(account: &mut Account, now: &mut Time, step: Step) -> bool {
    match step {
        At(millis) => {
            *now = at(millis);
            account.refill(*now);
        }
        Limits(rate, cap) => account.set_limits(MilliTokenRate(rate * 1_000), Tokens(cap), *now),
        Reserve(id, amount) => return account.reserve(id, Tokens(amount)),
        Settle(id, unused) => account.settle(id, Tokens(unused)),
        Grant(id, amount) => {
            let expires = *now + Duration::from_secs(3);
            return account.grant(id, Tokens(amount), expires);
        }
        SettleGrant(id, used, returned) => {
            account.settle_grant(id, Tokens(used), Tokens(returned));
        }
    }
    true
}

fn balances(account: &Account) -> [u64; 3] {
    [account.level(), account.granted(), account.refundable()].map(|t| t.0)
}

/// Each case lists steps, and the level, granted and refundable tokens after them.
#[parameterized(
    starts_empty = { &[], [0, 0, 0] },
    refills = { &[At(2_550)], [25, 0, 0] },
    refills_up_to_the_burst = { &[At(60_000)], [100, 0, 0] },
    accumulates_fractions_of_a_token = { &[At(50), At(99), At(150), At(201)], [2, 0, 0] },
    ignores_a_clock_that_goes_back = { &[At(2_000), At(1_000), At(2_000)], [20, 0, 0] },
    reserves = { &[At(10_000), Reserve(1, 60)], [40, 0, 60] },
    refuses_more_than_the_level = { &[At(1_000), Reserve(1, 11)], [10, 0, 0] },
    settles = { &[At(10_000), Reserve(1, 60), Settle(1, 20)], [60, 0, 0] },
    settles_once = { &[At(10_000), Reserve(1, 60), Settle(1, 20), Settle(1, 20)], [60, 0, 0] },
    refills_beside_a_reservation = { &[At(10_000), Reserve(1, 60), At(12_000)], [60, 0, 40] },
    dropped_refund = { &[At(10_000), Reserve(1, 60), At(14_000), Settle(1, 60)], [100, 0, 0] },
    oldest_refund_is_dropped_first = {
        &[At(10_000), Reserve(1, 30), Reserve(2, 30), At(13_000), Settle(1, 30), Settle(2, 30)],
        [100, 0, 0],
    },
    refund_is_limited_to_its_reservation = {
        &[At(10_000), Reserve(1, 100), At(20_000), Reserve(2, 100), Settle(1, 100)],
        [0, 0, 100],
    },
    grants = { &[At(10_000), Grant(1, 60), At(12_900)], [40, 60, 0] },
    expired_grant = { &[At(10_000), Grant(1, 60), At(13_000)], [40, 0, 60] },
    refills_after_expiry = { &[At(10_000), Grant(1, 60), At(14_000)], [50, 0, 50] },
    returned_grant = { &[At(10_000), Grant(1, 60), SettleGrant(1, 0, 25)], [65, 35, 0] },
    returns_at_most_the_grant = {
        &[At(10_000), Grant(1, 60), SettleGrant(1, 0, 90), SettleGrant(1, 0, 90)],
        [100, 0, 0],
    },
    used_grant = { &[At(10_000), Grant(1, 60), SettleGrant(1, 45, 5)], [45, 10, 0] },
    late_return = { &[At(10_000), Grant(1, 60), At(13_000), SettleGrant(1, 10, 20)], [60, 0, 30] },
    dropped_return = { &[At(10_000), Grant(1, 60), At(18_000), SettleGrant(1, 0, 60)], [100, 0, 0] },
    report_on_a_reservation = { &[At(10_000), Reserve(1, 60), SettleGrant(1, 0, 60)], [40, 0, 60] },
    settle_of_a_grant_number = { &[At(10_000), Grant(1, 60), At(13_000), Settle(1, 60)], [40, 0, 60] },
    return_of_unknown_grant = { &[At(10_000), Grant(1, 60), SettleGrant(2, 0, 60)], [40, 60, 0] },
    lower_burst_at_once = { &[At(10_000), Reserve(1, 40), Limits(10, 50)], [50, 0, 0] },
    higher_rate_at_once = { &[At(1_000), Limits(20, 100), At(2_000)], [30, 0, 0] },
)]
fn verify_account_balances(steps: &[Step], expected: [u64; 3]) {
    let mut account = Account::new(Time::ZERO);
    let mut now = Time::ZERO;
    apply(&mut account, &mut now, Limits(RATE, BURST));
    for step in steps {
        apply(&mut account, &mut now, *step);
    }
    assert_eq!(balances(&account), expected);
}

#[parameterized(
    now = { 10, Some(0) },
    soon = { 15, Some(500) },
    never = { 101, None },
)]
fn verify_time_until(amount: u64, expected: Option<u64>) {
    let mut account = Account::new(Time::ZERO);
    account.set_limits(MilliTokenRate(RATE * 1_000), Tokens(BURST), Time::ZERO);
    account.refill(at(1_000));
    let wait = account.time_until(Tokens(amount));
    assert_eq!(wait, expected.map(Duration::from_millis));
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..90).prop_map(|n| Reserve(0, n)),
        (0_u64..20, 0_u64..90).prop_map(|(i, n)| Settle(i, n)),
        (1_u64..90).prop_map(|n| Grant(0, n)),
        (0_u64..20, 0_u64..90, 0_u64..90).prop_map(|(i, u, r)| SettleGrant(i, u, r)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// After any sequence of steps, the use of reservations in any interval is at
    /// most the burst plus the refill in it.
    #[test]
    fn verify_bound_of_account(
        steps in prop::collection::vec((0_u64..4_000, any_step()), 1..60),
    ) {
        let mut account = Account::new(Time::ZERO);
        account.set_limits(MilliTokenRate(RATE * 1_000), Tokens(BURST), Time::ZERO);
        let mut now = Time::ZERO;
        let mut millis = 0;
        let mut held = BTreeMap::new();
        let mut history = Vec::new();
        for (index, (pause, step)) in (0_u64..).zip(steps) {
            millis += pause;
            apply(&mut account, &mut now, At(millis));
            match step {
                Reserve(_, amount) => {
                    if apply(&mut account, &mut now, Reserve(index, amount)) {
                        held.insert(index, (history.len(), amount));
                        history.push((now, amount));
                    }
                }
                Settle(index, unused) => {
                    if let Some((at, amount)) = held.remove(&index) {
                        history[at].1 -= unused.min(amount);
                        apply(&mut account, &mut now, Settle(index, unused));
                    }
                }
                Grant(_, amount) => drop(apply(&mut account, &mut now, Grant(index, amount))),
                other => drop(apply(&mut account, &mut now, other)),
            }
            prop_assert!(balances(&account).iter().sum::<u64>() <= BURST);
        }
        let mut level = u128::from(BURST) * 1_000;
        let mut last = Time::ZERO;
        for (when, used) in history {
            level += u128::from(RATE) * when.since(last).as_millis();
            level = level.min(u128::from(BURST) * 1_000);
            last = when;
            prop_assert!(level >= u128::from(used) * 1_000);
            level -= u128::from(used) * 1_000;
        }
    }
}
