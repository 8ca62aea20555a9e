//! Tests of the progress of a streamed response.

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
    other_request = { EventPosition { id: "other", index: 2, last: true }, EventClass::OtherRequest, 2 },
)]
fn verify_class_of_third_event(position: EventPosition<'_>, class: EventClass, resume_at: u64) {
    let mut progress = StreamProgress::new("r".into());
    assert_eq!(progress.accept(&event(0)), EventClass::InOrder);
    assert_eq!(progress.accept(&event(1)), EventClass::InOrder);
    assert_eq!(progress.accept(&position), class);
    assert_eq!(progress.status(), StreamStatus::ResumeAt(resume_at));
}

#[test]
fn verify_events_after_the_last_are_dropped() {
    let mut progress = StreamProgress::new("r".into());
    let last = EventPosition {
        last: true,
        ..event(0)
    };
    assert_eq!(progress.accept(&last), EventClass::InOrder);
    assert_eq!(progress.accept(&event(1)), EventClass::Duplicate);
    assert_eq!(progress.status(), StreamStatus::Complete);
}

/// Returns the events of an engine from the index `from`, with `faults` injected:
/// duplicates, events of other requests and a truncated stream.
fn attempt(from: u64, length: u64, faults: &[u8]) -> Vec<EventPosition<'static>> {
    let mut events = Vec::new();
    let mut faults = faults.iter().cycle();
    for index in from..length {
        let fault = faults.next().copied().unwrap_or(3);
        let position = EventPosition {
            last: index + 1 == length,
            ..event(index)
        };
        match fault % 6 {
            0 => events.extend([position, position]),
            1 => events.push(EventPosition {
                id: "x",
                ..position
            }),
            2 => return events,
            _ => events.push(position),
        }
    }
    events
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn verify_tokens_are_forwarded_once_and_in_order(
        length in 1_u64..40,
        faults in proptest::collection::vec(any::<u8>(), 1..50),
    ) {
        let mut progress = StreamProgress::new("r".into());
        let mut forwarded = Vec::new();
        for round in 0..200 {
            let StreamStatus::ResumeAt(from) = progress.status() else { break };
            let shift = round % faults.len();
            for position in attempt(from, length, &faults[shift..]) {
                match progress.accept(&position) {
                    EventClass::InOrder => forwarded.push(position.index),
                    EventClass::Gap => break,
                    EventClass::Duplicate | EventClass::OtherRequest => {}
                }
            }
        }
        let expected: Vec<u64> = (0..progress.forwarded()).collect();
        prop_assert_eq!(&forwarded, &expected);
        let complete = progress.status() == StreamStatus::Complete;
        prop_assert_eq!(complete, progress.forwarded() == length);
    }
}
