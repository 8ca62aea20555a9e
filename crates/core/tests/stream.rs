//! Tests of the progress of a streamed answer.

use limpetsaddle_core::stream::Ending;
use limpetsaddle_core::stream::EventHead;
use limpetsaddle_core::stream::Progress;
use limpetsaddle_core::stream::Step;
use proptest::prelude::*;
use yare::parameterized;

fn event(index: u64) -> EventHead<'static> {
    EventHead {
        id: "r",
        index,
        last: false,
    }
}

#[parameterized(
    next = { event(2), Step::Forward, 3 },
    duplicate = { event(1), Step::Duplicate, 2 },
    gap = { event(3), Step::Gap, 2 },
    foreign = { EventHead { id: "other", index: 2, last: true }, Step::Foreign, 2 },
)]
fn verify_step_after_two_events(head: EventHead<'_>, step: Step, resume_at: u64) {
    let mut progress = Progress::new("r".into());
    assert_eq!(progress.accept(&event(0)), Step::Forward);
    assert_eq!(progress.accept(&event(1)), Step::Forward);
    assert_eq!(progress.accept(&head), step);
    assert_eq!(progress.ending(), Ending::ResumeAt(resume_at));
}

#[test]
fn verify_nothing_follows_the_last_event() {
    let mut progress = Progress::new("r".into());
    let last = EventHead {
        last: true,
        ..event(0)
    };
    assert_eq!(progress.accept(&last), Step::Forward);
    assert_eq!(progress.accept(&event(1)), Step::Duplicate);
    assert_eq!(progress.ending(), Ending::Complete);
}

/// Returns what an engine sends from position `from`, with `noise` applied.
fn attempt(from: u64, length: u64, noise: &[u8]) -> Vec<EventHead<'static>> {
    let mut events = Vec::new();
    let mut noise = noise.iter().cycle();
    for index in from..length {
        let fault = noise.next().copied().unwrap_or(3);
        let head = EventHead {
            last: index + 1 == length,
            ..event(index)
        };
        match fault % 6 {
            0 => events.extend([head, head]),
            1 => events.push(EventHead { id: "x", ..head }),
            2 => return events,
            _ => events.push(head),
        }
    }
    events
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn verify_tokens_arrive_once_and_in_order(
        length in 1_u64..40,
        noise in proptest::collection::vec(any::<u8>(), 1..50),
    ) {
        let mut progress = Progress::new("r".into());
        let mut seen = Vec::new();
        for round in 0..200 {
            let Ending::ResumeAt(from) = progress.ending() else { break };
            let shift = round % noise.len();
            for head in attempt(from, length, &noise[shift..]) {
                match progress.accept(&head) {
                    Step::Forward => seen.push(head.index),
                    Step::Gap => break,
                    Step::Duplicate | Step::Foreign => {}
                }
            }
        }
        let expected: Vec<u64> = (0..progress.forwarded()).collect();
        prop_assert_eq!(&seen, &expected);
        let complete = progress.ending() == Ending::Complete;
        prop_assert_eq!(complete, progress.forwarded() == length);
    }
}
