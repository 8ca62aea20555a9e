//! Selection of upstreams.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;
use limpetsaddle_fleet::availability::Notices;
use limpetsaddle_fleet::configuration::KvStore;
use limpetsaddle_fleet::configuration::store_hash;
use limpetsaddle_fleet::directory::CacheUpdate;
use limpetsaddle_fleet::directory::Certainty;
use limpetsaddle_fleet::directory::PrefixDirectory;
use limpetsaddle_fleet::directory::chain;
use limpetsaddle_fleet::health::RequestOutcome;
use limpetsaddle_fleet::placement::Placement;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::placement::place_plain;
use limpetsaddle_fleet::placement::place_prompt;
use limpetsaddle_fleet::prompt::CacheSalt;
use limpetsaddle_fleet::prompt::Prompt;
use limpetsaddle_fleet::upstreams::RequestLoad;
use limpetsaddle_fleet::weights::TargetWeights;
use proptest::prelude::*;
use support::Fleet;
use support::MODEL;
use support::SERVICE;
use support::at;
use support::engine;
use support::engine_spec;
use support::plain;
use support::prompt;

fn place(
    fleet: &Fleet,
    prompt: &Prompt,
    target_weights: Option<&TargetWeights>,
    now: Time,
) -> Option<Placement> {
    place_with(fleet, prompt, target_weights, None, None, now)
}

fn place_with(
    fleet: &Fleet,
    prompt: &Prompt,
    target_weights: Option<&TargetWeights>,
    isolated_team: Option<&str>,
    store: Option<&KvStore>,
    now: Time,
) -> Option<Placement> {
    let engine = engine_spec();
    let req = PromptRequest {
        service: SERVICE,
        engine: &engine,
        prompt,
        isolated_team,
        target_weights,
        store,
        rate: 0.0,
    };
    let options = PlacementOptions::default();
    place_prompt(&req, &options, &fleet.cx(now, 7))
}

/// Records the shared parts of a prompt as cached by the holder.
fn record_cached(fleet: &mut Fleet, hash: u64, prompt: &Prompt, version: u64, now: Time) {
    let salt = CacheSalt::new(MODEL, version, None);
    let keys = chain(prompt, &salt).iter().map(|part| part.key).collect();
    let update = CacheUpdate {
        holder: hash,
        keys,
        new_tokens: 9_000,
    };
    fleet.directory.apply_update(&update, now);
}

fn hash(fleet: &Fleet, id: &str) -> u64 {
    fleet.upstreams.get(id).unwrap().hash
}

fn shared_prompt() -> Prompt {
    prompt(&[
        ("instruction", 2_500),
        ("sheet", 3_800),
        ("question", 2_900),
    ])
}

#[test]
fn verify_prompts_with_a_common_prefix_go_to_one_engine() {
    let fleet = Fleet::new((1..=9).map(|i| engine(i, 1)).collect());
    let first = place(&fleet, &shared_prompt(), None, at(0)).unwrap();
    let other = prompt(&[("instruction", 2_500), ("sheet", 3_800), ("another", 400)]);
    let second = place(&fleet, &other, None, at(1)).unwrap();
    assert_eq!(first.upstream, second.upstream);
}

#[test]
fn verify_an_engine_that_caches_the_parts_is_selected() {
    let mut fleet = Fleet::new((1..=9).map(|i| engine(i, 1)).collect());
    let preferred = place(&fleet, &shared_prompt(), None, at(0))
        .unwrap()
        .upstream;
    let holder = if &*preferred == "e1" { "e2" } else { "e1" };
    let holder_hash = hash(&fleet, holder);
    record_cached(&mut fleet, holder_hash, &shared_prompt(), 1, at(0));
    let placement = place(&fleet, &shared_prompt(), None, at(10)).unwrap();
    assert_eq!(&*placement.upstream, holder);
    assert_eq!(placement.prompt_tokens, 2_900);
}

#[test]
fn verify_parts_are_fetched_from_a_busy_holder() {
    let mut fleet = Fleet::new((1..=9).map(|i| engine(i, 1)).collect());
    let holder_hash = hash(&fleet, "e1");
    record_cached(&mut fleet, holder_hash, &shared_prompt(), 1, at(0));
    let work = RequestLoad {
        waiting_tokens: 40_000,
        held_tokens: 40_000,
        ..RequestLoad::default()
    };
    let _ticket = fleet.upstreams.start("e1", work, at(0)).unwrap();
    let placement = place(&fleet, &shared_prompt(), None, at(10)).unwrap();
    assert_ne!(&*placement.upstream, "e1");
    let address = fleet.upstreams.get("e1").unwrap().entry.address;
    assert_eq!(placement.cache.unwrap().fetch_from, Some(address));
}

#[test]
fn verify_no_parts_are_fetched_from_a_holder_that_leaves_or_rests() {
    for leaving in [false, true] {
        let mut fleet = Fleet::new((1..=3).map(|i| engine(i, 1)).collect());
        let holder = hash(&fleet, "e1");
        record_cached(&mut fleet, holder, &shared_prompt(), 1, at(0));
        let notices = Notices {
            leaving,
            rest: Some(Duration::from_secs(1)),
            ..Notices::default()
        };
        let incarnation = engine(1, 1).incarnation();
        fleet
            .upstreams
            .record_notices(&incarnation, &notices, at(0));
        let placement = place(&fleet, &shared_prompt(), None, at(900)).unwrap();
        assert_eq!(placement.cache.unwrap().fetch_from, None);
    }
}

#[test]
fn verify_parts_of_other_weights_are_not_fetched() {
    let mut fleet = Fleet::new(vec![engine(1, 1), engine(2, 2)]);
    let old = hash(&fleet, "e1");
    record_cached(&mut fleet, old, &shared_prompt(), 1, at(0));
    let target = TargetWeights::new(MODEL.into(), 2, at(0));
    let placement = place(&fleet, &shared_prompt(), Some(&target), at(5_400)).unwrap();
    assert_eq!(&*placement.upstream, "e2");
    assert_eq!(placement.cache.unwrap().fetch_from, None);
}

#[test]
fn verify_an_isolated_team_has_its_own_salt() {
    let fleet = Fleet::new(vec![engine(1, 1)]);
    let salt = |isolated| {
        let placed = place_with(&fleet, &shared_prompt(), None, isolated, None, at(0));
        placed.unwrap().cache.unwrap().salt
    };
    assert_ne!(salt(None), salt(Some("t1")));
    assert_ne!(salt(Some("t1")), salt(Some("t2")));
}

#[test]
fn verify_parts_that_no_engine_caches_are_fetched_from_the_store() {
    let mut fleet = Fleet::new((1..=3).map(|i| engine(i, 1)).collect());
    let store = kv_store();
    let first = place_with(&fleet, &shared_prompt(), None, None, Some(&store), at(0)).unwrap();
    assert_eq!(first.cache.unwrap().save_to, Some(store.address));
    record_cached(
        &mut fleet,
        store_hash(store.address),
        &shared_prompt(),
        1,
        at(0),
    );
    let second = place_with(&fleet, &shared_prompt(), None, None, Some(&store), at(10)).unwrap();
    let cache = second.cache.unwrap();
    assert_eq!(cache.fetch_from, Some(store.address));
    assert_eq!(cache.save_to, None);
}

#[test]
fn verify_parts_expire_as_later_parts_fill_the_memory() {
    let mut fleet = Fleet::new(vec![engine(1, 1)]);
    let holder = hash(&fleet, "e1");
    record_cached(&mut fleet, holder, &shared_prompt(), 1, at(0));
    let initial = place(&fleet, &shared_prompt(), None, at(10)).unwrap();
    for index in 0..12 {
        let id = format!("other-{index}");
        let other = prompt(&[(id.as_str(), 6_000), ("question", 3_000)]);
        record_cached(&mut fleet, holder, &other, 1, at(20));
    }
    let refilled = place(&fleet, &shared_prompt(), None, at(30)).unwrap();
    assert!(refilled.prompt_tokens > initial.prompt_tokens);
}

#[test]
fn verify_an_engine_two_versions_behind_is_not_used() {
    // The latest target was set just now; the engine has been outdated since the first.
    let fleet = Fleet::new(vec![engine(1, 1)]);
    let mut target = TargetWeights::new(MODEL.into(), 2, at(0));
    target.set_version(3, at(5_900));
    assert!(place(&fleet, &shared_prompt(), Some(&target), at(1_000)).is_some());
    assert!(place(&fleet, &shared_prompt(), Some(&target), at(6_000)).is_none());
}

#[test]
fn verify_an_engine_with_old_weights_gets_no_request_that_starts_too_late() {
    let mut fleet = Fleet::new(vec![engine(1, 1)]);
    let target = TargetWeights::new(MODEL.into(), 2, at(0));
    let now = at(4_000);
    assert!(place(&fleet, &shared_prompt(), Some(&target), now).is_some());
    let work = RequestLoad {
        waiting_tokens: 60_000,
        ..RequestLoad::default()
    };
    let _ticket = fleet.upstreams.start("e1", work, now).unwrap();
    assert!(place(&fleet, &shared_prompt(), Some(&target), now).is_none());
}

#[test]
fn verify_an_unreachable_upstream_is_avoided() {
    let mut fleet = Fleet::new(vec![plain(1), plain(2)]);
    let ticket = fleet
        .upstreams
        .start("e1", RequestLoad::default(), at(0))
        .unwrap();
    fleet
        .upstreams
        .finish(&ticket, Some(RequestOutcome::ConnectFailed), at(0));
    for random in 0..50 {
        let chosen = place_plain(SERVICE, &fleet.cx(at(100), random)).unwrap();
        assert_eq!(&*chosen.upstream, "e2");
    }
}

#[test]
fn verify_a_plain_request_goes_to_the_least_loaded_upstream() {
    let mut fleet = Fleet::new(vec![plain(1), plain(2)]);
    for _ in 0..4 {
        let _ticket = fleet
            .upstreams
            .start("e1", RequestLoad::default(), at(0))
            .unwrap();
    }
    let chosen = place_plain(SERVICE, &fleet.cx(at(1), 3)).unwrap();
    assert_eq!(&*chosen.upstream, "e2");
}

#[test]
fn verify_a_replaced_engine_gets_no_more_requests() {
    let mut fleet = Fleet::new(vec![engine(1, 1), engine(2, 1)]);
    fleet
        .upstreams
        .mark_replaced(&engine(1, 1).incarnation(), at(5));
    for random in 0..20 {
        let prompt = prompt(&[("instruction", random * 100), ("question", 400)]);
        let placement = place(&fleet, &prompt, None, at(10)).unwrap();
        assert_eq!(&*placement.upstream, "e2");
    }
}

#[test]
fn verify_a_rejection_resets_the_weights_to_an_older_version() {
    let mut fleet = Fleet::new(vec![engine(1, 3)]);
    fleet.upstreams.observe_weights("e1", MODEL, 2);
    assert_eq!(fleet.upstreams.get("e1").unwrap().weights(MODEL), Some(3));
    fleet.upstreams.reset_weights("e1", MODEL, 2);
    assert_eq!(fleet.upstreams.get("e1").unwrap().weights(MODEL), Some(2));
}

#[test]
fn verify_an_engine_of_unknown_version_must_confirm_the_newest_one() {
    let mut fleet = Fleet::new(vec![plain(1)]);
    let target = TargetWeights::new(MODEL.into(), 2, at(0));
    let placement = place(&fleet, &shared_prompt(), Some(&target), at(60_000)).unwrap();
    assert_eq!(placement.weights, Some(2));
    // It rejects the request, and is not used until it has loaded the newest weights.
    fleet.upstreams.reset_weights("e1", MODEL, 1);
    assert_eq!(fleet.upstreams.get("e1").unwrap().weights(MODEL), Some(1));
    assert_eq!(
        place(&fleet, &shared_prompt(), Some(&target), at(60_000)),
        None
    );
    fleet.upstreams.upsert(plain(1), at(60_100));
    fleet.upstreams.observe_weights("e1", MODEL, 2);
    assert!(place(&fleet, &shared_prompt(), Some(&target), at(60_200)).is_some());
}

#[test]
fn verify_a_restart_clears_the_pause_of_an_engine() {
    let mut fleet = Fleet::new(vec![engine(1, 1)]);
    fleet
        .upstreams
        .pause_requests("e1", Duration::from_secs(9), at(0));
    let mut entry = engine(1, 1);
    entry.born_ms = 2;
    fleet.upstreams.upsert(entry, at(0));
    assert!(!fleet.upstreams.get("e1").unwrap().is_paused(at(1)));
}

fn kv_store() -> KvStore {
    KvStore {
        address: ([10, 9, 0, 1], 8080).into(),
        memory_tokens: 2_000_000,
        link_mbps: 800_000.0,
    }
}

/// Guards against a partition between failure domains in which each upstream beyond it
/// costs a request a connection timeout.
#[test]
fn verify_an_unreachable_domain_is_avoided_after_three_upstreams() {
    let mut entries: Vec<_> = (0..20).map(|index| engine(index, 1)).collect();
    for entry in &mut entries[2..] {
        entry.domain = "b".into();
    }
    let mut fleet = Fleet::new(entries);
    let is_beyond = |placement: &Placement| !["e0", "e1"].contains(&&*placement.upstream);
    let mut failed = 0;
    for request in 0..100 {
        // Different prompts have different preferred engines.
        let sheet = format!("sheet-{request}");
        let requested = prompt(&[(&sheet, 3_800), ("own", 400)]);
        let now = at(request * 4);
        let placement = place(&fleet, &requested, None, now).unwrap();
        let id = &placement.upstream;
        let mut ticket = fleet
            .upstreams
            .start(id, RequestLoad::default(), now)
            .unwrap();
        if is_beyond(&placement) {
            failed += 1;
            fleet
                .upstreams
                .finish(&ticket, Some(RequestOutcome::ConnectFailed), now);
        } else {
            fleet.upstreams.record_first_event(&mut ticket, now);
            fleet
                .upstreams
                .finish(&ticket, Some(RequestOutcome::Responded), now);
        }
    }
    assert_eq!(failed, 3);
    // One response ends the avoidance, and one failure after it doesn't start it again.
    let now = at(1_000);
    let row = fleet.upstreams.get("e9").unwrap();
    assert!(!fleet.upstreams.is_avoided(row, now));
    let mut ticket = fleet
        .upstreams
        .start("e9", RequestLoad::default(), now)
        .unwrap();
    fleet.upstreams.record_first_event(&mut ticket, now);
    fleet
        .upstreams
        .finish(&ticket, Some(RequestOutcome::ConnectFailed), now);
    let other = fleet.upstreams.get("e10").unwrap();
    assert!(!fleet.upstreams.is_avoided(other, now));
}

#[test]
fn verify_single_crashes_do_not_make_their_domain_avoided() {
    let mut fleet = Fleet::new((0..10).map(|index| engine(index, 1)).collect());
    for round in 0..20_u64 {
        let now = at(round * 50);
        let (dead, alive) = (format!("e{}", round % 3), format!("e{}", 3 + round % 7));
        for (id, outcome) in [
            (dead, RequestOutcome::ConnectFailed),
            (alive, RequestOutcome::Responded),
        ] {
            let mut ticket = fleet
                .upstreams
                .start(&id, RequestLoad::default(), now)
                .unwrap();
            if outcome == RequestOutcome::Responded {
                fleet.upstreams.record_first_event(&mut ticket, now);
            }
            fleet.upstreams.finish(&ticket, Some(outcome), now);
        }
        let other = fleet.upstreams.get("e9").unwrap();
        assert!(!fleet.upstreams.is_avoided(other, now));
    }
}

/// Guards against repeated prefill after the start of an instance, which has not received
/// any cache updates yet.
#[test]
fn verify_parts_without_a_known_holder_are_fetched_from_the_store() {
    let mut fleet = Fleet::new(vec![engine(0, 1), engine(1, 1)]);
    let store = kv_store();
    let source = |fleet: &Fleet, prompt: &Prompt| {
        let placement = place_with(fleet, prompt, None, None, Some(&store), at(10)).unwrap();
        placement.cache.unwrap().fetch_from
    };
    assert_eq!(source(&fleet, &shared_prompt()), Some(store.address));
    // Short prefixes are never saved, so the store is not asked.
    assert_eq!(
        source(&fleet, &prompt(&[("short", 200), ("own", 100)])),
        None
    );
    // All engines are known to cache the first part, and none the second.
    let first = prompt(&[("instruction", 2_500), ("other", 400)]);
    for id in ["e0", "e1"] {
        let holder = hash(&fleet, id);
        record_cached(&mut fleet, holder, &first, 1, at(0));
    }
    record_cached(&mut fleet, store_hash(store.address), &first, 1, at(0));
    assert_eq!(source(&fleet, &shared_prompt()), Some(store.address));
    // An engine that almost certainly caches all parts is faster.
    let holder = hash(&fleet, "e0");
    record_cached(&mut fleet, holder, &shared_prompt(), 1, at(0));
    fleet.attempted = vec!["e0".into()];
    let engine = fleet.upstreams.get("e0").unwrap().entry.address;
    assert_eq!(source(&fleet, &shared_prompt()), Some(engine));
}

/// Guards against fetching a popular part from one engine only, where transfers queue
/// behind each other.
#[test]
fn verify_sources_with_equal_parts_take_turns() {
    let mut entries: Vec<_> = (0..20).map(|index| engine(index, 1)).collect();
    for entry in &mut entries[10..] {
        entry.domain = "b".into();
    }
    let mut fleet = Fleet::new(entries);
    let requested = shared_prompt();
    for index in 0..19 {
        let holder = hash(&fleet, &format!("e{index}"));
        record_cached(&mut fleet, holder, &requested, 1, at(0));
    }
    // Only the last engine, which lacks the parts, has not been attempted.
    fleet.attempted = (0..19).map(|index| format!("e{index}").into()).collect();
    let spec = engine_spec();
    let req = PromptRequest {
        service: SERVICE,
        engine: &spec,
        prompt: &requested,
        isolated_team: None,
        target_weights: None,
        store: None,
        rate: 0.0,
    };
    let mut sources = HashMap::new();
    for random in 0..900 {
        let cx = fleet.cx(at(10), random);
        let placement = place_prompt(&req, &PlacementOptions::default(), &cx).unwrap();
        let source = placement.cache.unwrap().fetch_from.unwrap();
        *sources.entry(source).or_insert(0) += 1;
    }
    // The nine in the same failure domain get similar numbers of transfers.
    assert_eq!(sources.len(), 9);
    assert!(
        sources.values().all(|count| (50..200).contains(count)),
        "{sources:?}"
    );
}

proptest! {
    #[test]
    fn verify_depths_agree_with_depth_for_each_engine(
        reads in prop::collection::vec((0_u64..5, 1_usize..4, 1_000_u32..60_000), 1..60),
    ) {
        let parts = [("a", 100), ("b", 200), ("c", 300), ("own", 50)];
        let parts_chain = chain(&prompt(&parts), &CacheSalt::new(MODEL, 1, None));
        let mut directory = PrefixDirectory::default();
        for (holder, depth, new_tokens) in reads {
            let keys = parts_chain[..depth].iter().map(|part| part.key).collect();
            directory.apply_update(&CacheUpdate { holder, keys, new_tokens }, at(0));
        }
        let depths = directory.depths(&parts_chain, 90_000, at(10));
        for holder in 0..5 {
            let held = depths.get(&holder).copied().unwrap_or_default();
            let depth = |certainty| directory.depth(holder, &parts_chain, 90_000, certainty, at(10));
            prop_assert_eq!(held.likely, depth(Certainty::Likely));
            prop_assert_eq!(held.sure, depth(Certainty::Sure));
        }
    }
}
