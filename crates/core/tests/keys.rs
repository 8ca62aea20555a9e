//! Tests of key authentication and of credentials in requests.

mod sync_support;

use limpetsaddle_core::config::KeyRecord;
use limpetsaddle_core::hash::Digest;
use limpetsaddle_core::keys::authenticate;
use limpetsaddle_core::keys::contains_key_prefix;
use limpetsaddle_core::keys::is_credential_header;
use limpetsaddle_core::keys::is_key_valid;
use limpetsaddle_core::keys::issue_key;
use limpetsaddle_core::keys::presented_key;
use limpetsaddle_core::keys::strip_query_credentials;
use limpetsaddle_core::refusal::Reason;
use limpetsaddle_core::store::ConfigStore;
use yare::parameterized;

use crate::sync_support::object;
use crate::sync_support::team;

fn record(id: &str, text: &str, withdrawn: bool) -> KeyRecord {
    KeyRecord {
        id: id.parse().unwrap(),
        digest: Digest::of(text.as_bytes()),
        withdrawn,
    }
}

fn store() -> ConfigStore {
    let mut store = ConfigStore::default();
    let yard = vec![
        record("k1", "lsk-k1-plain", false),
        record("k-2", "lsk-k-2-a-b_c", false),
        record("k3", "lsk-k3-gone", true),
        record("both", "lsk-both-same", false),
    ];
    let mill = vec![
        record("k1", "lsk-k1-mill", false),
        record("both", "lsk-both-same", false),
    ];
    store.merge(object("team/yard", 1, Some(team(1, yard))));
    store.merge(object("team/mill", 2, Some(team(1, mill))));
    store
}

#[parameterized(
    known = { b"lsk-k1-plain", Ok("yard") },
    same_id_in_another_team = { b"lsk-k1-mill", Ok("mill") },
    dashes = { b"lsk-k-2-a-b_c", Ok("yard") },
    missing = { b"", Err(Reason::MissingKey) },
    withdrawn = { b"lsk-k3-gone", Err(Reason::WithdrawnKey) },
    withdrawn_id_other_secret = { b"lsk-k3-else", Err(Reason::UnknownKey) },
    wrong_secret = { b"lsk-k1-plaim", Err(Reason::UnknownKey) },
    longer = { b"lsk-k1-plainn", Err(Reason::UnknownKey) },
    no_prefix = { b"k1-plain", Err(Reason::UnknownKey) },
    no_secret = { b"lsk-k1", Err(Reason::UnknownKey) },
    not_text = { b"lsk-k1-\xff", Err(Reason::UnknownKey) },
    space_inside = { b"lsk-k1-pl ain", Err(Reason::UnknownKey) },
    same_key_in_two_teams = { b"lsk-both-same", Err(Reason::UnknownKey) },
    oversized = { &[b'-'; 300], Err(Reason::UnknownKey) },
)]
fn verify_authentication(presented: &[u8], expected: Result<&str, Reason>) {
    let result = authenticate(&store(), presented);
    let team = result.map(|(team, _)| team.to_string());
    assert_eq!(team.as_deref().map_err(|reason| *reason), expected);
}

#[test]
fn verify_withdrawn_key_is_invalid_for_running_streams() {
    let mut store = store();
    let (yard, k1) = authenticate(&store, b"lsk-k1-plain").unwrap();
    assert!(is_key_valid(&store, &yard, &k1));
    let withdrawn = team(1, vec![record("k1", "lsk-k1-plain", true)]);
    store.merge(object("team/yard", 3, Some(withdrawn)));
    assert!(!is_key_valid(&store, &yard, &k1));
    let after_withdrawal = authenticate(&store, b"lsk-k1-plain");
    assert_eq!(after_withdrawal, Err(Reason::WithdrawnKey));
    store.merge(object("team/yard", 4, None));
    let after_retirement = authenticate(&store, b"lsk-k1-plain");
    assert_eq!(after_retirement, Err(Reason::UnknownKey));
}

#[test]
fn verify_issued_key_hides_secret_in_debug_output() {
    let key = issue_key(&"k-9".parse().unwrap(), [0xab; 24]);
    assert!(!format!("{key:?}").contains("abab"));
    let mut store = ConfigStore::default();
    store.merge(object("team/yard", 1, Some(team(1, vec![key.record]))));
    assert!(authenticate(&store, key.text.as_bytes()).is_ok());
}

type Header = (&'static str, &'static [u8]);

#[parameterized(
    bearer = { &[("Authorization", b"Bearer lsk-a-b")], Ok(b"lsk-a-b") },
    lower_case_scheme = { &[("authorization", b"bearer  lsk-a-b ")], Ok(b"lsk-a-b") },
    api_key_header = { &[("X-API-Key", b"lsk-a-b")], Ok(b"lsk-a-b") },
    same_key_twice = { &[("authorization", b"Bearer lsk-a-b"), ("x-api-key", b"lsk-a-b")], Ok(b"lsk-a-b") },
    different_keys = { &[("authorization", b"Bearer lsk-a-b"), ("x-api-key", b"lsk-a-c")], Err(Reason::BadRequest) },
    repeated_header = { &[("x-api-key", b"lsk-a-b"), ("x-api-key", b"lsk-a-c")], Err(Reason::BadRequest) },
    other_scheme = { &[("authorization", b"Basic bHNr")], Err(Reason::UnknownKey) },
    no_space_after_scheme = { &[("authorization", b"Bearerlsk-a-b")], Err(Reason::UnknownKey) },
    empty = { &[("x-api-key", b" ")], Err(Reason::MissingKey) },
    bearer_without_key = { &[("authorization", b"Bearer")], Err(Reason::MissingKey) },
    none = { &[("accept", b"lsk-a-b")], Err(Reason::MissingKey) },
)]
fn verify_presented_key(headers: &[Header], expected: Result<&[u8], Reason>) {
    assert_eq!(presented_key(headers.iter().copied()), expected);
}

#[parameterized(
    unchanged = { "a=1&keys=2", "a=1&keys=2" },
    empty = { "", "" },
    key = { "key=x&a=1", "a=1" },
    api_key = { "a=1&API_KEY=x", "a=1" },
    access_token = { "access_token=x", "" },
    without_value = { "a=1&key", "a=1" },
    escaped_name = { "%6bey=x&a=1", "a=1" },
    key_elsewhere = { "a=1&q=lsk-k1-plain", "a=1" },
    escaped_key_elsewhere = { "q=%6Csk-k1-plain&a=1", "a=1" },
    malformed_escape = { "a=%zz&b=%+f&c=%4", "a=%zz&b=%+f&c=%4" },
)]
fn verify_credentials_are_stripped_from_query(query: &str, expected: &str) {
    assert_eq!(strip_query_credentials(query), expected);
}

#[test]
fn verify_credential_headers_and_key_prefixes_are_recognised() {
    for name in [
        "Authorization",
        "x-api-key",
        "Proxy-Authorization",
        "cookie",
    ] {
        assert!(is_credential_header(name), "{name}");
    }
    assert!(!is_credential_header("accept"));
    assert!(contains_key_prefix(b"see lsk-k1-plain"));
    assert!(!contains_key_prefix(b"desk"));
}
