//! The shares of addresses and teams: who is refused, who ends for whom, and what counts.

mod serving;
mod support;

use std::cell::Cell;
use std::io::Write as _;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use limpetsaddle_http::BufferBudget;
use limpetsaddle_http::CallerBudget;
use limpetsaddle_http::CallerBudgetOptions;
use limpetsaddle_http::CallerEnd;
use limpetsaddle_http::CallerShares;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Held;
use limpetsaddle_http::Holder;
use limpetsaddle_http::ServerOptions;
use limpetsaddle_http::Share;
use limpetsaddle_http::SharePercent;
use limpetsaddle_http::Shares;
use limpetsaddle_http::Shortage;
use limpetsaddle_http::SlotState;
use limpetsaddle_http::Slots;
use serving::Server;
use serving::exchange;
use serving::read_to_end;
use support::read_until;
use yare::parameterized;

const MIB: usize = 1 << 20;

const BODY_LIMIT: Duration = Duration::from_secs(10);

/// The id of the connection for which others end.
const OWN: u64 = u64::MAX;

fn address(last: u8) -> Holder {
    Holder::at(IpAddr::V4(Ipv4Addr::new(192, 0, 2, last)))
}

fn percent(percent: u8) -> SharePercent {
    SharePercent::new(percent)
}

/// Returns a budget whose reservations count for `share`.
fn charged(budget: &BufferBudget, share: &Share) -> BufferBudget {
    let shares: Arc<[Share]> = Arc::new([share.clone()]);
    budget.charged_to(&shares)
}

/// Guards against one holder that takes all, with large reservations or with small ones.
#[parameterized(large = { MIB, 5 }, small = { 32 << 10, 192 })]
fn verify_a_holder_gets_its_share_alone(size: usize, expected: usize) {
    let budget = BufferBudget::new(8 * MIB);
    let share = Shares::default().get(&address(1), percent(75));
    let budget = charged(&budget, &share);
    let mut held = Vec::new();
    loop {
        let mut reservation = budget.reservation();
        if reservation.resize(size).is_err() {
            break;
        }
        held.push(reservation);
    }
    assert_eq!(held.len(), expected);
    assert_eq!(share.memory(), expected * size);
    drop(held);
    assert_eq!((share.memory(), budget.used()), (0, 0));
}

/// Guards against holders that keep what they took before others came.
#[test]
fn verify_holders_that_go_on_have_alike_in_the_end() {
    const SIZE: usize = 64 << 10;
    let budget = BufferBudget::new(32 * MIB);
    let mut shares = Shares::default();
    let holders = [1, 2, 3, 4, 5].map(|number| shares.get(&address(number), percent(75)));
    let mut held = [const { Vec::new() }; 5];
    // Each returns its oldest reservation in a round, and takes as many as it may.
    for _ in 0..1_000 {
        for (share, held) in holders.iter().zip(&mut held) {
            drop((!held.is_empty()).then(|| held.remove(0)));
            loop {
                let mut reservation = charged(&budget, share).reservation();
                if reservation.resize(SIZE).is_err() {
                    break;
                }
                held.push(reservation);
            }
        }
    }
    // Five holders with three times what is left have three sixteenths each.
    let memory = holders.each_ref().map(Share::memory);
    let is_alike = |memory: &usize| memory.abs_diff(6 * MIB) < MIB / 2;
    assert!(memory.iter().all(is_alike), "{memory:?}");
}

/// Guards against a share that refuses the largest body though hardly anything else is held.
#[test]
fn verify_a_body_that_is_alone_may_have_more_than_the_share() {
    let budget = BufferBudget::new(8 * MIB);
    let share = Shares::default().get(&address(1), percent(50));
    let mut small = charged(&budget, &share).reservation();
    small.resize(64 << 10).unwrap();
    let mut large = charged(&budget, &share).reservation();
    large.resize(6 * MIB).unwrap();
    assert!(small.resize(2 * MIB).is_err());
}

/// Guards against parts of a budget whose reservations are not limited by shares of the whole.
#[test]
fn verify_responses_count_for_the_share() {
    let budget = BufferBudget::new(8 * MIB);
    let share = Shares::default().get(&address(1), percent(50));
    let responses = charged(&budget.part(7 * MIB), &share);
    let mut first = responses.reservation();
    first.resize(3 * MIB).unwrap();
    let mut body = charged(&budget, &share).reservation();
    assert!(body.resize(MIB).is_err());
    drop(first);
    body.resize(MIB).unwrap();
}

/// Guards against shares that are forgotten while something counts for them, or kept for ever.
#[test]
fn verify_shares_are_kept_while_they_are_used() {
    let mut shares = Shares::default();
    let budget = BufferBudget::new(8 * MIB);
    let mut kept = charged(&budget, &shares.get(&address(0), percent(75))).reservation();
    kept.resize(100).unwrap();
    for number in 0..10_000_u32 {
        shares.get(
            &Holder::at(Ipv4Addr::from_bits(number + 1).into()),
            percent(75),
        );
    }
    assert!(shares.len() <= 128, "{}", shares.len());
    assert_eq!(shares.get(&address(0), percent(75)).memory(), 100);
}

/// Guards against ending a connection whose first request has not been read yet.
#[test]
fn verify_a_connection_gets_time_for_its_first_request() {
    let begun = Instant::now();
    let mut slots = Slots::default();
    let id = slots.open(begun);
    let mut select = |ms| {
        let now = begun + Duration::from_millis(ms);
        slots.select(Shortage::Descriptors, OWN, now)
    };
    assert_eq!(select(90), None);
    assert_eq!(select(110), Some(id));
}

/// Guards against holders that have little and are refused where others end for anyone.
#[test]
fn verify_only_large_holders_are_limited_when_nothing_is_left() {
    let budget = BufferBudget::new(8 * MIB);
    let mut shares = Shares::default();
    let [large, little] = [1, 2].map(|last| shares.get(&address(last), percent(75)));
    let reserve = |budget: &BufferBudget| {
        let mut reservation = budget.reservation();
        reservation.resize(64 << 10).map(|()| reservation)
    };
    let budgets = [
        (charged(&budget, &large), 80),
        (charged(&budget, &little), 6),
    ];
    let rest = (budget.clone(), 39);
    let parts = budgets.iter().chain([&rest]);
    let held: Vec<_> = parts
        .flat_map(|(budget, count)| (0..*count).map(|_| reserve(budget).unwrap()))
        .collect();
    // A sixteenth is 512 KiB; three times what would be left is less than either has then.
    assert_eq!(budget.used(), 8 * MIB - (192 << 10));
    assert!(reserve(&budgets[0].0).is_err());
    assert!(reserve(&budgets[1].0).is_ok());
    drop(held);
}

/// Guards against counts that drift from what the connections are doing.
#[test]
fn verify_connections_and_requests_count_for_their_shares() {
    let now = Instant::now();
    let mut slots = Slots::default();
    let id = slots.open(now);
    slots.set_address(id, Some(1));
    slots.set_team(id, Some(2));
    slots.begin_body(id, 10, BODY_LIMIT, now);
    let held = |connections, requests| Held {
        connections,
        requests,
    };
    assert_eq!((slots.held(1), slots.held(2)), (held(1, 1), held(1, 1)));
    slots.set_state(id, SlotState::Busy, now);
    assert_eq!((slots.held(1), slots.held(2)), (held(1, 1), held(1, 1)));
    slots.set_state(id, SlotState::Idle, now);
    assert_eq!((slots.held(1), slots.held(2)), (held(1, 0), held(0, 0)));
    slots.set_team(id, Some(3));
    slots.set_state(id, SlotState::Lingering, now);
    assert_eq!(slots.held(3), held(0, 0));
    slots.close(id);
    assert_eq!((slots.held(1), slots.requests()), (held(0, 0), 0));
}

/// Guards against ends of others for one who has had its share.
#[test]
fn verify_only_connections_of_the_share_end_for_it() {
    let begun = Instant::now();
    let now = begun + Duration::from_secs(1);
    let mut slots = Slots::default();
    let [stalled, own_idle] = [Some(1), Some(2)].map(|share| {
        let id = slots.open(begun);
        slots.set_address(id, share);
        id
    });
    slots.begin_body(stalled, 1000, BODY_LIMIT, begun);
    let mut select = |share| slots.select_of(share, Shortage::Descriptors, OWN, now);
    assert_eq!(select(Some(2)), Some(own_idle));
    assert_eq!(select(Some(2)), None);
    assert_eq!(select(Some(1)), Some(stalled));
    assert!(slots.has_ending_of(Some(1)));
    assert!(!slots.has_ending_of(Some(3)));
}

thread_local! {
    static BUDGET: CallerBudget = CallerBudget::new(CallerBudgetOptions {
        memory: MIB,
        connections: 100,
        descriptors: 100,
    })
    .with_shares(CallerShares {
        address: percent(75),
        team: percent(50),
    });
}

fn team(fields: &HeaderMap) -> Option<Rc<str>> {
    Some(fields.get("x-team")?.to_str().ok()?.into())
}

/// Answers requests whose path is `/wait` once the caller has closed the connection, and others
/// with the number of reserved bytes, or errors with their name and the refusals by cause.
async fn serve(mut connection: Connection) {
    BUDGET.with(|budget| connection.set_budget_at(budget, Ipv4Addr::LOCALHOST.into()));
    connection.set_team_lookup(Rc::new(team));
    while let Some(read) = connection.next_request().await.transpose() {
        let is_refused = read.is_err();
        let text = match read {
            Ok(req) if req.uri().path() == "/wait" => {
                let limit = Duration::from_millis(700);
                let _ = monoio::time::timeout(limit, connection.closed()).await;
                "waited".to_owned()
            }
            Ok(_) => BUDGET.with(|budget| budget.memory().used().to_string()),
            Err(error) => {
                let causes = [CallerEnd::AddressShare, CallerEnd::TeamShare];
                let counts = BUDGET.with(|budget| causes.map(|cause| budget.ends().get(cause)));
                format!("{error:?} {counts:?}")
            }
        };
        let res = Response::new(Bytes::from(text));
        if connection.respond(res).await.is_err() || is_refused || !connection.keep_alive() {
            return;
        }
    }
}

fn start() -> Server {
    Server::start(ServerOptions::default(), serve)
}

fn head(path: &str, length: usize, more: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{more}\r\n")
}

/// Returns the number of bytes that are reserved, of which one connection is the caller's own.
fn used(server: &Server) -> usize {
    let req = head("/used", 0, "Connection: close\r\n");
    let text = exchange(server, req.as_bytes());
    let used = text.rsplit("\r\n").next().unwrap();
    used.parse().unwrap_or_else(|_| panic!("{text}"))
}

/// Guards against a team that takes the memory from others with bodies that don't stall yet.
#[test]
fn verify_a_team_is_refused_beyond_its_share() {
    const LENGTH: usize = 200 << 10;
    let server = start();
    let begin = |team: &str| -> TcpStream {
        let mut stream = server.connect();
        let req = head(
            "/",
            LENGTH,
            &format!("X-Team: {team}\r\nExpect: 100-continue\r\n"),
        );
        stream.write_all(req.as_bytes()).unwrap();
        stream
    };
    let mut open: Vec<TcpStream> = Vec::new();
    for _ in 0..2 {
        let mut stream = begin("one");
        assert!(read_until(&mut stream, "\r\n\r\n").contains(" 100 "));
        open.push(stream);
    }
    let mut third = begin("one");
    let refused = read_to_end(&mut third);
    assert!(refused.contains("OverBudget [0, 1]"), "{refused}");
    let mut other = begin("two");
    let accepted = read_until(&mut other, "\r\n\r\n");
    assert!(accepted.contains(" 100 "), "{accepted}");
}

thread_local! {
    /// The number of callers, each of which has an address of its own.
    static CALLERS: Cell<u32> = const { Cell::new(0) };
}

/// Answers one request of a caller with an address of its own.
async fn serve_apart(mut connection: Connection) {
    CALLERS.set(CALLERS.get() + 1);
    let address = Ipv4Addr::from_bits(CALLERS.get());
    BUDGET.with(|budget| connection.set_budget_at(budget, address.into()));
    let text = match connection.next_request().await {
        Ok(None) => return,
        Ok(Some(req)) => req.body().len().to_string(),
        Err(error) => format!("{error:?}"),
    };
    let _ = connection.respond(Response::new(Bytes::from(text))).await;
}

/// Guards against a share that keeps a caller from memory which the stalled bodies of others
/// hold.
#[test]
fn verify_stalled_bodies_of_others_end_for_a_holder_that_has_little() {
    const LENGTH: usize = 200 << 10;
    let server = Server::start(ServerOptions::default(), serve_apart);
    let mut bytes = head("/", LENGTH, "Connection: close\r\n").into_bytes();
    bytes.resize(bytes.len() + LENGTH - 1, b'a');
    let stalled: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut stream = server.connect();
            stream.write_all(&bytes).unwrap();
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(1_200));
    bytes.push(b'a');
    let text = exchange(&server, &bytes);
    assert!(text.ends_with(&LENGTH.to_string()), "{text}");
    drop(stalled);
}

/// Guards against bytes that are read ahead while a request is in progress and count for
/// nothing.
#[test]
fn verify_heads_that_are_read_ahead_are_counted() {
    const CALLERS: usize = 8;
    const AHEAD: usize = 24 << 10;
    let server = start();
    let open: Vec<TcpStream> = (0..CALLERS)
        .map(|_| {
            let mut stream = server.connect();
            let mut bytes = head("/wait", 0, "").into_bytes();
            bytes.extend_from_slice(b"POST / HTTP/1.1\r\nHost: x\r\nX-Filling: ");
            bytes.resize(bytes.len() + AHEAD, b'a');
            stream.write_all(&bytes).unwrap();
            stream
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let used = used(&server);
    assert!(used >= open.len() * AHEAD, "{used} bytes");
}

/// Guards against a connection that keeps the memory of a long head, or counts it, while it is
/// idle.
#[test]
fn verify_the_memory_of_a_long_head_is_returned() {
    let server = start();
    let idle = |stream: &mut TcpStream, filling: &str| {
        stream
            .write_all(head("/used", 0, filling).as_bytes())
            .unwrap();
        assert!(read_until(stream, "\r\n\r\n").contains(" 200 "));
        std::thread::sleep(Duration::from_millis(50));
    };
    let mut stream = server.connect();
    idle(&mut stream, "");
    let before = used(&server);
    let filling = format!("X-Filling: {}\r\n", "a".repeat(20 << 10));
    idle(&mut stream, &filling);
    assert_eq!(used(&server), before);
}
