//! Selection among the upstreams whose version may get a request.

mod support;

use std::rc::Rc;

use limpetsaddle_fleet::Name;
use limpetsaddle_fleet::canary::Admission;
use limpetsaddle_fleet::canary::Side;
use limpetsaddle_fleet::placement::PlacementContext;
use limpetsaddle_fleet::placement::PlacementOptions;
use limpetsaddle_fleet::placement::PromptRequest;
use limpetsaddle_fleet::placement::place_plain;
use limpetsaddle_fleet::placement::place_prompt;
use limpetsaddle_fleet::upstreams::UpstreamEntry;
use support::Fleet;
use support::SERVICE;
use support::at;
use support::engine;
use support::engine_spec;
use support::plain;
use support::prompt;

/// The random numbers that are tried.
const DRAWS: u64 = 200;

fn admission(upstreams: &[&str]) -> Admission {
    Admission {
        side: Side::Base,
        upstreams: upstreams.iter().map(|id| Name::from(*id)).collect(),
    }
}

/// Returns the ids of upstreams that are selected, without duplicates.
fn selected(
    entries: Vec<UpstreamEntry>,
    permitted: &Admission,
    place: impl Fn(&PlacementContext<'_>) -> Option<Rc<str>>,
) -> Vec<Rc<str>> {
    let fleet = Fleet::new(entries);
    let place = |random| {
        place(&PlacementContext {
            permitted: Some(permitted),
            ..fleet.cx(at(0), random)
        })
    };
    let mut ids: Vec<_> = (0..DRAWS).filter_map(place).collect();
    ids.sort();
    ids.dedup();
    ids
}

/// Guards against requests to plain upstreams of a version that may get none.
#[test]
fn verify_a_plain_request_goes_to_permitted_upstreams_alone() {
    let entries: Vec<_> = (1..=4).map(plain).collect();
    let all: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
    let service = entries[0].service.clone();
    let place = |cx: &PlacementContext<'_>| Some(place_plain(&service, cx)?.upstream);
    let two = admission(&[&all[1], &all[3]]);
    let ids = selected(entries.clone(), &two, place);
    assert_eq!(ids, [all[1].clone(), all[3].clone()]);
    assert!(selected(entries, &admission(&[]), place).is_empty());
}

/// Guards against prompts that go to an engine of a version that may get none, as it is the
/// preferred one of their shared parts.
#[test]
fn verify_a_prompt_goes_to_permitted_engines_alone() {
    let entries: Vec<_> = (1..=4).map(|index| engine(index, 1)).collect();
    let all: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
    let (spec, prompt) = (engine_spec(), prompt(&[("p", 4_000)]));
    let place = |cx: &PlacementContext<'_>| {
        let req = PromptRequest {
            service: SERVICE,
            engine: &spec,
            prompt: &prompt,
            isolated_team: None,
            target_weights: None,
            store: None,
            rate: 0.0,
        };
        Some(place_prompt(&req, &PlacementOptions::default(), cx)?.upstream)
    };
    for id in &all {
        let ids = selected(entries.clone(), &admission(&[id]), place);
        assert_eq!(ids, std::slice::from_ref(id));
    }
}
