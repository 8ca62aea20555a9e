#!/usr/bin/env python3
"""Weakens one mechanism after another and shows which test notices.

Works on a copy under target/weakened, so that the tree stays as it is. Run by
hand: `python3 .ci/weaken.py [NAME...]`. Prints a table and fails when a
weakened mechanism passes its test, or when its text is not found any more.
"""

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPY = ROOT / "target" / "weakened"
FLEET = "crates/fleet/src/"
ROUTER = "crates/router/src/fleet/"

# name, file, text, weaker text, package, test binary, test
WEAKENED = [
    ("keys are trusted forever", FLEET + "freshness.rs",
     "age < self.options.trust_timeout", "age < Duration::MAX",
     "fleet", "fleet", "keys_are_trusted_until"),
    ("keys are trusted beyond the bound", FLEET + "freshness.rs",
     "bound.saturating_sub(margin)", "bound + margin",
     "fleet", "freshness", "longer_than_the_bound"),
    ("the age in a peer's report is ignored", FLEET + "freshness.rs",
     "saturating_sub(age);", "saturating_sub(age * 0);",
     "fleet", "freshness", "longer_than_the_bound"),
    ("usage at other instances is ignored", FLEET + "limits.rs",
     "bucket.level -= f64::from(used);", "bucket.level -= f64::from(used) * 0.0;",
     "fleet", "limits", "flood_over_eight"),
    ("instances that are not live use nothing", FLEET + "limits.rs",
     "ratio(self.live.max(1), total)", "ratio(total, total)",
     "fleet", "limits", "two_sides_of_a_partition"),
    ("a new instance starts with a full bucket", FLEET + "limits.rs",
     "self.options.excess(limit) * INITIAL_EXCESS_FRACTION * fraction",
     "self.options.capacity(limit)",
     "fleet", "limits", "restart_of_all"),
    ("retries have no budget", FLEET + "retry_budget.rs",
     "if self.remaining(peer_counts, now) < 1.0 {", "if self.remaining(peer_counts, now) < -1e9 {",
     "fleet", "fleet", "retries_of_all_instances"),
    ("requests that may have run are retried", FLEET + "attempt.rs",
     "self.runs == 0 || self.kind.may_repeat()", "self.runs < 9 || self.kind.may_repeat()",
     "fleet", "attempts", "only_requests_that_may_run_again"),
    ("refusals state that nothing ran", FLEET + "attempt.rs",
     "if !self.may_have_run() {\n            return Refusal::new(Reason::Rejected)",
     "if self.runs < 9 {\n            return Refusal::new(Reason::Rejected)",
     "fleet", "attempts", "not_run_statuses"),
    ("the next holder skips the handover time", FLEET + "lease.rs",
     "handover: bound + Duration::from_millis(400)", "handover: Duration::ZERO",
     "fleet", "lease", "no_two_instances_order_within"),
    ("the next fencing number comes from the store alone", FLEET + "lease.rs",
     "self.max_fencing.max(first) + 1",
     "self.observed.as_ref().map_or(0, |o| o.record.fencing).max(first) + 1",
     "fleet", "lease", "no_two_instances_order_within"),
    ("an engine that has begun other answers clears a prompt", FLEET + "quarantine/crash.rs",
     "onset == Onset::Answer && any_begun", "any_begun",
     "fleet", "quarantine_sim", "ends_engines_before_their_first_byte"),
    ("the era is no part of the fencing number", FLEET + "lease.rs",
     "self.max_fencing.max(first) + 1", "self.max_fencing.max(first.min(0)) + 1",
     "fleet", "lease", "no_fencing_number_is_given_out_twice"),
    ("a peer's read during a lost poll is ignored", FLEET + "store_polls.rs",
     "sent.is_some() && self.peer_read > sent",
     "sent.is_some() && self.peer_read > self.last.map(|poll| poll.ended)",
     "fleet", "store_polls", "a_read_of_a_peer_during_a_lost_poll"),
    ("what is missing in an outdated configuration is final", ROUTER + "exchange.rs",
     "Reliance::Full if trusted =>", "Reliance::Full | Reliance::Partial if trusted =>",
     "platform-wire", "store_recovery", "knows_of_a_newer_version"),
    ("a cut is never noticed for hanging connections", ROUTER + "upstream_calls.rs",
     "reach::record_failure(instance, recipient, begun);\n                return Err(error.into());\n            }\n        };\n        let permit",
     "return Err(error.into());\n            }\n        };\n        let permit",
     "platform-wire", "cut_off", "passes_requests_on::hang"),
    ("a request that is lost with its peer counts as not run", ROUTER + "pass_on.rs",
     "Attempt::Lost(Failure::ConnectionLost, error.to_string())",
     "Attempt::Declined(error.to_string())",
     "platform-wire", "cut_off", "lost_with_its_peer"),
    ("a passed-on request goes on to another peer", ROUTER + "exchange.rs",
     "from_peer: sender == Sender::Peer,", "from_peer: false,",
     "platform-wire", "cut_off", "no_further_than_one_peer"),
    ("strangers pass requests on", ROUTER + "peer_requests.rs",
     "own.len() == value.len() && differences.fold(0, |all, one| all | one) == 0",
     "differences.fold(0, |all, one| all | one) == 0",
     "platform-wire", "cut_off", "a_stranger_is_no_peer"),
    ("one caller may have all", "crates/http/src/shares.rs",
     "held.saturating_mul(100 - percent) <= free.saturating_mul(percent)",
     "percent > 0 || held <= free",
     "http", "shares", "a_holder_gets_its_share_alone"),
    ("what is read ahead counts for nothing", "crates/http/src/server.rs",
     "let is_reserved = slot.try_reserve_ahead(limit);", "let is_reserved = limit > 0;",
     "http", "shares", "read_ahead_are_counted"),
    ("a crowd may have all", FLEET + "caller_resources.rs",
     "resources.address_share.unwrap_or(DEFAULT_ADDRESS_SHARE)",
     "resources.address_share.unwrap_or(DEFAULT_ADDRESS_SHARE.max(100))",
     "platform-wire", "caller_shares", "descriptors_of_an_address"),
    ("the kernel holds what is unread without limit", "crates/router/src/run.rs",
     "ListenerOpts::new().recv_buf_size(UNREAD_BYTES)", "ListenerOpts::new().backlog(1024)",
     "platform-wire", "caller_heads", "behind_a_large_body"),
    ("a cut ends upstreams", ROUTER + "crashes.rs",
     "if reach::is_cut_off(instance, &process.recipient).await {", "if false {",
     "platform-wire", "cut_off", "behind_a_cut_have_not_crashed"),
    ("a rise of the store's era is ignored", FLEET + "store_era.rs",
     "if era > known {", "if era.0 > known.0 + 9 {",
     "platform-wire", "restore", "revision_that_is_given_out_again"),
    ("a list goes on after a name as it stands", "platform/src/store.rs",
     '.map(|name| format!("&after={}", encode(name)))', '.map(|name| format!("&after={name}"))',
     "platform-wire", "odd_entries", "an_entry_with_an_odd_name"),
    ("one entry hides the others", "platform/src/store/decode.rs",
     "let outline = Outline::new(body, ENTRY_DEPTH);\n    let page", "let outline = Outline::new(body, 9);\n    let page",
     "platform-wire", "odd_entries", "contents_that_cannot_be_read"),
    ("an unreadable lease is free at once", FLEET + "lease.rs",
     "return self.record_after_restore(lost, has_orders, rank, now);\n        }\n        let is_lost",
     "let _ = lost;\n            return has_orders.then(|| self.record(self.next_fencing(), 0, false));\n        }\n        let is_lost",
     "fleet", "lease", "no_two_instances_order_within"),
    ("an unreadable lease of a lone daemon is timed from the first one", "crates/core/src/orders/lease.rs",
     "let since = now;", "let since = self.lost.map_or(now, |lost| lost.since);",
     "core", "orders_history", "only_one_instance_issues_orders"),
    ("an unreadable claim counts as a lost answer", "crates/platform/src/coordination.rs",
     "Ok(RecordPut::Unreadable(revision)) => ClaimWriteResult::Unreadable(revision),",
     "Ok(RecordPut::Unreadable(_)) => ClaimWriteResult::Unknown,",
     "platform", "coordination", "refusal_without_a_claim"),
    ("the end after a failed write is a regular one", "crates/http/src/client.rs",
     "if piece.is_none() && self.is_end_unknown {", "if piece.is_none() && self.is_end_unknown && false {",
     "http", "client", "ends_with_a_reset_connection"),
    ("lost registrations are not written again", ROUTER + "watch/instances.rs",
     "self.registrations.replace(Some(HashMap::new()));",
     "self.registrations.borrow_mut().get_or_insert_default();",
     "platform-wire", "restore", "registrations_and_the_lease"),
    ("weights share cached prompts", FLEET + "prompt.rs",
     'format!("{model}/{weights}/shared")', 'format!("{model}/{}/shared", weights.min(0))',
     "fleet", "placement", "parts_of_other_weights"),
    ("isolated teams share cached prompts", FLEET + "prompt.rs",
     'format!("{model}/{weights}/team/{team}")',
     'format!("{model}/{weights}/shared{}", &team[..0])',
     "fleet", "placement", "isolated_team_has_its_own_salt"),
    ("old weights are used forever", FLEET + "placement/prompts.rs",
     "if starts_ms >= millis(options.old_weights_max_age) {", "if starts_ms >= 1e12 {",
     "fleet", "placement", "old_weights_gets_no_request"),
    ("a waiting request outlasts the limit on old weights", FLEET + "begin_limit.rs",
     "if left.is_zero() {", "if left.is_zero() && outdated.age > self.max_age * 9 {",
     "fleet", "begin_limit", "no_request_waits_past"),
    ("peers get no time to report the age of weights", FLEET + "weights.rs",
     "seen_for < options.answer_time", "seen_for > Duration::MAX",
     "fleet", "weights", "after_peers_had_time"),
    ("a load of weights has an assumed time", FLEET + "rollout.rs",
     "let expected = self.pace(&load.model).expected(concurrent);",
     "let expected = Some(Duration::from_millis(340)).filter(|_| concurrent > 0);",
     "fleet", "load_pace", "keeps_the_pace"),
    ("late polls count as slow loads", FLEET + "load_pace.rs",
     "let excess = took.min.saturating_sub(undisturbed);\n"
     "        let is_measurable = excess >= MIN_EXCESS && concurrent > 1.0;\n"
     "        let ratio = took.min",
     "let excess = took.max.saturating_sub(undisturbed);\n"
     "        let is_measurable = excess >= MIN_EXCESS && concurrent > 1.0;\n"
     "        let ratio = took.max",
     "fleet", "load_pace", "late_polls"),
    ("draining upstreams get requests", FLEET + "availability.rs",
     "if self.absence.is_some() {\n            return Availability::Gone;\n        }\n        if self.is_leaving {",
     "if self.is_leaving && now < Time::ZERO {",
     "fleet", "fleet", "leaving_upstream_gets_no_requests"),
    ("leaving is taken from the store alone", FLEET + "upstreams/availability.rs",
     "if notices.leaving {", "if notices.leaving && now < Time::ZERO {",
     "fleet", "availability", "no_call_is_sent"),
    ("rest is forgotten by retries", FLEET + "placement.rs",
     ".of_service(service, self.now)",
     ".of_service(service, if self.attempted.is_empty() { self.now } else { Time::from_origin(Duration::MAX) })",
     "fleet", "availability", "no_call_is_sent"),
    ("rest is kept for the address", FLEET + "upstreams.rs",
     "let record = self.recall(process);",
     "let record = self.rows.values().find(|row| row.entry.address == entry.address)"
     ".map_or_else(|| self.departed.get(&process).map(|d| d.0).unwrap_or_default(), |row| row.record);",
     "fleet", "availability", "no_call_is_sent"),
    ("each instance takes a limit for its own", FLEET + "peers.rs",
     "match peers.max().filter(|(weight, _)| *weight > own) {",
     "match peers.max().filter(|(weight, _)| *weight > u64::MAX - u64::from(own == 0)) {",
     "fleet", "permits_sim", "holds_and_is_used_in_a_fleet_of_any_size::nine_instances"),
    ("both sides of a partition issue the whole limit", FLEET + "permit_issuer.rs",
     "limit.as_per_second() * counts.live_fraction()", "limit.as_per_second()",
     "fleet", "permits", "sides_of_a_partition"),
    ("a limit ends with any answer without it", FLEET + "upstream_limit.rs",
     "self.named.is_some_and(|named| named.heard < at)", "self.named.is_some()",
     "fleet", "permits", "only_a_later_request_ends"),
    ("silence ends a stream", ROUTER + "resume.rs",
     "Err(_) => None,", "Err(_) => Some(Failure::TimedOut),",
     "platform-wire", "silence", "ends_no_stream"),
    ("silence ends an attempt", ROUTER + "attempts.rs",
     "silent = Some(self.hold(std::mem::replace(&mut latest, next)));", "latest = next;",
     "platform-wire", "silence", "ends_no_repeatable_request"),
    ("a lowered idle limit holds at once", ROUTER + "serve.rs",
     "limit = limit.max(limits(instance).idle_timeout);", "limit = limits(instance).idle_timeout;",
     "platform-wire", "kept_connections", "lowered_idle_limit"),
    ("a daemon takes leaving from the store alone", FLEET + "upstreams/availability.rs",
     "if notices.leaving {", "if notices.leaving && now < Time::ZERO {",
     "platform-wire", "leaving", "though_its_entry_is_ready"),
    ("entries that expired in an outage are removed at once", FLEET + "upstreams.rs",
     "} else if after_outage {", "} else if after_outage && now < Time::ZERO {",
     "fleet", "fleet", "expired_in_an_outage"),
    ("a part's share of the answered prompts is ignored", FLEET + "quarantine/evidence.rs",
     "let by_chance = by_chance(share.value(),", "let by_chance = by_chance(share.value().min(0.01),",
     "fleet", "quarantine_sim", "ordinary_crashes_withhold_no_part"),
    ("the prompts caught in earlier crashes say nothing of a part's share",
     FLEET + "quarantine/evidence.rs",
     "share.add(moment.with_part, moment.suspects);", "share.add(0, 0);",
     "fleet", "quarantine_sim", "sound_part_is_withheld_by_chance"),
    ("engines that end at one moment count apart", FLEET + "quarantine/evidence.rs",
     "if crash.at.since(last.at) < span", "if crash.at.since(last.at) < span * 0",
     "fleet", "quarantine", "end_at_one_moment"),
    ("answers at other instances clear no part", FLEET + "quarantine.rs",
     "self.log.record_survival(survival.subject, at);", "let _ = (survival.subject, at);",
     "fleet", "quarantine_sim", "ordinary_crashes_withhold_no_part"),
    ("prompts are sent again whatever ended", FLEET + "quarantine.rs",
     "e.moments > max_moments && !e.was_answered", "e.moments > max_moments + 9_999 && !e.was_answered",
     "fleet", "quarantine", "not_sent_again_after"),
    ("withheld parts are forgotten at a restart", ROUTER + "quarantine.rs",
     "quarantine.apply_record(&record, now);", "let _ = (&mut quarantine, now);",
     "platform-wire", "withheld_parts", "restarted_instance"),
    ("an answer clears no request", FLEET + "quarantine/repeats.rs",
     "filter(|crash| Some(crash.at) > survival)", "filter(|crash| Some(crash.at) > survival.min(None))",
     "fleet", "request_sim", "ordinary_crashes_withhold_no_request"),
    ("every instance tries a withheld request", FLEET + "quarantine/register.rs",
     "if place >= instances.unwrap_or(usize::MAX) {", "if place >= usize::MAX - usize::from(instances.is_none()) {",
     "fleet", "repeats", "one_instance_tries"),
    ("plain requests aren't withheld", ROUTER + "forward.rs",
     "(quarantine.withholds(key) && !self.is_trial.get())",
     "(quarantine.withholds(key) && !self.is_trial.get() && self.prompt().is_some())",
     "platform-wire", "crashing_requests", "reaches_few_more::order"),
    ("the recorded answers are ignored", FLEET + "quarantine/answers.rs",
     "(own.len() < min_answers).then_some(earlier)", "(min_answers == 0).then_some(earlier)",
     "fleet", "quarantine_sim", "restart_of_a_busy_fleet"),
    ("an instance with few answers leaves out those of the others", FLEET + "quarantine/answers.rs",
     "estimated.max(as_f64(self.count()))", "estimated.min(0.0).max(as_f64(self.count()))",
     "fleet", "quarantine_sim", "harmful_part_is_withheld_in_a_young_fleet"),
    ("a part that was present at all crashes needs the higher threshold",
     FLEET + "quarantine/evidence.rs",
     "(self.onset == Onset::Answer || self.is_always_present)", "(self.onset == Onset::Answer)",
     "fleet", "quarantine_sim", "harmful_part_is_withheld_in_a_young_fleet"),
    ("a part counts as present at crashes from before a restart", FLEET + "quarantine/evidence.rs",
     "absent.is_empty() && first >= self.complete_from", "absent.is_empty()",
     "fleet", "quarantine_sim", "restart_of_a_busy_fleet"),
    ("crashes of runs from before a restart count as absences", FLEET + "quarantine/evidence.rs",
     "crash.at >= self.complete_from", "crash.at >= Time::ZERO",
     "fleet", "quarantine", "from_before_its_start"),
    ("a stream that no engine can continue is cut", ROUTER + "outage.rs",
     "if forwarder.attempts.get().has_begun() {", "if false {",
     "platform-wire", "silence", "no_engine_can_continue"),
    ("a stream that waits is not judged again", ROUTER + "attempts.rs",
     "if !self.has_lost_upstream.get() {", "if !self.has_lost_upstream.get() || !self.waits.get().is_new() {",
     "platform-wire", "crashing_prompts", "stream_that_waits"),
    ("a prompt that waits is not withdrawn", ROUTER + "forward.rs",
     "if self.withheld_subject().is_some() {\n            return Waiting::Withdraw;",
     "if false {\n            return Waiting::Withdraw;",
     "platform-wire", "withheld_parts", "waiting_prompt"),
    ("an answer without framing is always complete", ROUTER + "crashes.rs",
     "Completeness::BrokenOff => return false,", "Completeness::BrokenOff => return true,",
     "platform-wire", "unframed", "unframed"),
    ("a process that may be ending is not asked again", FLEET + "loss.rs",
     "let may_be_ending = self.open == 0 &&", "let may_be_ending = self.open == usize::MAX &&",
     "platform-wire", "unframed", "whatever_its_host_does"),
    ("a process without a sign of life lives on", FLEET + "loss.rs",
     "LifeSign::Missing if self.is_suspected => None,", "LifeSign::Missing if self.at >= Time::ZERO => None,",
     "platform-wire", "crashing_prompts", "whatever_their_hosts_do::hang"),
    ("silence is no reason to ask", FLEET + "runs.rs",
     "now.since(progress) >= silence", "now.since(progress) >= silence * 99",
     "platform-wire", "crashing_prompts", "whatever_their_hosts_do::freeze"),
    ("silence after the first event counts as an answer", FLEET + "runs.rs",
     "(self.is_complete || self.read >= Some(at))", "(self.is_complete || self.read.is_some())",
     "fleet", "runs", "nothing_more_is_read"),
    ("a suspicion is never withdrawn", FLEET + "quarantine/evidence.rs",
     "|| crash.process != process || crash.at >= at);", "|| crash.process != process || crash.at <= at);",
     "fleet", "quarantine_sim", "resets_at_engines"),
    ("a second end is taken for the first", FLEET + "runs.rs",
     "self.alive_since(process, known).is_none().then_some(known)",
     "self.alive_since(process, known).is_none_or(|_| true).then_some(known)",
     "fleet", "suspicion", "can_end_again"),
    ("outdated heartbeats are counted", FLEET + "peers.rs",
     "if !restarted && heartbeat.sequence <= peer.sequence {", "if !restarted && heartbeat.sequence == 0 {",
     "fleet", "fleet", "counted_once_despite"),
    ("timed-out KV stores are used", FLEET + "kv_store_monitor.rs",
     "age < STATUS_TIMEOUT", "age < STATUS_TIMEOUT * 1_000",
     "fleet", "fleet", "restarted_store_is_detected"),
    ("all engines load at once", FLEET + "rollout.rs",
     "const CONCURRENT_LOADS_DIVISOR: usize = 5;", "const CONCURRENT_LOADS_DIVISOR: usize = 1;",
     "fleet", "rollout", "concurrent_loads_are_bounded"),
    ("the configuration is confirmed by watches alone", ROUTER + "watch/confirmation.rs",
     "        configuration::apply(instance, object);", "        let _ = object;",
     "platform-wire", "serving", "though_watches_lag"),
    ("responses to other requests are relayed", ROUTER + "relay.rs",
     "!fields.encoded && own", "true || own",
     "platform-wire", "serving", "each_failure_of_a_plain"),
    ("runs continue after the caller has disconnected", ROUTER + "relay.rs",
     "return CopyEnd::CutOff(CutOffCause::CallerClosed);",
     "continue;",
     "platform-wire", "serving", "run_ends_when_the_caller"),
    ("a stop cuts what runs", "crates/router/src/running.rs",
     "count.get() > 0", "count.get() > 9_999",
     "platform-wire", "fleet", "planned_stop_interrupts_no"),
    ("each instance has an allowance for a canary", FLEET + "canary/rollout.rs",
     "            credit: 0.0,\n", "            credit: 1.0,\n",
     "fleet", "canary", "share_is_earned"),
    ("retries at a canary are not counted", FLEET + "canary/rollout.rs",
     "self.credit = (self.credit + share - used)", "self.credit = (self.credit + share - used * 0.0)",
     "fleet", "canary", "share_is_earned"),
    ("a successor forgets the verdict on a canary", FLEET + "canary/rollout.rs",
     "self.is_bad |= report.is_bad;", "let _ = report.is_bad;",
     "fleet", "canary", "recorded_by_a_successor"),
    ("a daemon retries requests that may have run", FLEET + "attempt.rs",
     "let repeatable = self.runs == 0 || self.kind.may_repeat();\n"
     "        let left = self.runs < self.max_runs && ",
     "let repeatable = true;\n        let left = self.runs < 3 && ",
     "platform-wire", "soak", "guarantees_hold"),
    ("a daemon trusts keys forever", FLEET + "freshness.rs",
     "age < self.options.trust_timeout", "age < Duration::MAX",
     "platform-wire", "soak", "guarantees_hold"),
    ("a daemon states for every refusal that nothing ran", FLEET + "attempt.rs",
     "if !self.may_have_run() {\n            return Refusal::new(Reason::Rejected)",
     "if self.runs < 9 {\n            return Refusal::new(Reason::Rejected)",
     "platform-wire", "soak", "guarantees_hold"),
]


def run(*command):
    done = subprocess.run(command, cwd=COPY, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout + done.stderr


def outcome(package, binary, test):
    if package != "fleet":
        code, text = run("cargo", "build", "--workspace")
        if code != 0:
            return "does not build:\n" + text[-1500:]
    code, text = run("cargo", "test", "-p", "limpetsaddle-" + package, "--test", binary, test)
    if "could not compile" in text:
        return "does not build:\n" + text[-1500:]
    if " 0 passed; 0 failed" in text:
        return "no such test"
    return "passes" if code == 0 else "fails"


def main():
    wanted = sys.argv[1:]
    COPY.mkdir(parents=True, exist_ok=True)
    # Sources are copied with their times, so that what was built stays in use.
    for name in ("crates", "platform", "Cargo.toml", "Cargo.lock", ".cargo", "rustfmt.toml", "clippy.toml"):
        source = ROOT / name
        if source.is_dir():
            shutil.copytree(source, COPY / name, dirs_exist_ok=True)
        elif source.exists():
            shutil.copy2(source, COPY / name)
    bad = 0
    print("| weakened mechanism | test | it |\n|---|---|---|")
    for name, file, text, weaker, package, binary, test in WEAKENED:
        if wanted and not any(part in name for part in wanted):
            continue
        path = COPY / file
        whole = (ROOT / file).read_text()
        if text not in whole:
            result = "text not found"
        else:
            path.write_text(whole.replace(text, weaker, 1))
            result = outcome(package, binary, test)
            path.write_text(whole)
        bad += result != "fails"
        print(f"| {name} | {binary}: {test} | {result} |", flush=True)
    sys.exit(bad != 0)


if __name__ == "__main__":
    main()
