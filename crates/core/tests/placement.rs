//! Tests of placement.

use std::time::Duration;

use limpetsaddle_core::config::Phase;
use limpetsaddle_core::config::Policy;
use limpetsaddle_core::config::UpstreamSpec;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::names::DomainName;
use limpetsaddle_core::names::PoolName;
use limpetsaddle_core::placement::CacheScope;
use limpetsaddle_core::placement::CandidateSource;
use limpetsaddle_core::placement::Choice;
use limpetsaddle_core::placement::Feedback;
use limpetsaddle_core::placement::FetchDecision;
use limpetsaddle_core::placement::FetchRates;
use limpetsaddle_core::placement::MAX_BLOCKS;
use limpetsaddle_core::placement::PlacementError;
use limpetsaddle_core::placement::Placer;
use limpetsaddle_core::placement::PlacerOptions;
use limpetsaddle_core::placement::PrefixChain;
use limpetsaddle_core::placement::Query;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Time;
use limpetsaddle_core::units::TokenRate;
use limpetsaddle_core::units::Tokens;
use limpetsaddle_core::units::WeightsVersion;
use limpetsaddle_core::upstreams::Arrival;
use limpetsaddle_core::upstreams::AttemptOutcome;
use limpetsaddle_core::upstreams::Identity;
use limpetsaddle_core::upstreams::LoadReport;
use limpetsaddle_core::upstreams::UpstreamId;
use limpetsaddle_core::upstreams::UpstreamOptions;
use limpetsaddle_core::upstreams::UpstreamTable;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_assert_ne;
use proptest::proptest;
use yare::parameterized;

const BLOCK: Tokens = Tokens(4);
const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "voss-c"];

struct Bench {
    table: UpstreamTable,
    ids: Vec<UpstreamId>,
    pool: PoolName,
    domain: DomainName,
    policy: Policy,
}

fn at(millis: u64) -> Time {
    Time::from_origin(Duration::from_millis(millis))
}

fn spec(i: usize, phase: Phase) -> UpstreamSpec {
    UpstreamSpec {
        pool: "lm-pool".parse().unwrap(),
        domain: DOMAINS[i % DOMAINS.len()].parse().unwrap(),
        address: ([127, 0, 0, 1], 9_000).into(),
        phase,
    }
}

impl Bench {
    fn new(count: usize) -> Self {
        let mut bench = Self {
            table: UpstreamTable::new(UpstreamOptions::default()),
            ids: Vec::new(),
            pool: "lm-pool".parse().unwrap(),
            domain: DOMAINS[0].parse().unwrap(),
            policy: Policy::default(),
        };
        bench.ids = (0..count).map(|i| bench.insert(i, Phase::Live)).collect();
        bench
    }

    fn insert(&mut self, i: usize, phase: Phase) -> UpstreamId {
        let name = format!("engine-{i}").parse().unwrap();
        self.table
            .insert(name, spec(i, phase), Arrival::InService, at(0))
    }

    fn choose(
        &self,
        placer: &Placer,
        chain: &PrefixChain,
        ms: u64,
    ) -> Result<Choice, PlacementError> {
        self.choose_with(placer, chain, ms, None, &[], ms)
    }

    fn choose_with(
        &self,
        placer: &Placer,
        chain: &PrefixChain,
        ms: u64,
        weights: Option<WeightsVersion>,
        exclude: &[UpstreamId],
        random: u64,
    ) -> Result<Choice, PlacementError> {
        let query = Query {
            pool: &self.pool,
            domain: &self.domain,
            chain,
            weights,
            exclude,
            policy: &self.policy,
        };
        placer.choose(&query, &self.table, at(ms), random)
    }

    fn queue(&mut self, id: UpstreamId, queued: u64, ms: u64) {
        let report = LoadReport {
            requests: 1,
            queued_tokens: Tokens(queued),
        };
        self.table.record_report(id, report, None, at(ms), at(ms));
    }

    fn identify(&mut self, id: UpstreamId, incarnation: u64, weights: u64) {
        let ticket = self.table.start(id, Tokens::ZERO, Tokens::ZERO).unwrap();
        let seen = Identity {
            incarnation: Incarnation(incarnation),
            weights: WeightsVersion(weights),
        };
        self.table.record_identity(&ticket, seen, at(0));
        self.table
            .finish(ticket, AttemptOutcome::Responded, at(0), 0);
    }
}

fn placer() -> Placer {
    Placer::new(PlacerOptions::default())
}

fn chain(prompt: &str) -> PrefixChain {
    PrefixChain::new(
        Digest::of(b"scope"),
        prompt.repeat(2_000).as_bytes(),
        Tokens(2_000),
    )
}

fn scope(team: &str, model: &str, weights: u64) -> CacheScope {
    CacheScope {
        team: team.parse().unwrap(),
        model: model.parse().unwrap(),
        weights: WeightsVersion(weights),
    }
}

fn is_hinted(choice: &Choice) -> bool {
    matches!(choice.source, CandidateSource::Hint { .. })
}

#[test]
fn verify_hint_is_invalid_after_engine_restart() {
    let mut bench = Bench::new(10);
    let mut placer = placer();
    let chain = chain("sheet of 20 bytes...");
    let choice = bench.choose(&placer, &chain, 0).unwrap();
    bench.identify(choice.upstream, 1, 1);
    placer.record_placement(&chain, &choice, at(0));
    assert!(is_hinted(&bench.choose(&placer, &chain, 10).unwrap()));
    bench.identify(choice.upstream, 2, 1);
    assert!(!is_hinted(&bench.choose(&placer, &chain, 20).unwrap()));
}

#[test]
fn verify_hint_expires() {
    let bench = Bench::new(10);
    let mut placer = placer();
    let chain = chain("sheet of 20 bytes...");
    let choice = bench.choose(&placer, &chain, 0).unwrap();
    placer.record_placement(&chain, &choice, at(0));
    assert!(is_hinted(&bench.choose(&placer, &chain, 9_000).unwrap()));
    assert!(!is_hinted(&bench.choose(&placer, &chain, 11_000).unwrap()));
}

#[test]
fn verify_wrong_hints_shorten_hint_ttl() {
    let bench = Bench::new(10);
    let mut placer = placer();
    let chain = chain("sheet of 20 bytes...");
    let feedback = Feedback {
        cached: Tokens::ZERO,
        time_to_first_token: Duration::from_millis(500),
    };
    for round in 0..40 {
        let choice = bench.choose(&placer, &chain, round * 4_000).unwrap();
        placer.record_placement(&chain, &choice, at(round * 4_000));
        placer.record_response(&chain, &choice, choice.epoch, feedback, at(round * 4_000));
    }
    assert!(is_hinted(&bench.choose(&placer, &chain, 157_000).unwrap()));
    assert!(!is_hinted(&bench.choose(&placer, &chain, 161_000).unwrap()));
}

#[parameterized(
    idle = { 0, 100, true },
    queue_shorter_than_prefix = { 10_000, 100, true },
    queue_longer_than_prefix = { 26_000, 100, false },
    recompute_weighs_more = { 26_000, 400, true },
    recompute_weighs_less = { 10_000, 10, false },
)]
fn verify_cache_hit_is_weighed_against_load(queued: u64, weight: u32, stays: bool) {
    let mut bench = Bench::new(10);
    bench.policy.recompute_weight = weight;
    let mut placer = placer();
    let chain = chain("sheet of 20 bytes...");
    let first = bench.choose(&placer, &chain, 0).unwrap();
    placer.record_placement(&chain, &first, at(0));
    bench.queue(first.upstream, queued, 10);
    let second = bench.choose(&placer, &chain, 10).unwrap();
    assert_eq!(second.upstream == first.upstream, stays);
}

#[test]
fn verify_instances_choose_the_same_upstream() {
    for i in 0..20 {
        let mut bench = Bench::new(10);
        let chain = chain(&format!("sheet {i:02} of 20 bytes"));
        let mut preferred = Vec::new();
        for _ in 0..2 {
            bench.domain = DOMAINS[0].parse().unwrap();
            let here = bench
                .choose_with(&placer(), &chain, 0, None, &[], 1)
                .unwrap();
            bench.domain = DOMAINS[1].parse().unwrap();
            let there = bench
                .choose_with(&placer(), &chain, 0, None, &[], 2)
                .unwrap();
            assert_eq!(here.upstream, there.upstream);
            preferred.push(here.upstream);
            let ticket = bench.table.start(here.upstream, BLOCK, BLOCK).unwrap();
            bench
                .table
                .finish(ticket, AttemptOutcome::Unreachable, at(0), 0);
        }
        assert_ne!(preferred[0], preferred[1]);
    }
}

#[test]
fn verify_hot_prefix_spreads_and_contracts_again() {
    let mut bench = Bench::new(10);
    // With this weight, a queue as long as the prefix outweighs the cache hit.
    bench.policy.recompute_weight = 100;
    let mut placer = placer();
    let text = "sheet of 20 bytes...".repeat(2_200);
    let chain = PrefixChain::new(Digest::of(b"scope"), text.as_bytes(), Tokens(2_000));
    let mut upstreams_used = |start: u64, gap: u64, max_outstanding: usize| {
        let mut tickets = Vec::new();
        let mut used = Vec::new();
        for i in 0..40 {
            let now = start + i * gap;
            let choice = bench.choose(&placer, &chain, now).unwrap();
            placer.record_placement(&chain, &choice, at(now));
            let ticket = bench.table.start(
                choice.upstream,
                chain.prompt_tokens(),
                choice.prefill_tokens,
            );
            tickets.extend(ticket);
            if tickets.len() > max_outstanding {
                let first = tickets.remove(0);
                bench
                    .table
                    .finish(first, AttemptOutcome::Responded, at(now), 0);
            }
            used.push(choice.upstream);
        }
        for ticket in tickets {
            bench
                .table
                .finish(ticket, AttemptOutcome::Responded, at(start), 0);
        }
        used.sort_unstable();
        used.dedup();
        used.len()
    };
    assert!(upstreams_used(0, 5, 40) > 2);
    assert_eq!(upstreams_used(60_000, 2_500, 0), 1);
}

#[test]
fn verify_nested_prompts_share_a_preferred_upstream() {
    let bench = Bench::new(10);
    let options = PlacerOptions {
        hint_ttl: Duration::ZERO,
        ..PlacerOptions::default()
    };
    let part = |name: String| format!("{name:8}").repeat(1_000);
    let chain = |context: u64, sheet: u64| {
        let text = part(format!("t{}", context % 8))
            + &part(format!("c{context}"))
            + &part(format!("s{sheet}"));
        PrefixChain::new(Digest::of(b"scope"), text.as_bytes(), Tokens(2_000))
    };
    let mut preferred = Vec::new();
    for seed in 0..2 {
        let mut placer = Placer::new(options);
        for i in 0..400 {
            let chain = chain((i * 7 + seed) % 30, i * 11 % 4 + seed);
            let choice = bench.choose(&placer, &chain, 1_000 + i).unwrap();
            placer.record_placement(&chain, &choice, at(1_000 + i));
        }
        for context in 0..30 {
            for sheet in [1, 2, 91, 92] {
                let choice = bench
                    .choose(&placer, &chain(context, sheet), 2_000)
                    .unwrap();
                preferred.push((context, choice.upstream));
            }
        }
    }
    preferred.sort_unstable();
    preferred.dedup();
    assert_eq!(
        preferred.len(),
        30,
        "sheets of one context have different preferred upstreams"
    );
    let differs = |context: &usize| preferred[*context].1 != preferred[*context + 8].1;
    let separated = (0..22).filter(differs).count();
    assert!(
        separated > 11,
        "most contexts of a team share one preferred upstream"
    );
}

#[test]
fn verify_request_waits_at_the_instance_when_queues_are_long() {
    let mut bench = Bench::new(4);
    let chain = chain("sheet of 20 bytes...");
    let ids = bench.ids.clone();
    for id in &ids[1..] {
        bench.queue(*id, 100_000, 0);
    }
    assert_eq!(bench.choose(&placer(), &chain, 0).unwrap().upstream, ids[0]);
    bench.queue(ids[0], 100_000, 0);
    let full = bench.choose(&placer(), &chain, 0);
    assert_eq!(full.unwrap_err(), PlacementError::AllFull);
}

#[test]
fn verify_errors_of_full_and_unreachable_pools() {
    let mut bench = Bench::new(2);
    bench.policy.max_outstanding = 1;
    let tickets: Vec<_> = bench
        .ids
        .iter()
        .map(|id| bench.table.start(*id, BLOCK, BLOCK).unwrap())
        .collect();
    let full = bench.choose(&placer(), &PrefixChain::EMPTY, 0);
    assert_eq!(full.unwrap_err(), PlacementError::AllFull);
    for ticket in tickets {
        bench
            .table
            .finish(ticket, AttemptOutcome::Unreachable, at(0), 0);
    }
    let down = bench.choose(&placer(), &PrefixChain::EMPTY, 0);
    assert_eq!(down.unwrap_err(), PlacementError::NoUpstream);
}

#[test]
fn verify_hint_count_is_bounded() {
    let bench = Bench::new(3);
    let mut placer = Placer::new(PlacerOptions {
        hint_capacity: 100,
        ..PlacerOptions::default()
    });
    for i in 0..1_000 {
        let chain = chain(&format!("sheet {i:03} of 20 bytes"));
        let choice = bench.choose(&placer, &chain, i).unwrap();
        placer.record_placement(&chain, &choice, at(i));
        assert!(placer.hint_count() <= 101);
    }
}

#[parameterized(
    pays = { 8_000, 100_000, 20, true },
    latency_too_long = { 1_000, 100_000, 60, false },
    slower_than_prefill = { 8_000, 10_000, 0, false },
    nothing_known = { 8_000, 0, 0, false },
    saving_too_small = { 8_000, 21_000, 0, false },
)]
fn verify_fetch_decision(tokens: u64, import: u64, latency: u64, imports: bool) {
    let rates = FetchRates {
        prefill: TokenRate(20_000),
        import: TokenRate(import),
        latency: Duration::from_millis(latency),
    };
    let decision = FetchDecision::new(Tokens(tokens), rates);
    assert_eq!(matches!(decision, FetchDecision::Import { .. }), imports);
}

#[parameterized(
    same = { ("a", "b", 1), ("a", "b", 1), true },
    other_team = { ("a", "b", 1), ("c", "b", 1), false },
    other_model = { ("a", "b", 1), ("a", "c", 1), false },
    other_weights = { ("a", "b", 1), ("a", "b", 2), false },
    names_run_together = { ("ab", "c", 1), ("a", "bc", 1), false },
    digits_run_together = { ("a", "b1", 1), ("a", "b", 11), false },
)]
fn verify_hashes_are_shared_only_within_a_scope(
    a: (&str, &str, u64),
    b: (&str, &str, u64),
    shared: bool,
) {
    let one = PrefixChain::new(scope(a.0, a.1, a.2).salt(), &[1; 64], BLOCK);
    let two = PrefixChain::new(scope(b.0, b.1, b.2).salt(), &[1; 64], BLOCK);
    let common = one.blocks().iter().any(|hash| two.blocks().contains(hash));
    assert_eq!(common, shared);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Chains of different scopes have no hash in common, and chains of the same
    /// scope have exactly the hashes of their common prefix in common.
    #[test]
    fn verify_chains_match_common_prefix_and_scope(
        teams in ("[ab]{1,2}", "[ab]{1,2}"),
        models in ("[ab]{1,2}", "[ab]{1,2}"),
        weights in (1..3_u64, 1..3_u64),
        common in proptest::collection::vec(any::<u8>(), 0..100),
        tails in (proptest::collection::vec(any::<u8>(), 0..100), proptest::collection::vec(any::<u8>(), 0..100)),
    ) {
        let a = scope(&teams.0, &models.0, weights.0);
        let b = scope(&teams.1, &models.1, weights.1);
        let (mut first, mut second) = (common.clone(), common);
        first.extend(&tails.0);
        second.extend(&tails.1);
        let one = PrefixChain::new(a.salt(), &first, BLOCK);
        let two = PrefixChain::new(b.salt(), &second, BLOCK);
        if a != b {
            prop_assert!(one.blocks().iter().all(|hash| !two.blocks().contains(hash)));
            return Ok(());
        }
        let bytes = usize::try_from(BLOCK.0).unwrap() * 4;
        let pairs = first.chunks_exact(bytes).zip(second.chunks_exact(bytes));
        let shared = pairs.take_while(|(x, y)| x == y).count();
        prop_assert_eq!(&one.blocks()[..shared], &two.blocks()[..shared]);
        if let (Some(x), Some(y)) = (one.blocks().get(shared), two.blocks().get(shared)) {
            prop_assert_ne!(x, y);
        }
        prop_assert!(one.blocks().len() <= MAX_BLOCKS);
    }

    /// An upstream is never chosen if it is leaving, down, removed, excluded, at its
    /// limit of outstanding requests or holds other weights. An eligible upstream is
    /// always found if there is one.
    #[test]
    fn verify_only_eligible_upstreams_are_chosen(
        states in proptest::collection::vec(0..8_u8, 1..12),
        random: u64,
        hinted in any::<bool>(),
    ) {
        let mut bench = Bench::new(states.len());
        bench.policy.max_outstanding = 2;
        let chain = chain("sheet of 20 bytes...");
        let mut placer = placer();
        let mut exclude = Vec::new();
        let mut eligible = Vec::new();
        let mut tickets = Vec::new();
        for (i, state) in states.iter().enumerate() {
            let id = bench.ids[i];
            if hinted {
                let all_but = bench.ids.iter().copied().filter(|other| *other != id);
                let choice = bench.choose_with(&placer, &chain, 0, None, &all_but.collect::<Vec<_>>(), 0);
                if let Ok(choice) = choice {
                    placer.record_placement(&chain, &choice, at(0));
                }
            }
            match state {
                0 => assert_eq!(bench.insert(i, Phase::Leaving), id),
                1 => {
                    let ticket = bench.table.start(id, BLOCK, BLOCK).unwrap();
                    bench.table.finish(ticket, AttemptOutcome::Unreachable, at(0), random);
                }
                2 => bench.table.remove(&format!("engine-{i}").parse().unwrap()),
                3 => exclude.push(id),
                4 => bench.identify(id, 1, 2),
                5 => tickets.extend((0..2).map(|_| bench.table.start(id, BLOCK, BLOCK).unwrap())),
                6 => {
                    let ticket = bench.table.start(id, BLOCK, BLOCK).unwrap();
                    bench.table.finish(ticket, AttemptOutcome::TimedOut, at(0), random);
                    eligible.push(id);
                }
                _ => eligible.push(id),
            }
        }
        let weights = Some(WeightsVersion(1));
        match bench.choose_with(&placer, &chain, 5, weights, &exclude, random) {
            Ok(choice) => prop_assert!(eligible.contains(&choice.upstream)),
            Err(unplaced) => {
                prop_assert!(eligible.is_empty());
                prop_assert_eq!(unplaced == PlacementError::AllFull, !tickets.is_empty());
            }
        }
    }
}
