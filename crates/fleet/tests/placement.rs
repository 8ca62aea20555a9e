//! The choice of an upstream.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use limpetsaddle_core::units::Time;
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
    };
    let options = PlacementOptions::default();
    place_prompt(&req, &options, &fleet.cx(now, 7))
}

/// Lets an engine hold the shared parts of a prompt.
fn hold(fleet: &mut Fleet, hash: u64, prompt: &Prompt, version: u64, now: Time) {
    let salt = CacheSalt::new(MODEL, version, None);
    let keys = chain(prompt, &salt).iter().map(|link| link.key).collect();
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

fn sheet() -> Prompt {
    prompt(&[
        ("instruction", 2_500),
        ("sheet", 3_800),
        ("question", 2_900),
    ])
}

#[test]
fn verify_requests_that_begin_alike_meet_at_one_engine() {
    let fleet = Fleet::new((1..=9).map(|i| engine(i, 1)).collect());
    let first = place(&fleet, &sheet(), None, at(0)).unwrap();
    let other = prompt(&[("instruction", 2_500), ("sheet", 3_800), ("another", 400)]);
    let second = place(&fleet, &other, None, at(1)).unwrap();
    assert_eq!(first.upstream, second.upstream);
}

#[test]
fn verify_an_engine_that_holds_the_parts_is_preferred() {
    let mut fleet = Fleet::new((1..=9).map(|i| engine(i, 1)).collect());
    let home = place(&fleet, &sheet(), None, at(0)).unwrap().upstream;
    let holder = if &*home == "e1" { "e2" } else { "e1" };
    let holder_hash = hash(&fleet, holder);
    hold(&mut fleet, holder_hash, &sheet(), 1, at(0));
    let placement = place(&fleet, &sheet(), None, at(10)).unwrap();
    assert_eq!(&*placement.upstream, holder);
    assert_eq!(placement.prompt_tokens, 2_900);
}

#[test]
fn verify_a_busy_holder_is_fetched_from() {
    let mut fleet = Fleet::new((1..=9).map(|i| engine(i, 1)).collect());
    let holder_hash = hash(&fleet, "e1");
    hold(&mut fleet, holder_hash, &sheet(), 1, at(0));
    let work = RequestLoad {
        waiting_tokens: 40_000,
        held_tokens: 40_000,
        ..RequestLoad::default()
    };
    let _ticket = fleet.upstreams.start("e1", work, at(0)).unwrap();
    let placement = place(&fleet, &sheet(), None, at(10)).unwrap();
    assert_ne!(&*placement.upstream, "e1");
    let address = fleet.upstreams.get("e1").unwrap().entry.address;
    assert_eq!(placement.cache.unwrap().fetch_from, Some(address));
}

#[test]
fn verify_parts_of_other_weights_are_never_fetched() {
    let mut fleet = Fleet::new(vec![engine(1, 1), engine(2, 2)]);
    let old = hash(&fleet, "e1");
    hold(&mut fleet, old, &sheet(), 1, at(0));
    let named = TargetWeights::new(MODEL.into(), 2, at(0));
    let placement = place(&fleet, &sheet(), Some(&named), at(5_400)).unwrap();
    assert_eq!(&*placement.upstream, "e2");
    assert_eq!(placement.cache.unwrap().fetch_from, None);
}

#[test]
fn verify_an_isolated_team_has_a_salt_of_its_own() {
    let fleet = Fleet::new(vec![engine(1, 1)]);
    let salt = |isolated| {
        let placed = place_with(&fleet, &sheet(), None, isolated, None, at(0));
        placed.unwrap().cache.unwrap().salt
    };
    assert_ne!(salt(None), salt(Some("t1")));
    assert_ne!(salt(Some("t1")), salt(Some("t2")));
}

#[test]
fn verify_parts_that_no_engine_holds_come_from_the_store() {
    let mut fleet = Fleet::new((1..=3).map(|i| engine(i, 1)).collect());
    let store = kv_store();
    let first = place_with(&fleet, &sheet(), None, None, Some(&store), at(0)).unwrap();
    assert_eq!(first.cache.unwrap().save_to, Some(store.address));
    hold(&mut fleet, store_hash(store.address), &sheet(), 1, at(0));
    let second = place_with(&fleet, &sheet(), None, None, Some(&store), at(10)).unwrap();
    let cache = second.cache.unwrap();
    assert_eq!(cache.fetch_from, Some(store.address));
    assert_eq!(cache.save_to, None);
}

#[test]
fn verify_parts_are_forgotten_as_others_take_their_memory() {
    let mut fleet = Fleet::new(vec![engine(1, 1)]);
    let holder = hash(&fleet, "e1");
    hold(&mut fleet, holder, &sheet(), 1, at(0));
    let before = place(&fleet, &sheet(), None, at(10)).unwrap();
    for index in 0..12 {
        let id = format!("other-{index}");
        let other = prompt(&[(id.as_str(), 6_000), ("question", 3_000)]);
        hold(&mut fleet, holder, &other, 1, at(20));
    }
    let after = place(&fleet, &sheet(), None, at(30)).unwrap();
    assert!(after.prompt_tokens > before.prompt_tokens);
}

#[test]
fn verify_an_engine_that_is_two_versions_behind_is_not_used() {
    // The last naming was just now; the engine has been behind since the first.
    let fleet = Fleet::new(vec![engine(1, 1)]);
    let mut named = TargetWeights::new(MODEL.into(), 2, at(0));
    named.set_version(3, at(5_900));
    assert!(place(&fleet, &sheet(), Some(&named), at(1_000)).is_some());
    assert!(place(&fleet, &sheet(), Some(&named), at(6_000)).is_none());
}

#[test]
fn verify_an_engine_with_old_weights_gets_nothing_that_begins_too_late() {
    let mut fleet = Fleet::new(vec![engine(1, 1)]);
    let named = TargetWeights::new(MODEL.into(), 2, at(0));
    let now = at(4_000);
    assert!(place(&fleet, &sheet(), Some(&named), now).is_some());
    let work = RequestLoad {
        waiting_tokens: 60_000,
        ..RequestLoad::default()
    };
    let _ticket = fleet.upstreams.start("e1", work, now).unwrap();
    assert!(place(&fleet, &sheet(), Some(&named), now).is_none());
}

#[test]
fn verify_an_upstream_that_cannot_be_reached_is_left_out_for_a_while() {
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
fn verify_plain_requests_go_where_the_fewest_are() {
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
fn verify_an_engine_whose_address_another_one_has_gets_no_more_requests() {
    let mut fleet = Fleet::new(vec![engine(1, 1), engine(2, 1)]);
    fleet.upstreams.mark_replaced("e1");
    for random in 0..20 {
        let prompt = prompt(&[("instruction", random * 100), ("question", 400)]);
        let placement = place(&fleet, &prompt, None, at(10)).unwrap();
        assert_eq!(&*placement.upstream, "e2");
    }
}

#[test]
fn verify_an_engine_that_restarted_with_older_weights_is_known_by_its_refusal() {
    let mut fleet = Fleet::new(vec![engine(1, 3)]);
    fleet.upstreams.observe_weights("e1", MODEL, 2);
    assert_eq!(fleet.upstreams.get("e1").unwrap().weights(MODEL), Some(3));
    fleet.upstreams.reset_weights("e1", MODEL, 2);
    assert_eq!(fleet.upstreams.get("e1").unwrap().weights(MODEL), Some(2));
}

#[test]
fn verify_a_restarted_engine_holds_nothing_of_before() {
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

/// The load: a cut between failure domains, beyond which every upstream would
/// cost a request the time of an attempt to connect.
#[test]
fn verify_a_domain_that_cannot_be_reached_is_left_out_after_a_few_tries() {
    let mut entries: Vec<_> = (0..20).map(|index| engine(index, 1)).collect();
    for entry in &mut entries[2..] {
        entry.domain = "b".into();
    }
    let mut fleet = Fleet::new(entries);
    let beyond = |placement: &Placement| !["e0", "e1"].contains(&&*placement.upstream);
    let mut failed = 0;
    for request in 0..100 {
        // Different prompts have different homes.
        let sheet = format!("sheet-{request}");
        let wanted = prompt(&[(&sheet, 3_800), ("own", 400)]);
        let now = at(request * 4);
        let placement = place(&fleet, &wanted, None, now).unwrap();
        let id = &placement.upstream;
        let mut ticket = fleet
            .upstreams
            .start(id, RequestLoad::default(), now)
            .unwrap();
        if beyond(&placement) {
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
    // The cut has healed: one answer is enough, and one failure after it is no cut.
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
fn verify_single_crashes_do_not_take_their_domain_out() {
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

/// The load: an instance that has just started, while the fleet's engines and the
/// store hold what was read before.
#[test]
fn verify_what_nobody_is_known_to_hold_is_looked_for_in_the_store() {
    let mut fleet = Fleet::new(vec![engine(0, 1), engine(1, 1)]);
    let store = kv_store();
    let source = |fleet: &Fleet, prompt: &Prompt| {
        let placement = place_with(fleet, prompt, None, None, Some(&store), at(10)).unwrap();
        placement.cache.unwrap().fetch_from
    };
    assert_eq!(source(&fleet, &sheet()), Some(store.address));
    // Short parts are never saved, so that they are not looked for.
    assert_eq!(
        source(&fleet, &prompt(&[("short", 200), ("own", 100)])),
        None
    );
    // The first part is known everywhere, the second one nowhere.
    let first = prompt(&[("instruction", 2_500), ("other", 400)]);
    for id in ["e0", "e1"] {
        let holder = hash(&fleet, id);
        hold(&mut fleet, holder, &first, 1, at(0));
    }
    hold(&mut fleet, store_hash(store.address), &first, 1, at(0));
    assert_eq!(source(&fleet, &sheet()), Some(store.address));
    // An engine that surely holds all is quicker.
    let holder = hash(&fleet, "e0");
    hold(&mut fleet, holder, &sheet(), 1, at(0));
    fleet.tried = vec!["e0".into()];
    let engine = fleet.upstreams.get("e0").unwrap().entry.address;
    assert_eq!(source(&fleet, &sheet()), Some(engine));
}

/// The load: a part that every engine holds is wanted by engines that lack it,
/// as many prompts begin with it. Transfers from one engine wait for each other.
#[test]
fn verify_engines_that_hold_as_much_take_turns_as_sources() {
    let mut entries: Vec<_> = (0..20).map(|index| engine(index, 1)).collect();
    for entry in &mut entries[10..] {
        entry.domain = "b".into();
    }
    let mut fleet = Fleet::new(entries);
    let wanted = sheet();
    for index in 0..19 {
        let holder = hash(&fleet, &format!("e{index}"));
        hold(&mut fleet, holder, &wanted, 1, at(0));
    }
    // Only the last engine, which lacks the parts, has not been tried.
    fleet.tried = (0..19).map(|index| format!("e{index}").into()).collect();
    let spec = engine_spec();
    let req = PromptRequest {
        service: SERVICE,
        engine: &spec,
        prompt: &wanted,
        isolated_team: None,
        target_weights: None,
        store: None,
    };
    let mut sources = HashMap::new();
    for random in 0..900 {
        let cx = fleet.cx(at(10), random);
        let placement = place_prompt(&req, &PlacementOptions::default(), &cx).unwrap();
        let source = placement.cache.unwrap().fetch_from.unwrap();
        *sources.entry(source).or_insert(0) += 1;
    }
    // The nine in the same failure domain share the transfers alike.
    assert_eq!(sources.len(), 9);
    assert!(
        sources.values().all(|count| (50..200).contains(count)),
        "{sources:?}"
    );
}

proptest! {
    #[test]
    fn verify_one_walk_over_a_chain_finds_what_each_engine_holds(
        reads in prop::collection::vec((0_u64..5, 1_usize..4, 1_000_u32..60_000), 1..60),
    ) {
        let parts = [("a", 100), ("b", 200), ("c", 300), ("own", 50)];
        let links = chain(&prompt(&parts), &CacheSalt::new(MODEL, 1, None));
        let mut directory = PrefixDirectory::default();
        for (holder, depth, new_tokens) in reads {
            let keys = links[..depth].iter().map(|link| link.key).collect();
            directory.apply_update(&CacheUpdate { holder, keys, new_tokens }, at(0));
        }
        let depths = directory.depths(&links, 90_000, at(10));
        for holder in 0..5 {
            let held = depths.get(&holder).copied().unwrap_or_default();
            let alone = |certainty| directory.depth(holder, &links, 90_000, certainty, at(10));
            prop_assert_eq!(held.likely, alone(Certainty::Likely));
            prop_assert_eq!(held.sure, alone(Certainty::Sure));
        }
    }
}
