//! Configuration changes reach every daemon and are never reverted.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Instant;

use limpetsaddle_fakes::Outage;
use limpetsaddle_fakes::PlatformFaults;
use limpetsaddle_fakes::WatchFault;
use serde_json::Value;
use serde_json::json;
use support::Fleet;
use support::FleetOptions;
use support::Report;
use support::StatusRecorder;
use support::get;
use support::put;
use support::wait_until;
use yare::parameterized;

const PRESETS: &str = "/v1/config/presets/current";

const NAMES: [&str; 3] = ["ordinary", "peak", "maintenance"];

/// The number of concurrent operators.
const OPERATORS: usize = 3;

/// The number of changes that each operator makes.
const CHANGES: usize = 4;

const ALL: [usize; 5] = [0, 1, 2, 3, 4];

fn fleet() -> Fleet {
    let fleet = Fleet::start_without_waiting(&FleetOptions {
        daemons: vec!["a", "a", "b", "b", "c"],
        ..FleetOptions::default()
    });
    for daemon in &fleet.daemons {
        daemon.wait_ready();
    }
    fleet
}

/// Changes the preset by conditional updates until one is confirmed, and returns
/// its revision. After a lost response, reads the current revision and retries.
fn change_preset(platform: SocketAddr, preset: &str) -> u64 {
    let spec = json!({"presets": {"active": preset}});
    loop {
        let current = get(platform, PRESETS, &[]).json();
        let expected = current["revision"].as_u64().unwrap_or(0);
        let response = put(
            platform,
            PRESETS,
            &json!({"expected": expected, "spec": spec}),
        );
        if response.status == 200 {
            return response.json()["revision"].as_u64().expect("a revision");
        }
    }
}

/// Runs concurrent operators and returns the preset of each confirmed revision.
fn change_concurrently(platform: SocketAddr) -> BTreeMap<u64, String> {
    let operate = |operator: usize| {
        thread::spawn(move || {
            let change = |i: usize| {
                let preset = NAMES[(operator + i) % NAMES.len()];
                (change_preset(platform, preset), preset.to_owned())
            };
            (0..CHANGES).map(change).collect::<Vec<_>>()
        })
    };
    let operators: Vec<_> = (0..OPERATORS).map(operate).collect();
    let changes = operators
        .into_iter()
        .map(|o| o.join().expect("an operator panicked"));
    changes.flatten().collect()
}

/// Checks that the reports are consistent with presets applied once each, in the
/// order of their revisions, and that none shows a preset older than its revision.
fn check_history(reports: &[Report], presets: &BTreeMap<u64, String>) {
    let mut previous = (0, 0);
    let mut min_revision = 0;
    for report in reports {
        assert!(NAMES.contains(&report.preset.as_str()), "{report:?}");
        assert!(
            report.incarnation != previous.0 || report.revision >= previous.1,
            "{report:?} after revision {}",
            previous.1
        );
        if report.incarnation != previous.0 {
            min_revision = 0;
        }
        previous = (report.incarnation, report.revision);
        let confirmed = presets.range(..=report.revision).next_back();
        min_revision = min_revision.max(confirmed.map_or(0, |(revision, _)| *revision));
        if min_revision == 0 && report.preset == NAMES[0] {
            continue;
        }
        let found = presets
            .range(min_revision..)
            .find(|(_, p)| **p == report.preset);
        let (revision, _) = found.unwrap_or_else(|| panic!("{report:?} with {presets:?}"));
        min_revision = *revision;
    }
}

#[track_caller]
fn wait_preset(fleet: &Fleet, preset: &str) {
    for daemon in &fleet.daemons {
        wait_until("the active preset", || daemon.status()["preset"] == preset);
    }
}

#[parameterized(
    no_fault = { WatchFault::None, 0 },
    skipped = { WatchFault::Skip, 0 },
    repeated = { WatchFault::Repeat, 0 },
    reordered = { WatchFault::Reorder, 0 },
    silent = { WatchFault::Silent, 0 },
    lost_answers = { WatchFault::None, 6 },
)]
fn verify_concurrent_changes_apply_in_order(watch: WatchFault, lost_answers: u32) {
    let fleet = fleet();
    let platform = fleet.platform.address();
    change_preset(platform, NAMES[0]);
    let first = fleet.platform.state().revision();
    fleet.wait_revision(&ALL, first);
    let recorder = StatusRecorder::start(&fleet);
    fleet.platform.state().faults = PlatformFaults {
        watch,
        lost_answers,
        ..PlatformFaults::default()
    };
    let mut presets = change_concurrently(platform);
    // End on an even revision: `WatchFault::Skip` omits it from the watch.
    while fleet.platform.state().revision() % 2 == 1 {
        presets.insert(change_preset(platform, NAMES[1]), NAMES[1].to_owned());
    }
    let current = get(platform, PRESETS, &[]).json();
    let last = current["revision"].as_u64().expect("a revision");
    let preset = preset_of(&current);
    let written = Instant::now();
    wait_preset(&fleet, &preset);
    println!(
        "{watch:?}: applied everywhere {:?} after the last of {} writes",
        written.elapsed(),
        presets.len()
    );
    let later = fleet.platform.state().revision();
    fleet.wait_revision(&ALL, later);
    presets.insert(last, preset.clone());
    for reports in recorder.stop() {
        assert_eq!(reports.last().expect("reports").preset, preset);
        if lost_answers == 0 {
            check_history(&reports, &presets);
        } else {
            check_revisions(&reports);
        }
    }
}

fn preset_of(object: &Value) -> String {
    let preset = object["spec"]["presets"]["active"].as_str();
    preset.expect("a preset").to_owned()
}

/// Checks that no revision decreases within an incarnation.
fn check_revisions(reports: &[Report]) {
    for pair in reports.windows(2) {
        let later = pair[1].revision >= pair[0].revision;
        assert!(later || pair[1].incarnation != pair[0].incarnation);
        assert!(NAMES.contains(&pair[1].preset.as_str()));
    }
}

#[parameterized(
    unavailable = { Outage::Unavailable },
    silent = { Outage::Silent },
    closing = { Outage::Closing },
)]
fn verify_change_reaches_daemons_disconnected_from_platform(outage: Outage) {
    let fleet = fleet();
    let platform = fleet.platform.address();
    let first = change_preset(platform, NAMES[0]);
    fleet.wait_revision(&ALL, first);
    let recorder = StatusRecorder::start(&fleet);
    // One daemon has a peer in its failure domain that reaches the platform; the
    // other is the only daemon of its failure domain.
    fleet.platform_paths[0].cut();
    fleet.platform_paths[4].cut();
    fleet.platform.state().faults.outage = outage;
    wait_until("calls during the outage", || {
        fleet.platform.state().calls.refused > 4
    });
    // The write takes effect, although no daemon can observe it yet.
    let spec = json!({"presets": {"active": "peak"}});
    let revision = fleet.put("presets/current", spec);
    fleet.platform.state().faults.outage = Outage::None;
    let healed = Instant::now();
    wait_preset(&fleet, "peak");
    println!(
        "{outage:?}: applied everywhere {:?} after the end of the outage",
        healed.elapsed()
    );
    fleet.wait_revision(&ALL, revision);
    let presets = [(first, "ordinary".into()), (revision, "peak".into())];
    for reports in recorder.stop() {
        check_history(&reports, &presets.clone().into());
    }
}

#[parameterized(
    invalid_path = { json!({"route": {"path": "lookups", "pool": "order-desk"}}) },
    wrong_type = { json!({"route": {"path": 7}}) },
    wrong_kind = { json!({"pool": {"kind": "service"}}) },
)]
fn verify_invalid_object_keeps_last_valid_one(spec: Value) {
    let mut fleet = fleet();
    let first = fleet.platform.state().revision();
    fleet.wait_revision(&ALL, first);
    fleet.put("route/lookups", spec);
    let last = change_preset(fleet.platform.address(), "peak");
    fleet.wait_revision(&ALL, last);
    wait_preset(&fleet, "peak");
    assert_lookups(&fleet);
    let invalid = "limpetsaddle_events_total{event=\"config_invalid\"";
    wait_until("the metric for the invalid object", || {
        fleet.daemons.iter().any(|d| d.metric(invalid) > 0)
    });
    // A restarted daemon loads the last valid object from its peers.
    fleet.daemons[1].restart();
    fleet.daemons[1].wait_ready();
    assert_lookups(&fleet);
}

#[track_caller]
fn assert_lookups(fleet: &Fleet) {
    let bearer = format!("Bearer {}", fleet.team.key);
    let headers = [("authorization", bearer.as_str())];
    for daemon in &fleet.daemons {
        let response = get(daemon.listen(), "/lookups/7", &headers);
        assert_eq!(response.status, 200, "{}", response.body);
    }
}
