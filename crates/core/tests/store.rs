//! Tests of the configuration store.

mod sync_support;

use std::time::Duration;

use limpetsaddle_core::config::Object;
use limpetsaddle_core::config::PoolKind;
use limpetsaddle_core::config::PoolSpec;
use limpetsaddle_core::config::Preset;
use limpetsaddle_core::config::PresetsSpec;
use limpetsaddle_core::config::SlotTable;
use limpetsaddle_core::config::Spec;
use limpetsaddle_core::config::UpstreamSpec;
use limpetsaddle_core::errors::Error;
use limpetsaddle_core::store::ConfigStore;
use limpetsaddle_core::store::DigestRequest;
use limpetsaddle_core::store::MergeOutcome;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use yare::parameterized;

use crate::sync_support::at;
use crate::sync_support::object;
use crate::sync_support::route;
use crate::sync_support::team;

fn echo(revision: u64, cost: u64) -> Object {
    object("route/echo", revision, Some(route("/echo", cost)))
}

fn retired(revision: u64) -> Object {
    object("route/echo", revision, None)
}

fn cost(store: &ConfigStore) -> Option<u64> {
    store.route(&"echo".parse().unwrap()).map(|r| r.cost.0)
}

#[parameterized(
    in_order = { vec![echo(1, 1), echo(2, 2)], Some(2), 2, 0, 0 },
    watch_reorders = { vec![echo(2, 2), echo(1, 1)], Some(2), 1, 1, 0 },
    watch_repeats = { vec![echo(1, 1), echo(1, 1)], Some(1), 1, 0, 0 },
    watch_skips = { vec![echo(1, 1), echo(9, 9)], Some(9), 2, 0, 0 },
    stale_copy_after_retirement = { vec![echo(1, 1), retired(3), echo(2, 2)], None, 2, 1, 0 },
    retirement_before_object = { vec![retired(3), echo(1, 1)], None, 1, 1, 0 },
    created_again = { vec![echo(1, 1), retired(2), echo(3, 3)], Some(3), 3, 0, 0 },
    invalid_path = { vec![echo(1, 1), object("route/echo", 2, Some(route("echo", 2)))], Some(1), 1, 0, 1 },
    other_kind = { vec![echo(1, 1), object("route/echo", 2, Some(team(1, Vec::new())))], Some(1), 1, 0, 1 },
    revision_zero = { vec![echo(0, 1)], None, 0, 0, 1 },
    older_valid_after_invalid = { vec![object("route/echo", 5, Some(route("echo", 5))), echo(4, 4)], Some(4), 1, 0, 1 },
)]
fn verify_merge_keeps_highest_valid_revision(
    objects: Vec<Object>,
    stored: Option<u64>,
    applied: u64,
    stale: u64,
    invalid: u64,
) {
    let mut store = ConfigStore::default();
    store.merge_all(objects);
    assert_eq!(cost(&store), stored);
    let counters = store.counters();
    assert_eq!(
        (counters.applied, counters.stale, counters.invalid),
        (applied, stale, invalid)
    );
}

#[test]
fn verify_merge_outcomes() {
    let mut store = ConfigStore::default();
    let MergeOutcome::Applied(first) = store.merge(echo(4, 1)) else {
        panic!("a new object was not applied");
    };
    assert_eq!(first.previous, None);
    assert_eq!(store.merge(echo(4, 2)), MergeOutcome::Conflict);
    assert_eq!(cost(&store), Some(1));
    let stored = Revision(4);
    assert_eq!(store.merge(echo(3, 3)), MergeOutcome::Stale { stored });
    let mismatch = store.merge(object("route/echo", 5, Some(team(1, Vec::new()))));
    let MergeOutcome::Invalid(Error::KindMismatch { .. }) = mismatch else {
        panic!("content of another kind was not rejected: {mismatch:?}");
    };
    let MergeOutcome::Applied(change) = store.merge(retired(6)) else {
        panic!("a tombstone was not applied");
    };
    assert_eq!(change.previous, echo(4, 1).spec);
    assert_eq!(change.object.spec, None);
}

fn presets(name: &str, revision: u64, active: Preset) -> Object {
    let spec = PresetsSpec {
        active,
        ..PresetsSpec::default()
    };
    let id = format!("presets/{name}");
    object(&id, revision, Some(Spec::Presets(spec)))
}

#[parameterized(
    absent = { vec![], Preset::Ordinary },
    switched = { vec![presets("current", 1, Preset::Peak)], Preset::Peak },
    out_of_order = { vec![presets("current", 2, Preset::Maintenance), presets("current", 1, Preset::Peak)], Preset::Maintenance },
    second_object = { vec![presets("current", 1, Preset::Peak), presets("other", 2, Preset::Maintenance)], Preset::Peak },
    retired = { vec![presets("current", 1, Preset::Peak), object("presets/current", 2, None)], Preset::Ordinary },
    second_retired = { vec![presets("current", 1, Preset::Peak), object("presets/other", 2, None)], Preset::Peak },
)]
fn verify_exactly_one_preset_is_active(objects: Vec<Object>, active: Preset) {
    let mut store = ConfigStore::default();
    store.merge_all(objects);
    assert_eq!(store.presets().active, active);
}

#[parameterized(
    exact = { "/echo", Some("echo") },
    below = { "/echo/a", Some("echo") },
    longest = { "/echo/deep/a", Some("deep") },
    trailing = { "/echo/", Some("echo") },
    partial_segment = { "/echoes", None },
    other = { "/", None },
    empty = { "", None },
)]
fn verify_route_matches_longest_prefix(path: &str, name: Option<&str>) {
    let mut store = ConfigStore::default();
    store.merge(echo(1, 1));
    store.merge(object("route/deep", 2, Some(route("/echo/deep", 2))));
    let found = store.route_for(path).map(|(found, _)| found.as_str());
    assert_eq!(found, name);
}

fn engines(revision: u64, model: &str) -> Object {
    let kind = PoolKind::Engine {
        model: model.parse().unwrap(),
        weights: WeightsVersion(1),
        block: Tokens(2_048),
    };
    let pool = PoolSpec {
        kind,
        checks_fencing: false,
    };
    object("pool/lm", revision, Some(Spec::Pool(pool)))
}

fn engine(revision: u64, pool: &str) -> Object {
    let upstream = UpstreamSpec {
        pool: pool.parse().unwrap(),
        domain: "bergen-a".parse().unwrap(),
        address: ([127, 0, 0, 1], 9_000).into(),
        phase: limpetsaddle_core::config::Phase::Live,
    };
    object("upstream/e1", revision, Some(Spec::Upstream(upstream)))
}

#[test]
fn verify_lookups_reflect_changes() {
    let mut store = ConfigStore::default();
    store.merge_all([engines(1, "birch"), engine(2, "lm")]);
    store.merge(object(
        "slots/bergen-a",
        3,
        Some(Spec::Slots(SlotTable::default())),
    ));
    let birch = "birch".parse().unwrap();
    let lm = "lm".parse().unwrap();
    assert_eq!(store.pools_for(&birch).count(), 1);
    assert_eq!(store.upstreams_of(&lm).count(), 1);
    assert!(store.slots(&"bergen-a".parse().unwrap()).is_some());
    store.merge_all([engines(4, "spruce"), engine(5, "other")]);
    assert_eq!(store.pools_for(&birch).count(), 0);
    assert_eq!(store.models().count(), 1);
    assert_eq!(store.upstreams_of(&lm).count(), 0);
    store.merge(object("upstream/e1", 6, None));
    assert_eq!(store.upstreams_of(&"other".parse().unwrap()).count(), 0);
}

#[test]
fn verify_digests_depend_on_content_not_on_order() {
    let objects: Vec<Object> = (1..=200)
        .map(|i| object(&format!("route/r{i}"), i, Some(route("/r", i))))
        .collect();
    let mut ascending = ConfigStore::default();
    ascending.merge_all(objects.clone());
    let mut descending = ConfigStore::default();
    descending.merge_all([object("route/r7", 1, None)]);
    descending.merge_all(objects.into_iter().rev());
    assert_eq!(ascending.digests(), descending.digests());
    descending.merge(object("route/r7", 201, None));
    assert_ne!(ascending.digests().root(), descending.digests().root());
    let other = descending.digests().as_slice();
    assert_eq!(ascending.digests().differing_buckets(other).len(), 1);
}

#[test]
fn verify_digest_reply_is_sorted_and_bounded() {
    let mut full = ConfigStore::default();
    full.merge_all((1..=50).rev().map(|i| {
        let id = format!("route/r{i}");
        object(&id, i, Some(route("/r", i)))
    }));
    let empty = ConfigStore::default();
    let buckets = full.digests().as_slice();
    let request = empty.versions_request(buckets, 0, 1_000).unwrap();
    let reply = full.reply(0, &request, 1_000);
    assert!(reply.more);
    assert!((2..50).contains(&reply.objects.len()));
    let revisions: Vec<u64> = reply.objects.iter().map(|o| o.revision.0).collect();
    assert!(revisions.is_sorted());
    let one = full.reply(0, &request, 0);
    assert_eq!(one.objects.len(), 1);
    let root = full.digests().root();
    assert!(full.reply(root, &request, 1_000).buckets.is_empty());
    let nothing = full.reply(0, &DigestRequest::Nothing, 1_000);
    assert!(nothing.buckets.is_empty() && nothing.objects.is_empty());
}

#[parameterized(
    first = { &[(5, 0, 100)], 5, 400 },
    newer = { &[(5, 0, 100), (6, 0, 300)], 6, 200 },
    older_revision = { &[(6, 0, 100), (5, 0, 300)], 6, 400 },
    aged_confirmation_of_a_peer = { &[(5, 0, 300), (5, 5_000, 400)], 5, 200 },
    older_than_the_clock_origin = { &[(5, 60_000, 100)], 5, 60_400 },
)]
fn verify_freshness_of_latest_confirmation(
    confirmations: &[(u64, u64, u64)],
    revision: u64,
    age: u64,
) {
    let mut store = ConfigStore::default();
    assert_eq!(store.confirmation_age(at(0)), None);
    for (revision, age, received_at) in confirmations {
        store.confirm(
            Revision(*revision),
            Duration::from_millis(*age),
            at(*received_at),
        );
    }
    assert_eq!(store.confirmation().unwrap().revision, Revision(revision));
    assert_eq!(
        store.confirmation_age(at(500)),
        Some(Duration::from_millis(age))
    );
}
