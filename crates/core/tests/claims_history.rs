//! Tests of interleaved attempts with one idempotency key, by their histories.

use std::time::Duration;

use limpetsaddle_core::claims::AttemptEnd;
use limpetsaddle_core::claims::AttemptId;
use limpetsaddle_core::claims::CallerResponse;
use limpetsaddle_core::claims::ClaimName;
use limpetsaddle_core::claims::ClaimOptions;
use limpetsaddle_core::claims::ClaimRequest;
use limpetsaddle_core::claims::ClaimStep;
use limpetsaddle_core::claims::ClaimWrite;
use limpetsaddle_core::claims::ClaimWriteResult;
use limpetsaddle_core::claims::HeldClaim;
use limpetsaddle_core::claims::PendingClaim;
use limpetsaddle_core::claims::SendOutcome;
use limpetsaddle_core::claims::SendPermit;
use limpetsaddle_core::claims::SettleStep;
use limpetsaddle_core::claims::Settlement;
use limpetsaddle_core::claims::StoredBody;
use limpetsaddle_core::claims::StoredResponse;
use limpetsaddle_core::claims::VersionedClaim;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::refusal::Execution;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::units::Incarnation;
use limpetsaddle_core::units::Revision;
use limpetsaddle_core::units::Time;
use proptest::prelude::*;

const ATTEMPTS: usize = 3;
const CASES: u32 = 6_000;
const MAX_OPS: usize = 40;

/// The delivery of one message.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Delivered,
    LostRequest,
    LostResponse,
    Delayed,
    Rejected,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Step(usize, Delivery),
    Crash(usize),
    DeliverDelayed,
    Advance(Duration),
}

/// The platform's record of the key, with its expiry.
#[derive(Default)]
struct Platform {
    last_revision: u64,
    record: Option<(VersionedClaim, Option<Time>)>,
    delayed: Vec<ClaimWrite>,
}

impl Platform {
    fn write_record(&mut self, write: ClaimWrite, now: Time) -> ClaimWriteResult {
        let expired = |until: &Option<Time>| until.is_some_and(|t| t <= now);
        if self
            .record
            .as_ref()
            .is_some_and(|(_, until)| expired(until))
        {
            self.record = None;
        }
        let current = self.record.as_ref().map(|(c, _)| c.clone());
        let revision = current.as_ref().map_or(Revision::ABSENT, |c| c.revision);
        if revision != write.expected {
            return ClaimWriteResult::Conflict(current);
        }
        self.last_revision += 1;
        let stored = VersionedClaim {
            revision: Revision(self.last_revision),
            claim: write.claim,
        };
        self.record = Some((stored, write.time_to_live.map(|duration| now + duration)));
        ClaimWriteResult::Written(Revision(self.last_revision))
    }

    fn call(&mut self, write: ClaimWrite, delivery: Delivery, now: Time) -> ClaimWriteResult {
        match delivery {
            Delivery::Delivered => self.write_record(write, now),
            Delivery::LostRequest => ClaimWriteResult::Unknown,
            Delivery::LostResponse => {
                self.write_record(write, now);
                ClaimWriteResult::Unknown
            }
            Delivery::Delayed => {
                self.delayed.push(write);
                ClaimWriteResult::Unknown
            }
            Delivery::Rejected => ClaimWriteResult::Rejected { retry_after: None },
        }
    }
}

enum State {
    Pending(PendingClaim, ClaimWrite),
    Held(HeldClaim),
    Sending(SendPermit),
    Settling(Box<Settlement>),
    Ended,
}

struct Actor {
    id: AttemptId,
    state: State,
    response: Option<CallerResponse>,
}

struct Simulation {
    now: Time,
    platform: Platform,
    runs: Vec<AttemptId>,
    actors: Vec<Actor>,
}

fn response_of(id: AttemptId) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: StoredBody::of(id.number.to_string().as_bytes()),
    }
}

impl Simulation {
    fn new() -> Self {
        let actors = (0..ATTEMPTS as u64).map(Actor::start).collect();
        Self {
            now: Time::ZERO,
            platform: Platform::default(),
            runs: Vec::new(),
            actors,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Step(index, delivery) => self.step(index, delivery),
            Op::Crash(index) => self.actors[index].state = State::Ended,
            Op::DeliverDelayed => {
                for write in std::mem::take(&mut self.platform.delayed) {
                    self.platform.write_record(write, self.now);
                }
            }
            Op::Advance(duration) => self.now = self.now + duration,
        }
    }

    fn step(&mut self, index: usize, delivery: Delivery) {
        let actor = &mut self.actors[index];
        match std::mem::replace(&mut actor.state, State::Ended) {
            State::Pending(claim, write) => {
                let result = self.platform.call(write, delivery, self.now);
                match claim.on_write(result, self.now) {
                    ClaimStep::Write(claim, write) => actor.state = State::Pending(claim, write),
                    ClaimStep::Send(held) => actor.state = State::Held(held),
                    ClaimStep::Finish(finish) => actor.finish(finish),
                }
            }
            State::Held(held) => match held.begin(self.now) {
                Ok(sending) => actor.state = State::Sending(sending),
                Err(finish) => actor.finish(finish),
            },
            State::Sending(sending) => {
                let outcome = send(&mut self.runs, actor.id, delivery);
                actor.finish(sending.finish(outcome, self.now));
            }
            State::Settling(settlement) => {
                let result = self.platform.call(settlement.write(), delivery, self.now);
                if let SettleStep::Retry(settlement, _) = settlement.on_write(result, self.now) {
                    actor.state = State::Settling(settlement);
                }
            }
            State::Ended => {}
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.runs.len() <= 1, "ran more than once: {:?}", self.runs);
        for actor in &self.actors {
            let ran = self.runs.contains(&actor.id);
            match &actor.response {
                Some(CallerResponse::Forward) => prop_assert!(ran),
                Some(CallerResponse::Replay(outcome)) => {
                    let expected = self.runs.first().map(|id| response_of(*id));
                    prop_assert_eq!(Some(outcome), expected.as_ref());
                }
                Some(CallerResponse::Refuse(refusal)) if refusal.ran == Execution::NotRun => {
                    prop_assert!(!ran, "refused as not run, but ran: {:?}", actor.id);
                }
                Some(CallerResponse::Refuse(_)) | None => {}
            }
        }
        Ok(())
    }
}

fn send(runs: &mut Vec<AttemptId>, id: AttemptId, delivery: Delivery) -> SendOutcome {
    match delivery {
        Delivery::Delivered => {
            runs.push(id);
            SendOutcome::Responded(response_of(id))
        }
        Delivery::LostRequest => SendOutcome::Unknown(Reason::UpstreamTimeout),
        Delivery::LostResponse | Delivery::Delayed => {
            runs.push(id);
            SendOutcome::Unknown(Reason::UpstreamFailed)
        }
        Delivery::Rejected => SendOutcome::NotRun(Reason::UpstreamUnreachable),
    }
}

impl Actor {
    fn start(number: u64) -> Self {
        let id = AttemptId {
            incarnation: Incarnation(number),
            number,
        };
        let request = ClaimRequest {
            name: ClaimName::new(&"mill".parse().unwrap(), "batch-9"),
            digest: Digest::of(b"release"),
            attempt: id,
        };
        let (claim, write) = PendingClaim::start(request, ClaimOptions::default(), Time::ZERO);
        Self {
            id,
            state: State::Pending(claim, write),
            response: None,
        }
    }

    fn finish(&mut self, finish: AttemptEnd) {
        self.response = Some(finish.response);
        self.state = finish.settlement.map_or(State::Ended, State::Settling);
    }
}

fn deliveries() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Delivered),
        1 => Just(Delivery::LostRequest),
        2 => Just(Delivery::LostResponse),
        1 => Just(Delivery::Delayed),
        1 => Just(Delivery::Rejected),
    ]
}

fn ops() -> impl Strategy<Value = Op> {
    prop_oneof![
        20 => (0..ATTEMPTS, deliveries()).prop_map(|(index, delivery)| Op::Step(index, delivery)),
        1 => (0..ATTEMPTS).prop_map(Op::Crash),
        2 => Just(Op::DeliverDelayed),
        1 => Just(Op::Advance(Duration::from_secs(11))),
        1 => Just(Op::Advance(Duration::from_hours(25))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verify_each_key_runs_at_most_once(schedule in prop::collection::vec(ops(), 1..MAX_OPS)) {
        let mut sim = Simulation::new();
        for op in schedule {
            sim.apply(op);
            sim.check()?;
        }
    }

    #[test]
    fn verify_key_runs_once_when_faults_end(
        schedule in prop::collection::vec((0..ATTEMPTS, prop::bool::ANY), 0..4),
    ) {
        let mut sim = Simulation::new();
        for (index, lost) in schedule {
            // Fewer responses are lost than an attempt has writes; nothing else fails.
            let is_pending = matches!(sim.actors[index].state, State::Pending(..));
            let delivery = if lost && is_pending { Delivery::LostResponse } else { Delivery::Delivered };
            sim.apply(Op::Step(index, delivery));
            sim.check()?;
        }
        for _ in 0..8 {
            (0..ATTEMPTS).for_each(|index| sim.apply(Op::Step(index, Delivery::Delivered)));
        }
        sim.check()?;
        prop_assert_eq!(sim.runs.len(), 1);
    }
}
