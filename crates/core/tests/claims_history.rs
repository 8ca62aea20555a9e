//! Interleavings of attempts with one idempotency key, checked by their history.

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
use limpetsaddle_core::claims::Sending;
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

/// What happens to one message.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Delivered,
    LostBefore,
    LostAfter,
    Delayed,
    Rejected,
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Step(usize, Fate),
    Crash(usize),
    DeliverDelayed,
    Advance(Duration),
}

/// The platform's record of the key, with its expiry.
#[derive(Default)]
struct Platform {
    last: u64,
    record: Option<(VersionedClaim, Option<Time>)>,
    delayed: Vec<ClaimWrite>,
}

impl Platform {
    fn put(&mut self, write: ClaimWrite, now: Time) -> ClaimWriteResult {
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
        self.last += 1;
        let stored = VersionedClaim {
            revision: Revision(self.last),
            claim: write.claim,
        };
        self.record = Some((stored, write.time_to_live.map(|span| now + span)));
        ClaimWriteResult::Written(Revision(self.last))
    }

    fn call(&mut self, write: ClaimWrite, fate: Fate, now: Time) -> ClaimWriteResult {
        match fate {
            Fate::Delivered => self.put(write, now),
            Fate::LostBefore => ClaimWriteResult::Unknown,
            Fate::LostAfter => {
                self.put(write, now);
                ClaimWriteResult::Unknown
            }
            Fate::Delayed => {
                self.delayed.push(write);
                ClaimWriteResult::Unknown
            }
            Fate::Rejected => ClaimWriteResult::Rejected { retry_after: None },
        }
    }
}

enum State {
    Claiming(PendingClaim, ClaimWrite),
    Held(HeldClaim),
    Sending(Sending),
    Settling(Box<Settlement>),
    Ended,
}

struct Actor {
    id: AttemptId,
    state: State,
    response: Option<CallerResponse>,
}

struct World {
    now: Time,
    platform: Platform,
    runs: Vec<AttemptId>,
    actors: Vec<Actor>,
}

fn outcome_of(id: AttemptId) -> StoredResponse {
    StoredResponse {
        status: 200,
        headers: Vec::new(),
        body: StoredBody::of(id.number.to_string().as_bytes()),
    }
}

impl World {
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
            Op::Step(who, fate) => self.step(who, fate),
            Op::Crash(who) => self.actors[who].state = State::Ended,
            Op::DeliverDelayed => {
                for write in std::mem::take(&mut self.platform.delayed) {
                    self.platform.put(write, self.now);
                }
            }
            Op::Advance(span) => self.now = self.now + span,
        }
    }

    fn step(&mut self, who: usize, fate: Fate) {
        let actor = &mut self.actors[who];
        match std::mem::replace(&mut actor.state, State::Ended) {
            State::Claiming(claiming, write) => {
                let answer = self.platform.call(write, fate, self.now);
                match claiming.on_write(answer, self.now) {
                    ClaimStep::Write(claiming, write) => {
                        actor.state = State::Claiming(claiming, write)
                    }
                    ClaimStep::Send(held) => actor.state = State::Held(held),
                    ClaimStep::Finish(finish) => actor.finish(finish),
                }
            }
            State::Held(held) => match held.begin(self.now) {
                Ok(sending) => actor.state = State::Sending(sending),
                Err(finish) => actor.finish(finish),
            },
            State::Sending(sending) => {
                let sent = send(&mut self.runs, actor.id, fate);
                actor.finish(sending.finish(sent, self.now));
            }
            State::Settling(settlement) => {
                let answer = self.platform.call(settlement.write(), fate, self.now);
                if let SettleStep::Retry(settlement, _) = settlement.on_write(answer, self.now) {
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
                    let expected = self.runs.first().map(|id| outcome_of(*id));
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

fn send(runs: &mut Vec<AttemptId>, id: AttemptId, fate: Fate) -> SendOutcome {
    match fate {
        Fate::Delivered => {
            runs.push(id);
            SendOutcome::Responded(outcome_of(id))
        }
        Fate::LostBefore => SendOutcome::Unknown(Reason::UpstreamTimeout),
        Fate::LostAfter | Fate::Delayed => {
            runs.push(id);
            SendOutcome::Unknown(Reason::UpstreamFailed)
        }
        Fate::Rejected => SendOutcome::NotRun(Reason::UpstreamUnreachable),
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
        let (claiming, write) = PendingClaim::start(request, ClaimOptions::default(), Time::ZERO);
        Self {
            id,
            state: State::Claiming(claiming, write),
            response: None,
        }
    }

    fn finish(&mut self, finish: AttemptEnd) {
        self.response = Some(finish.response);
        self.state = finish.settlement.map_or(State::Ended, State::Settling);
    }
}

fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Delivered),
        1 => Just(Fate::LostBefore),
        2 => Just(Fate::LostAfter),
        1 => Just(Fate::Delayed),
        1 => Just(Fate::Rejected),
    ]
}

fn ops() -> impl Strategy<Value = Op> {
    prop_oneof![
        20 => (0..ATTEMPTS, fates()).prop_map(|(who, fate)| Op::Step(who, fate)),
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
        let mut world = World::new();
        for op in schedule {
            world.apply(op);
            world.check()?;
        }
    }

    #[test]
    fn verify_key_runs_when_one_attempt_is_left_alone(
        schedule in prop::collection::vec((0..ATTEMPTS, prop::bool::ANY), 0..4),
    ) {
        let mut world = World::new();
        for (who, lost) in schedule {
            // Fewer answers get lost than an attempt has writes; nothing else fails.
            let claiming = matches!(world.actors[who].state, State::Claiming(..));
            let fate = if lost && claiming { Fate::LostAfter } else { Fate::Delivered };
            world.apply(Op::Step(who, fate));
            world.check()?;
        }
        for _ in 0..8 {
            (0..ATTEMPTS).for_each(|who| world.apply(Op::Step(who, Fate::Delivered)));
        }
        world.check()?;
        prop_assert_eq!(world.runs.len(), 1);
    }
}
