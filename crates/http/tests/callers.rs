//! The budget for callers: which connection ends first, and what a server refuses.

mod serving;
mod support;

use std::io::Read as _;
use std::io::Write as _;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use limpetsaddle_http::BufferBudget;
use limpetsaddle_http::CallerBudget;
use limpetsaddle_http::CallerBudgetOptions;
use limpetsaddle_http::Connection;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::Shortage;
use limpetsaddle_http::SlotState;
use limpetsaddle_http::Slots;
use serving::Server;
use serving::exchange;
use serving::read_to_end;
use support::read_until;
use yare::parameterized;

const BODY_LIMIT: Duration = Duration::from_secs(10);

/// The age from which requests may end.
const OLD: Duration = Duration::from_millis(600);

/// The id of the connection for which others end.
const OWN: u64 = u64::MAX;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against ending a request that was read, or one that is young, for another.
#[parameterized(
    busy = { SlotState::Busy, BODY_LIMIT },
    young_head = { SlotState::Head, Duration::ZERO },
    young_body = { SlotState::Body, Duration::ZERO },
)]
fn verify_what_may_not_end_is_never_selected(state: SlotState, age: Duration) {
    let begun = Instant::now();
    for shortage in [Shortage::Memory, Shortage::Descriptors] {
        let mut slots = Slots::default();
        let id = slots.open(begun);
        slots.set_state(id, state, begun);
        if state == SlotState::Body {
            slots.begin_body(id, 1000, BODY_LIMIT, begun);
        }
        assert_eq!(slots.select(shortage, OWN, begun + age), None);
    }
}

/// Guards against ending a body that arrives fast enough to end in time.
#[test]
fn verify_a_body_that_ends_in_time_is_kept() {
    let begun = Instant::now();
    let mut slots = Slots::default();
    let id = slots.open(begun);
    slots.begin_body(id, 1_000_000, BODY_LIMIT, begun);
    for step in 1..=8 {
        let now = begun + millis(100) * step;
        slots.record_bytes(id, 20_000, now);
        assert_eq!(slots.select(Shortage::Memory, OWN, now), None);
    }
}

/// Guards against ending a body that goes on instead of one that stalls or trickles, however
/// much of it has arrived.
#[test]
fn verify_the_slowest_body_ends_first() {
    let begun = Instant::now();
    let now = begun + millis(1_000);
    let mut slots = Slots::default();
    let [fast, trickling, stalled] = [0; 3].map(|_| {
        let id = slots.open(begun);
        slots.begin_body(id, 1_000_000, BODY_LIMIT, begun);
        id
    });
    slots.record_bytes(stalled, 999_999, begun);
    for step in 1..=10 {
        let at = begun + millis(100) * step;
        slots.record_bytes(fast, 90_000, at);
        slots.record_bytes(trickling, 10, at);
    }
    let mut select = || slots.select(Shortage::Memory, OWN, now);
    assert_eq!(select(), Some(stalled));
    assert_eq!(select(), Some(trickling));
    assert_eq!(select(), None);
}

/// Guards against closing connections that callers use while others have nothing to lose.
#[test]
fn verify_connections_with_nothing_to_lose_end_first_for_descriptors() {
    let begun = Instant::now();
    let now = begun + OLD;
    let mut slots = Slots::default();
    let [used, stalled, head, unused, lingering] = [0; 5].map(|_| slots.open(begun));
    slots.set_state(used, SlotState::Busy, begun);
    slots.set_state(used, SlotState::Idle, begun);
    slots.begin_body(stalled, 1000, BODY_LIMIT, begun);
    slots.set_state(head, SlotState::Head, begun);
    slots.set_state(lingering, SlotState::Lingering, begun);
    for expected in [lingering, unused, head, stalled, used] {
        let selected = slots.select(Shortage::Descriptors, OWN, now);
        assert_eq!(selected, Some(expected));
    }
    assert_eq!(slots.select(Shortage::Descriptors, OWN, now), None);
}

/// Guards against large bodies that leave nothing to small ones, and against a budget that
/// refuses a large body though nothing else is held.
#[test]
fn verify_a_reserve_is_kept_for_small_bodies() {
    let budget = BufferBudget::new(8 << 20);
    let mut large = budget.reservation();
    large.resize(7 << 20).unwrap();
    let mut second = budget.reservation();
    assert!(second.resize(100 << 10).is_err());
    let mut small = budget.reservation();
    small.resize(60 << 10).unwrap();
    assert!(large.resize(8 << 20).is_err());
    assert!(!budget.could_hold(8 << 20));
    drop(large);
    second.resize(4 << 20).unwrap();
}

thread_local! {
    static BUDGET: CallerBudget = CallerBudget::new(CallerBudgetOptions {
        memory: 1 << 20,
        connections: 100,
        descriptors: 100,
    });
}

/// Answers requests within the budget of the server's thread, and errors with their name.
async fn serve(mut connection: Connection) {
    BUDGET.with(|budget| connection.set_budget(budget));
    let res = match connection.next_request().await {
        Ok(None) => return,
        Ok(Some(req)) => Response::new(Bytes::from(req.body().len().to_string())),
        Err(error) => Response::new(Bytes::from(format!("{error:?}"))),
    };
    let _ = connection.respond(res).await;
}

fn start() -> Server {
    Server::start(ServerOptions::default(), serve)
}

fn head(length: usize, more: &str) -> String {
    format!(
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{more}Connection: close\r\n\r\n"
    )
}

/// Guards against asking for, or reading, a body for which there is no memory.
#[test]
fn verify_an_announced_body_is_refused_before_it_is_read() {
    const LENGTH: usize = 700 << 10;
    let server = start();
    let mut first = server.connect();
    let expect = "Expect: 100-continue\r\n";
    first.write_all(head(LENGTH, expect).as_bytes()).unwrap();
    assert!(read_until(&mut first, "\r\n\r\n").contains(" 100 "));
    let mut second = server.connect();
    second.write_all(head(LENGTH, expect).as_bytes()).unwrap();
    let refused = read_to_end(&mut second);
    assert!(refused.contains("OverBudget"), "{refused}");
    assert!(!refused.contains(" 100 "), "{refused}");
    let small = exchange(&server, (head(4, "") + "abcd").as_bytes());
    assert!(small.ends_with("\r\n\r\n4"), "{small}");
    first.write_all(&vec![b'a'; LENGTH]).unwrap();
    assert!(read_to_end(&mut first).ends_with(&LENGTH.to_string()));
}

/// Guards against a stalled body that keeps its memory from others.
#[test]
fn verify_a_stalled_body_ends_for_another() {
    const LENGTH: usize = 700 << 10;
    let server = start();
    let mut stalled = server.connect();
    let mut bytes = head(LENGTH, "").into_bytes();
    bytes.resize(bytes.len() + LENGTH - 1, b'a');
    stalled.write_all(&bytes).unwrap();
    std::thread::sleep(millis(1_200));
    bytes.push(b'a');
    let mut second = server.connect();
    second.write_all(&bytes).unwrap();
    assert!(read_to_end(&mut second).ends_with(&LENGTH.to_string()));
    assert!(read_to_end(&mut stalled).contains("OverBudget"));
}

/// Guards against a refusal after which a flood is read.
#[test]
fn verify_a_flood_after_a_refusal_is_not_read() {
    const FLOOD: usize = 64 << 20;
    let server = start();
    let mut caller = server.connect();
    caller.write_all(head(FLOOD, "").as_bytes()).unwrap();
    let piece = vec![b'a'; 64 << 10];
    let mut sent = 0;
    while sent < FLOOD && caller.write_all(&piece).is_ok() {
        sent += piece.len();
    }
    assert!(sent < FLOOD, "{sent} bytes");
    // The response may be lost.
    let _ = caller.read(&mut [0; 64]);
}
