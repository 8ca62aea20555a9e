//! Body length and hop-by-hop fields of a message head.

use http::HeaderMap;
use http::Method;
use http::StatusCode;
use http::Version;
use http::header;
use http::header::HeaderName;
use http::request;

use crate::error::Error;
use crate::error::Result;

/// The maximum number of digits in `Content-Length`.
const MAX_LENGTH_DIGITS: usize = 18;

/// The hop-by-hop fields, which are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The fields that say how to understand a message, for each of its recipients. `Connection`
/// cannot make them hop-by-hop.
const MESSAGE_FIELDS: [HeaderName; 5] = [
    header::CONTENT_ENCODING,
    header::CONTENT_LENGTH,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
    header::HOST,
];

/// The way in which the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// By its length in bytes.
    Fixed(u64),
    /// By the last chunk of a chunked body.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Returns the body length of a request.
pub fn request_length(headers: &HeaderMap, version: Version) -> Result<BodyLength> {
    Ok(declared_length(headers, version)?.unwrap_or(BodyLength::Fixed(0)))
}

/// Returns the body length of the response to a request made with `method`.
pub fn response_length(
    headers: &HeaderMap,
    version: Version,
    status: StatusCode,
    method: &Method,
) -> Result<BodyLength> {
    let length = declared_length(headers, version)?;
    if method == Method::HEAD || has_no_body(status) {
        return Ok(BodyLength::Fixed(0));
    }
    Ok(length.unwrap_or(BodyLength::UntilClose))
}

/// Returns whether responses with `status` never have a body.
pub fn has_no_body(status: StatusCode) -> bool {
    status.is_informational()
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
}

/// Returns whether `Connection` contains `close`.
pub fn asks_to_close(headers: &HeaderMap) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .any(|value| has_token(value.as_bytes(), b"close"))
}

/// Removes the hop-by-hop fields, including those that `Connection` names, except the
/// `end_to_end` fields and those that say how to understand the message.
///
/// An intermediary that forwards a message has to do so before it sets fields of its own: the
/// sender of the message chooses the names in `Connection`.
///
/// ```
/// use http::HeaderMap;
/// use http::HeaderName;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "x-trace, x-id, host".parse().unwrap());
/// headers.insert("x-trace", "1".parse().unwrap());
/// headers.insert("x-id", "7".parse().unwrap());
/// headers.insert("host", "a.example".parse().unwrap());
/// limpetsaddle_http::remove_hop_by_hop(&mut headers, &[HeaderName::from_static("x-id")]);
/// assert_eq!(headers.len(), 2);
/// assert_eq!(headers["x-id"], "7");
/// ```
pub fn remove_hop_by_hop(headers: &mut HeaderMap, end_to_end: &[HeaderName]) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|token| HeaderName::from_bytes(token.trim_ascii()).ok())
        .filter(|name| !end_to_end.contains(name) && !MESSAGE_FIELDS.contains(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

fn declared_length(headers: &HeaderMap, version: Version) -> Result<Option<BodyLength>> {
    let codings: Vec<_> = headers.get_all(header::TRANSFER_ENCODING).iter().collect();
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let length = lengths.next();
    if !codings.is_empty() && length.is_some() {
        return Err(Error::ConflictingLengths);
    }
    if lengths.next().is_some() {
        return Err(Error::RepeatedLength);
    }
    match (codings.as_slice(), length) {
        ([], None) => Ok(None),
        ([], Some(length)) => content_length(length.as_bytes()).map(Some),
        ([coding], _) if is_chunked(coding.as_bytes()) && version == Version::HTTP_11 => {
            Ok(Some(BodyLength::Chunked))
        }
        _ => Err(Error::UnknownTransferCoding),
    }
}

fn content_length(text: &[u8]) -> Result<BodyLength> {
    let digits = text.iter().all(u8::is_ascii_digit);
    if !digits || text.is_empty() || text.len() > MAX_LENGTH_DIGITS {
        return Err(Error::InvalidLength);
    }
    let value = text
        .iter()
        .fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
    Ok(BodyLength::Fixed(value))
}

fn is_chunked(coding: &[u8]) -> bool {
    coding.eq_ignore_ascii_case(b"chunked")
}

fn has_token(value: &[u8], token: &[u8]) -> bool {
    value
        .split(|b| *b == b',')
        .any(|item| item.trim_ascii().eq_ignore_ascii_case(token))
}

/// Checks that a request names one host.
pub fn check_host(head: &request::Parts) -> Result<()> {
    let hosts = head.headers.get_all(header::HOST).iter().count();
    let named = hosts == 1 || (hosts == 0 && head.version == Version::HTTP_10);
    named.then_some(()).ok_or(Error::MalformedHead)
}

/// Returns whether the caller waits for an interim response before it sends the body.
pub fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(header::EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
