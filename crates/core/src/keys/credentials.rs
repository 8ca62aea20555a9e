//! Extraction and removal of credentials in requests.

use std::borrow::Cow;

use super::KEY_PREFIX;
use crate::refusal::Reason;

/// The headers that must not be forwarded to an upstream.
const CREDENTIAL_HEADERS: [&str; 7] = [
    "api-key",
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
    "x-auth-token",
    "x-goog-api-key",
];

/// The query parameters that must not be forwarded to an upstream.
const CREDENTIAL_PARAMETERS: [&str; 5] = ["access_token", "api-key", "api_key", "apikey", "key"];

const BEARER: &[u8] = b"bearer";

/// Returns the key in the headers of a request.
///
/// The key is expected in `Authorization: Bearer` or `x-api-key`. Header names
/// and the scheme are case-insensitive.
///
/// # Errors
///
/// Returns [`Reason::MissingKey`] if no header contains a key,
/// [`Reason::UnknownKey`] if `Authorization` uses another scheme, and
/// [`Reason::BadRequest`] if two headers contain different keys.
///
/// ```
/// use limpetsaddle_core::keys::presented_key;
///
/// let headers = [("authorization", b"Bearer lsk-k1-secret".as_slice())];
/// assert_eq!(presented_key(headers), Ok(b"lsk-k1-secret".as_slice()));
/// ```
pub fn presented_key<'a>(
    headers: impl IntoIterator<Item = (&'a str, &'a [u8])>,
) -> Result<&'a [u8], Reason> {
    let mut found = None;
    for (name, value) in headers {
        let key = if name.eq_ignore_ascii_case("authorization") {
            bearer(value).ok_or(Reason::UnknownKey)?
        } else if name.eq_ignore_ascii_case("x-api-key") {
            value.trim_ascii()
        } else {
            continue;
        };
        if found.replace(key).is_some_and(|earlier| earlier != key) {
            return Err(Reason::BadRequest);
        }
    }
    found
        .filter(|key| !key.is_empty())
        .ok_or(Reason::MissingKey)
}

/// Returns whether a header of this name must not be forwarded to an upstream.
///
/// ```
/// use limpetsaddle_core::keys::is_credential_header;
///
/// assert!(is_credential_header("Authorization"));
/// assert!(!is_credential_header("content-type"));
/// ```
#[must_use]
pub fn is_credential_header(name: &str) -> bool {
    CREDENTIAL_HEADERS
        .iter()
        .any(|h| name.eq_ignore_ascii_case(h))
}

/// Returns whether `value` contains the prefix of a caller's key.
///
/// Headers, paths and parameters with such a value must not be forwarded to an
/// upstream. Percent-encoded values are recognised.
#[must_use]
pub fn contains_key_prefix(value: &[u8]) -> bool {
    let prefix = KEY_PREFIX.as_bytes();
    let found = |value: &[u8]| {
        let mut windows = value.windows(prefix.len());
        windows.any(|window| window.eq_ignore_ascii_case(prefix))
    };
    found(value) || (value.contains(&b'%') && found(&percent_decode(value)))
}

/// Returns whether the body of a request contains `key`, either literally or
/// with percent encoding or JSON escapes, which upstreams decode.
///
/// ```
/// use limpetsaddle_core::keys::body_contains_key;
///
/// assert!(body_contains_key(br#"{"a": "\u006csk-k1-secret"}"#, b"lsk-k1-secret"));
/// assert!(!body_contains_key(br#"{"a": "lsk-"}"#, b"lsk-k1-secret"));
/// ```
#[must_use]
pub fn body_contains_key(body: &[u8], key: &[u8]) -> bool {
    if key.is_empty() {
        return false;
    }
    let found = |body: &[u8]| body.windows(key.len()).any(|window| window == key);
    found(body)
        || (body.contains(&b'%') && found(&percent_decode(body)))
        || (body.contains(&b'\\') && found(&unescape_json(body)))
}

/// Returns the query of a request without the parameters that contain credentials.
///
/// Percent-encoded names are recognised, since upstreams decode them.
///
/// ```
/// use limpetsaddle_core::keys::strip_query_credentials;
///
/// assert_eq!(strip_query_credentials("a=1&api_key=lsk-k1-secret&b=2"), "a=1&b=2");
/// ```
#[must_use]
pub fn strip_query_credentials(query: &str) -> Cow<'_, str> {
    if query.split('&').all(is_safe_parameter) {
        return Cow::Borrowed(query);
    }
    let kept: Vec<&str> = query
        .split('&')
        .filter(|pair| is_safe_parameter(pair))
        .collect();
    Cow::Owned(kept.join("&"))
}

fn is_safe_parameter(pair: &str) -> bool {
    let (name, _) = pair.split_once('=').unwrap_or((pair, ""));
    let name = percent_decode(name.as_bytes());
    let is_blocked = CREDENTIAL_PARAMETERS
        .iter()
        .any(|p| name.eq_ignore_ascii_case(p.as_bytes()));
    !is_blocked && !contains_key_prefix(pair.as_bytes())
}

/// Decodes percent escapes; malformed ones are kept as they are.
fn percent_decode(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| tail.get(..2)).flatten();
        let byte = escaped.and_then(hex_byte);
        decoded.push(byte.unwrap_or(*first));
        rest = if byte.is_some() { &tail[2..] } else { tail };
    }
    decoded
}

/// Decodes the JSON string escapes of characters that are permitted in keys.
fn unescape_json(text: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(text.len());
    let mut rest = text;
    while let Some((first, tail)) = rest.split_first() {
        let digits = tail.strip_prefix(b"u00").and_then(|t| t.get(..2));
        let escaped = digits.filter(|_| *first == b'\\').and_then(hex_byte);
        decoded.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() { &tail[5..] } else { tail };
    }
    decoded
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    if !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    let digits = std::str::from_utf8(digits).ok()?;
    u8::from_str_radix(digits, 16).ok()
}

/// Returns the key in an `Authorization` header with the scheme `Bearer`.
fn bearer(value: &[u8]) -> Option<&[u8]> {
    let value = value.trim_ascii();
    let (scheme, key) = value.split_at_checked(BEARER.len())?;
    let is_separated = key.first().is_none_or(u8::is_ascii_whitespace);
    (scheme.eq_ignore_ascii_case(BEARER) && is_separated).then(|| key.trim_ascii())
}
