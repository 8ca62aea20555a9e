//! Tests of the server with raw bytes on the connection.

mod serving;
mod support;

use std::io::Read as _;
use std::io::Write as _;
use std::net::Shutdown;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use limpetsaddle_http::Connection;
use limpetsaddle_http::Error;
use limpetsaddle_http::ServerOptions;
use serving::Server;
use serving::exchange;
use serving::read_to_end;
use support::read_until;
use support::receive;
use yare::parameterized;

const MAX_BODY_BYTES: usize = 1000;

fn options() -> ServerOptions {
    ServerOptions {
        max_head_bytes: 2000,
        max_body_bytes: MAX_BODY_BYTES,
        ..ServerOptions::default()
    }
}

fn response(status: StatusCode, body: String) -> Response<Bytes> {
    let mut res = Response::new(body.into());
    *res.status_mut() = status;
    res
}

/// Echoes the method, path and body of each request, or the error of an invalid one.
async fn echo(mut connection: Connection) {
    while connection.keep_alive() {
        let res = match connection.next_request().await {
            Ok(None) => return,
            Ok(Some(req)) => {
                let body = std::str::from_utf8(req.body()).unwrap();
                response(
                    StatusCode::OK,
                    format!("<{} {} {body}>", req.method(), req.uri()),
                )
            }
            Err(e) => response(StatusCode::BAD_REQUEST, format!("<{e:?}>")),
        };
        if connection.respond(res).await.is_err() {
            return;
        }
    }
}

/// Returns the texts between `<` and `>` in the response bodies.
fn bodies(text: &str) -> Vec<&str> {
    let bodies = text.split('<').skip(1);
    bodies.map(|body| body.split('>').next().unwrap()).collect()
}

#[parameterized(
    plain = { "GET /a?b=c HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", &["GET /a?b=c "] },
    old_version = { "GET /a HTTP/1.0\r\n\r\n", &["GET /a "] },
    empty_line_first = { "\r\n\r\nGET /a HTTP/1.0\r\n\r\n", &["GET /a "] },
    fixed = { "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", &["POST /a abc"] },
    chunked = { "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\n", &["POST /a abc0123456789"] },
    pipelined = { "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\naGET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n1\r\nc\r\n0\r\n\r\nGET /d HTTP/1.1\r\n", &["POST /a a", "GET /b ", "POST /c c"] },
)]
fn verify_valid_requests_are_accepted(bytes: &str, expected: &[&str]) {
    let server = Server::start(options(), echo);
    let text = exchange(&server, bytes.as_bytes());
    assert_eq!(bodies(&text), expected, "{text}");
}

const SMUGGLED: &str = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";

#[parameterized(
    no_request_line = { "hello\r\n\r\n", "MalformedHead" },
    bad_method = { "G(T / HTTP/1.1\r\nHost: x\r\n\r\n", "MalformedHead" },
    bad_version = { "GET / HTTP/3.7\r\nHost: x\r\n\r\n", "MalformedHead" },
    bad_target = { "GET {\u{7f} HTTP/1.1\r\nHost: x\r\n\r\n", "MalformedHead" },
    bad_name = { "GET / HTTP/1.1\r\nHost: x\r\nb d: 1\r\n\r\n", "MalformedHead" },
    space_before_colon = { "GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 5\r\n\r\n", "MalformedHead" },
    folded = { "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", "MalformedHead" },
    null_byte = { "GET / HTTP/1.1\r\nHost: x\r\nA: b\0\r\n\r\n", "MalformedHead" },
    bare_line_feeds = { "GET / HTTP/1.1\nHost: x\n\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", "MalformedHead" },
    bare_carriage_return = { "GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n", "MalformedHead" },
    no_host = { "GET / HTTP/1.1\r\nA: b\r\n\r\n", "MalformedHead" },
    two_hosts = { "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "MalformedHead" },
    length_and_coding = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "ConflictingLengths" },
    coding_and_length = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", "ConflictingLengths" },
    differing_lengths = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n", "RepeatedLength" },
    length_list = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0, 5\r\n\r\n", "InvalidLength" },
    signed_length = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +5\r\n\r\n", "InvalidLength" },
    empty_length = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n\r\n", "InvalidLength" },
    huge_length = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n", "InvalidLength" },
    unknown_coding = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", "UnknownTransferCoding" },
    two_codings = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", "UnknownTransferCoding" },
    coding_list = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "UnknownTransferCoding" },
    chunks_in_old_version = { "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "UnknownTransferCoding" },
    chunk_without_size = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n\r\n\r\n", "MalformedChunk" },
    chunk_with_sign = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", "MalformedChunk" },
    chunk_too_short = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", "MalformedChunk" },
    endless_size = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n00000000000000000001\r\na\r\n0\r\n\r\n", "MalformedChunk" },
    huge_chunk = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n", "MalformedChunk" },
    oversized_fixed = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", "OversizedBody" },
)]
fn verify_invalid_requests_are_rejected(bytes: &str, expected: &str) {
    let server = Server::start(options(), echo);
    let text = exchange(&server, format!("{bytes}{SMUGGLED}").as_bytes());
    assert_eq!(bodies(&text), [expected], "{text}");
    assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    assert!(text.contains("connection: close"), "{text}");
    // Other connections are still served.
    let text = exchange(&server, b"GET /next HTTP/1.0\r\n\r\n");
    assert_eq!(bodies(&text), ["GET /next "]);
}

#[parameterized(
    head_that_ends = { format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(2000)), "OversizedHead" },
    head_without_end = { "GET / HTTP/1.1\r\nA: ".to_owned() + &"a".repeat(20_000), "OversizedHead" },
    many_fields = { format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(97)), "OversizedHead" },
    large_body = { format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 30000\r\n\r\n{}", "a".repeat(30_000)), "OversizedBody" },
    small_chunks = { format!("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n{}", "1\r\na\r\n".repeat(5000)), "OversizedBody" },
    large_chunk = { format!("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n7530\r\n{}", "a".repeat(30_000)), "OversizedBody" },
)]
fn verify_oversized_requests_are_rejected(bytes: String, expected: &str) {
    let server = Server::start(options(), echo);
    let text = exchange(&server, bytes.as_bytes());
    assert_eq!(bodies(&text), [expected], "{text}");
}

#[parameterized(
    in_request_line = { "GET /", "ClosedEarly { phase: Head }" },
    in_fields = { "GET / HTTP/1.1\r\nHost: x\r\n", "ClosedEarly { phase: Head }" },
    in_body = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabc", "ClosedEarly { phase: Body }" },
    in_chunk = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", "ClosedEarly { phase: Body }" },
    before_last_chunk = { "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "ClosedEarly { phase: Body }" },
)]
fn verify_truncated_requests_are_rejected(bytes: &str, expected: &str) {
    let server = Server::start(options(), echo);
    let mut stream = server.connect();
    stream.write_all(bytes.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    let text = read_to_end(&mut stream);
    assert_eq!(bodies(&text), [expected], "{text}");
}

#[parameterized(
    silent = { "", &[] },
    in_head = { "GET / HTTP/1.1\r\n", &["Timeout { phase: Head }"] },
    in_body = { "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabc", &["Timeout { phase: Body }"] },
    between_requests = { "GET / HTTP/1.1\r\nHost: x\r\n\r\n", &["GET / "] },
)]
fn verify_slow_senders_time_out(bytes: &str, expected: &[&str]) {
    let limit = Duration::from_millis(50);
    let options = ServerOptions {
        head_timeout: limit,
        body_timeout: limit,
        idle_timeout: limit,
        ..options()
    };
    let server = Server::start(options, echo);
    let text = exchange(&server, bytes.as_bytes());
    assert_eq!(bodies(&text), expected, "{text}");
}

#[test]
fn verify_continue_is_sent_before_the_body() {
    let server = Server::start(options(), echo);
    let mut stream = server.connect();
    let head = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let text = read_until(&mut stream, "\r\n\r\n");
    assert_eq!(text, "HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"abc").unwrap();
    let text = read_to_end(&mut stream);
    assert_eq!(bodies(&text), ["POST /a abc"], "{text}");
}

#[parameterized(
    head = { "HEAD / HTTP/1.1", 200, Some("content-length: 5"), "" },
    no_content = { "GET / HTTP/1.1", 204, None, "" },
    not_modified = { "GET / HTTP/1.1", 304, None, "" },
    ordinary = { "GET / HTTP/1.1", 200, Some("content-length: 5"), "abcde" },
)]
fn verify_complete_responses(line: &str, status: u16, length: Option<&str>, body: &str) {
    let server = Server::start(options(), move |mut connection: Connection| async move {
        connection.next_request().await.unwrap();
        let status = StatusCode::from_u16(status).unwrap();
        let mut res = response(status, "abcde".to_owned());
        // A wrong length from the handler is replaced.
        res.headers_mut().insert("content-length", 7.into());
        connection.respond(res).await.unwrap();
    });
    let text = exchange(&server, format!("{line}\r\nHost: x\r\n\r\n").as_bytes());
    let (head, rest) = text.split_once("\r\n\r\n").unwrap();
    let found = head.lines().find(|line| line.starts_with("content-length"));
    assert_eq!(found, length, "{text}");
    assert_eq!(rest, body, "{text}");
}

/// Serves a stream that sends event n + 1 after the client has confirmed event n.
fn start_confirmed_stream(events: usize) -> (Server, mpsc::Sender<usize>) {
    let (tx, rx) = mpsc::channel();
    let rx = std::sync::Mutex::new(Some(rx));
    let server = Server::start(options(), move |connection| {
        stream_events(connection, events, rx.lock().unwrap().take())
    });
    (server, tx)
}

async fn stream_events(
    mut connection: Connection,
    events: usize,
    confirmed: Option<mpsc::Receiver<usize>>,
) {
    let confirmed = confirmed.expect("one connection is made");
    connection.next_request().await.unwrap();
    connection.start(Response::new(())).await.unwrap();
    for n in 0..events {
        let event = Bytes::from(format!("event {n}\n"));
        connection.send(event).await.unwrap();
        assert_eq!(receive(&confirmed).await, Some(n));
    }
    connection.finish().await.unwrap();
}

#[test]
fn verify_events_arrive_one_by_one_and_in_order() {
    const EVENTS: usize = 20;
    let (server, confirm) = start_confirmed_stream(EVENTS);
    let mut stream = server.connect();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let head = read_until(&mut stream, "\r\n\r\n");
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    for n in 0..EVENTS {
        let event = format!("event {n}\n");
        let chunk = read_until(&mut stream, "\n\r\n");
        assert_eq!(chunk, format!("{:x}\r\n{event}\r\n", event.len()));
        confirm.send(n).unwrap();
    }
    assert_eq!(read_until(&mut stream, "0\r\n\r\n"), "0\r\n\r\n");
}

#[test]
fn verify_streams_to_http_1_0_clients_end_with_the_connection() {
    let (server, confirm) = start_confirmed_stream(2);
    let mut stream = server.connect();
    stream.write_all(b"GET / HTTP/1.0\r\n\r\n").unwrap();
    confirm.send(0).unwrap();
    confirm.send(1).unwrap();
    let text = read_to_end(&mut stream);
    assert!(text.ends_with("\r\n\r\nevent 0\nevent 1\n"), "{text}");
    assert!(!text.contains("transfer-encoding"), "{text}");
}

/// Waits for the caller to disconnect, with many cancelled waits, then reports.
fn report_disconnect(
    report: mpsc::Sender<&'static str>,
) -> impl Fn(Connection) -> futures::future::LocalBoxFuture<'static, ()> {
    use futures::FutureExt as _;
    move |mut connection| {
        let report = report.clone();
        async move {
            connection.next_request().await.unwrap();
            report.send("started").unwrap();
            let wait = Duration::from_millis(1);
            while monoio::time::timeout(wait, connection.closed())
                .await
                .is_err()
            {}
            report.send("closed").unwrap();
        }
        .boxed_local()
    }
}

#[parameterized(
    close = { "" },
    close_after_pipelined_bytes = { "GET /b HTTP/1.1\r\nHost: x\r\n\r\n" },
)]
fn verify_a_disconnect_is_detected(pipelined: &str) {
    let (tx, rx) = mpsc::channel();
    let server = Server::start(options(), report_disconnect(tx));
    let mut reports = rx.into_iter();
    let mut stream = server.connect();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    assert_eq!(reports.next(), Some("started"));
    stream.write_all(pipelined.as_bytes()).unwrap();
    drop(stream);
    assert_eq!(reports.next(), Some("closed"));
}

#[test]
fn verify_pipelined_requests_are_kept_while_waiting_for_a_disconnect() {
    let (tx, rx) = mpsc::channel();
    let server = Server::start(options(), move |mut connection: Connection| {
        let tx = tx.clone();
        async move {
            while let Ok(Some(req)) = connection.next_request().await {
                tx.send(req.uri().to_string()).unwrap();
                let pause = Duration::from_millis(1);
                let closed = monoio::time::timeout(pause, connection.closed()).await;
                assert!(closed.is_err(), "the caller is still connected");
                connection
                    .respond(response(StatusCode::OK, String::new()))
                    .await
                    .unwrap();
            }
        }
    });
    let mut paths = rx.into_iter();
    let mut stream = server.connect();
    for n in 0..50 {
        let bytes = format!("GET /{n} HTTP/1.1\r\nHost: x\r\n\r\n");
        let (first, second) = bytes.split_at(n % bytes.len());
        stream.write_all(first.as_bytes()).unwrap();
        stream.write_all(second.as_bytes()).unwrap();
    }
    let expected: Vec<String> = (0..50).map(|n| format!("/{n}")).collect();
    assert_eq!(paths.by_ref().take(50).collect::<Vec<_>>(), expected);
}

#[test]
fn verify_a_caller_that_does_not_read_causes_a_timeout() {
    let (tx, rx) = mpsc::channel();
    let options = ServerOptions {
        write_timeout: Duration::from_millis(50),
        ..options()
    };
    let server = Server::start(options, move |mut connection: Connection| {
        let tx = tx.clone();
        async move {
            connection.next_request().await.unwrap();
            connection.start(Response::new(())).await.unwrap();
            let chunk = Bytes::from(vec![b'a'; 1024 * 1024]);
            let error = loop {
                if let Err(e) = connection.send(chunk.clone()).await {
                    break e;
                }
            };
            tx.send(error).unwrap();
        }
    });
    let mut errors = rx.into_iter();
    let mut stream = server.connect();
    stream
        .write_all(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    let error: Error = errors.next().unwrap();
    assert!(error.is_timeout(), "{error:?}");
}

#[test]
fn verify_a_caller_that_reads_slowly_gets_the_whole_response() {
    const BODY_BYTES: usize = 24 * 1024 * 1024;
    let options = ServerOptions {
        write_timeout: Duration::from_millis(250),
        ..options()
    };
    let server = Server::start(options, |mut connection: Connection| async move {
        connection.next_request().await.unwrap();
        let res = Response::new(Bytes::from(vec![b'a'; BODY_BYTES]));
        // The caller sees how much has arrived.
        let _ = connection.respond(res).await;
    });
    let mut stream = server.connect();
    let request = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    stream.write_all(request).unwrap();
    let begun = Instant::now();
    let mut buf = vec![0; 512 * 1024];
    let mut received = 0;
    while let Ok(n) = stream.read(&mut buf)
        && n > 0
    {
        received += n;
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(received > BODY_BYTES, "{received} bytes");
    assert!(begun.elapsed() > Duration::from_millis(500));
}

#[test]
fn verify_a_request_that_arrives_while_the_server_is_slow_is_answered() {
    let options = ServerOptions {
        idle_timeout: Duration::from_millis(150),
        ..options()
    };
    let server = Server::start(options, |mut connection: Connection| async move {
        while let Ok(Some(req)) = connection.next_request().await {
            let res = response(StatusCode::OK, format!("<{}>", req.uri()));
            connection.respond(res).await.unwrap();
            if req.uri().path() == "/slow" {
                // Blocks the whole server beyond the idle timeout of the other connection.
                std::thread::sleep(Duration::from_millis(400));
            }
        }
    });
    for _ in 0..5 {
        let mut kept = server.connect();
        kept.write_all(b"GET /first HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        read_until(&mut kept, "</first>");
        let mut slow = server.connect();
        slow.write_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        read_until(&mut slow, "</slow>");
        kept.write_all(b"GET /second HTTP/1.1\r\nHost: x\r\n\r\n")
            .unwrap();
        let answer = read_until(&mut kept, "</second>");
        assert!(answer.contains("</second>"), "{answer}");
    }
}

#[test]
fn verify_a_panic_closes_only_its_own_connection() {
    let server = Server::start(options(), |mut connection: Connection| async move {
        let req = connection.next_request().await.unwrap().unwrap();
        assert_ne!(req.uri().path(), "/panic", "intended panic");
        connection
            .respond(response(StatusCode::OK, "<fine>".to_owned()))
            .await
            .unwrap();
    });
    let mut open = server.connect();
    assert_eq!(exchange(&server, b"GET /panic HTTP/1.0\r\n\r\n"), "");
    open.write_all(b"GET / HTTP/1.0\r\n\r\n").unwrap();
    assert_eq!(bodies(&read_to_end(&mut open)), ["fine"]);
}

#[test]
fn verify_responses_out_of_order_are_rejected() {
    let server = Server::start(options(), |mut connection: Connection| async move {
        let early = connection.send("a".into()).await;
        assert!(matches!(early, Err(Error::ResponseOutOfOrder)));
        connection.next_request().await.unwrap();
        connection.start(Response::new(())).await.unwrap();
        let second = connection.respond(Response::new(Bytes::new())).await;
        assert!(matches!(second, Err(Error::ResponseOutOfOrder)));
        connection.finish().await.unwrap();
    });
    let text = exchange(&server, b"GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    assert!(text.ends_with("\r\n\r\n0\r\n\r\n"), "{text}");
}
