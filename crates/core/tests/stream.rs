//! Tests of the progress of a streamed answer.

use limpetsaddle_core::stream::EventClass;
use limpetsaddle_core::stream::EventPosition;
use limpetsaddle_core::stream::StreamProgress;
use limpetsaddle_core::stream::StreamStatus;
use proptest::prelude::*;
use yare::parameterized;

fn event(index: u64) -> EventPosition<'static> {
    EventPosition {
        id: "r",
        index,
        last: false,
    }
}

#[parameterized(
    next = { event(2), EventClass::InOrder, 3 },
    duplicate = { event(1), EventClass::Duplicate, 2 },
    gap = { event(3), EventClass::Gap, 2 },
    foreign = { EventPosition { id: "other", index: 2, last: true }, EventClass::OtherRequest, 2 },
)]
fn verify_step_after_two_events(head: EventPosition<'_>, step: EventClass, resume_at: u64) {
    let mut progress = StreamProgress::new("r".into());
    assert_eq!(progress.accept(&event(0)), EventClass::InOrder);
    assert_eq!(progress.accept(&event(1)), EventClass::InOrder);
    assert_eq!(progress.accept(&head), step);
    assert_eq!(progress.status(), StreamStatus::ResumeAt(resume_at));
}

#[test]
fn verify_nothing_follows_the_last_event() {
    let mut progress = StreamProgress::new("r".into());
    let last = EventPosition {
        last: true,
        ..event(0)
    };
    assert_eq!(progress.accept(&last), EventClass::InOrder);
    assert_eq!(progress.accept(&event(1)), EventClass::Duplicate);
    assert_eq!(progress.status(), StreamStatus::Complete);
}

/// Returns what an engine sends from position `from`, with `noise` applied.
fn attempt(from: u64, length: u64, noise: &[u8]) -> Vec<EventPosition<'static>> {
    let mut events = Vec::new();
    let mut noise = noise.iter().cycle();
    for index in from..length {
        let fault = noise.next().copied().unwrap_or(3);
        let head = EventPosition {
            last: index + 1 == length,
            ..event(index)
        };
        match fault % 6 {
            0 => events.extend([head, head]),
            1 => events.push(EventPosition { id: "x", ..head }),
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
        let mut progress = StreamProgress::new("r".into());
        let mut seen = Vec::new();
        for round in 0..200 {
            let StreamStatus::ResumeAt(from) = progress.status() else { break };
            let shift = round % noise.len();
            for head in attempt(from, length, &noise[shift..]) {
                match progress.accept(&head) {
                    EventClass::InOrder => seen.push(head.index),
                    EventClass::Gap => break,
                    EventClass::Duplicate | EventClass::OtherRequest => {}
                }
            }
        }
        let expected: Vec<u64> = (0..progress.forwarded()).collect();
        prop_assert_eq!(&seen, &expected);
        let complete = progress.status() == StreamStatus::Complete;
        prop_assert_eq!(complete, progress.forwarded() == length);
    }
}
