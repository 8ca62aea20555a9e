//! Invalid requests get the specified refusal, and the daemon continues to serve.

mod support;

use support::Fleet;
use support::FleetOptions;
use support::MODEL;
use support::Response;
use support::chat_body;
use support::get;
use support::post;
use support::raw;

/// The configured limit on request heads, in bytes.
const MAX_HEAD_BYTES: usize = 4_096;

/// The configured limit on request bodies, in bytes.
const MAX_BODY_BYTES: usize = 16_384;

const CHAT: &str = "/v1/chat/completions";

fn fleet() -> Fleet {
    let flags = [
        "--max-head-bytes".to_owned(),
        MAX_HEAD_BYTES.to_string(),
        "--max-body-bytes".to_owned(),
        MAX_BODY_BYTES.to_string(),
    ];
    let fleet = Fleet::start_without_waiting(&FleetOptions {
        flags: flags.to_vec(),
        ..FleetOptions::default()
    });
    fleet.daemons[0].wait_ready();
    fleet
}

#[track_caller]
fn assert_refused(response: &Response, status: u16, code: &str) {
    assert_eq!(
        (response.status, response.code().as_str()),
        (status, code),
        "{}",
        response.body
    );
    assert!(response.reports_not_run(), "{}", response.body);
    assert_eq!(response.headers["x-request-ran"], "not_run");
    assert!(response.headers.contains_key("x-request-id"));
}

#[test]
fn verify_refusals_of_well_formed_requests() {
    let fleet = fleet();
    let address = fleet.daemons[0].listen();
    let key = fleet.team.key.as_str();
    let body = chat_body("dry?", 4).to_string();
    let unknown_model = body.replace(MODEL, "oak");
    let with_key = chat_body(key, 4).to_string();
    let big = "x".repeat(MAX_BODY_BYTES + 1);
    let other = "lsk-nobody-000000000000000000000000000000000000000000000000";
    let cases: [(&str, &str, &str, &str, u16, &str); 11] = [
        ("no key", CHAT, "", &body, 401, "missing_key"),
        ("unknown key", CHAT, other, &body, 401, "unknown_key"),
        ("malformed key", CHAT, "hello", &body, 401, "unknown_key"),
        ("not JSON", CHAT, key, "{", 400, "bad_body"),
        (
            "no messages",
            CHAT,
            key,
            "{\"model\": \"birch\"}",
            400,
            "bad_body",
        ),
        (
            "unknown model",
            CHAT,
            key,
            &unknown_model,
            404,
            "unknown_model",
        ),
        ("key in the body", CHAT, key, &with_key, 400, "bad_request"),
        ("too large", CHAT, key, &big, 413, "too_large"),
        ("unknown path", "/v1/unknown", key, &body, 404, "no_route"),
        (
            "unknown path without a key",
            "/v1/unknown",
            "",
            &body,
            401,
            "missing_key",
        ),
        (
            "no key for a route",
            "/orders",
            "",
            &body,
            401,
            "missing_key",
        ),
    ];
    for (name, path, key, body, status, code) in cases {
        let headers = [("x-api-key", key)];
        let headers = if key.is_empty() { &[] } else { &headers[..] };
        eprintln!("case: {name}");
        assert_refused(&post(address, path, headers, body), status, code);
    }
    let wrong_method = get(address, CHAT, &[("x-api-key", key)]);
    assert_refused(&wrong_method, 405, "method_not_allowed");
    assert_eq!(get(address, "/healthz", &[]).status, 200);
    let refused = fleet.daemons[0].metric("limpetsaddle_refusals_total{reason=\"missing_key\"");
    assert_eq!(refused, 3);
}

#[test]
fn verify_refusals_of_malformed_requests() {
    let fleet = fleet();
    let address = fleet.daemons[0].listen();
    let key = fleet.team.key.as_str();
    let smuggled = "GET /healthz HTTP/1.1\r\nhost: b\r\n\r\n";
    let long = "x".repeat(MAX_HEAD_BYTES * 2);
    let cases = [
        ("no HTTP", "hello\r\n\r\n".to_owned(), 400),
        (
            "long head",
            format!("GET / HTTP/1.1\r\nhost: a\r\nx: {long}\r\n\r\n"),
            413,
        ),
        (
            "two lengths",
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\ncontent-length: 5\r\n\r\n{smuggled}"
            ),
            400,
        ),
        (
            "length beside chunks",
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{smuggled}"
            ),
            400,
        ),
        (
            "unknown coding",
            format!("POST {CHAT} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n"),
            400,
        ),
        (
            "bad chunk",
            format!(
                "POST {CHAT} HTTP/1.1\r\nhost: a\r\nx-api-key: {key}\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"
            ),
            400,
        ),
    ];
    for (name, bytes, status) in cases {
        let response = raw(address, bytes.as_bytes());
        let line = format!("HTTP/1.1 {status} ");
        assert!(response.starts_with(&line), "{name}: {response}");
        assert_eq!(
            response.matches("HTTP/1.1 ").count(),
            1,
            "{name}: {response}"
        );
        assert!(
            response.contains("\"ran\":\"not_run\""),
            "{name}: {response}"
        );
    }
    // Closing the connection early or within a head does not affect the daemon.
    for part in ["", "GET", "GET / HTTP/1.1\r\nhost: a\r\n"] {
        drop(std::net::TcpStream::connect(address).map(|mut stream| {
            let _ = std::io::Write::write_all(&mut stream, part.as_bytes());
        }));
    }
    assert_eq!(get(address, "/healthz", &[]).status, 200);
    assert!(
        fleet.engines[0]
            .state()
            .received
            .iter()
            .all(|r| r.path == "/load")
    );
}

#[test]
fn verify_second_process_cannot_share_address() {
    let fleet = fleet();
    let taken = fleet.daemons[0].options.clone();
    for field in ["listen", "admin", "peer"] {
        let mut options = taken.clone();
        options.listen = support::free_address();
        options.admin = support::free_address();
        options.peer = support::free_address();
        match field {
            "listen" => options.listen = taken.listen,
            "admin" => options.admin = taken.admin,
            _ => options.peer = taken.peer,
        }
        let mut second = support::Daemon::start(options);
        assert!(
            !second.wait().success(),
            "two daemons share the {field} address"
        );
    }
}
