//! Encoding of heads and chunks.
//!
//! The library's encoder delays chunks until a buffer is full and writes a
//! `Content-Length` where none is permitted, so it is not used.

use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use http::header;
use http::request;

/// The last chunk and the end of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The informational response that asks the caller to send the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The initial capacity of a head's buffer in bytes.
const INITIAL_HEAD_BYTES: usize = 256;

/// The body length that a head declares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeclaredLength {
    /// None: there is no body, or the end of the connection delimits it.
    None,
    /// `Content-Length`, in bytes.
    Fixed(usize),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

/// Returns the head of a response, with `Connection: close` if `close` is set.
pub fn response_head(
    status: StatusCode,
    headers: &HeaderMap,
    declared: DeclaredLength,
    close: bool,
) -> BytesMut {
    let mut dst = BytesMut::with_capacity(INITIAL_HEAD_BYTES);
    dst.put_slice(b"HTTP/1.1 ");
    dst.put_slice(status.as_str().as_bytes());
    dst.put_u8(b' ');
    dst.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    dst.put_slice(b"\r\n");
    put_fields(&mut dst, headers, declared, close);
    dst
}

/// Returns the head of a request; `host` is the `Host` field unless `head` has one.
pub fn request_head(head: &request::Parts, host: &str, declared: DeclaredLength) -> BytesMut {
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut dst = BytesMut::with_capacity(INITIAL_HEAD_BYTES + target.len());
    dst.put_slice(head.method.as_str().as_bytes());
    dst.put_u8(b' ');
    dst.put_slice(target.as_bytes());
    dst.put_slice(b" HTTP/1.1\r\n");
    if !head.headers.contains_key(header::HOST) {
        put_field(&mut dst, header::HOST.as_str(), host.as_bytes());
    }
    put_fields(&mut dst, &head.headers, declared, true);
    dst
}

/// Returns the parts of a chunk with the content `data`.
pub fn chunk(data: Bytes) -> [Bytes; 3] {
    let size = format!("{:x}\r\n", data.len());
    [size.into(), data, Bytes::from_static(b"\r\n")]
}

/// Returns whether `version` supports chunked responses.
pub fn supports_chunked(version: Version) -> bool {
    version == Version::HTTP_11
}

fn put_fields(dst: &mut BytesMut, headers: &HeaderMap, declared: DeclaredLength, close: bool) {
    let framing_fields = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
    ];
    for (name, value) in headers
        .iter()
        .filter(|(name, _)| !framing_fields.contains(name))
    {
        put_field(dst, name.as_str(), value.as_bytes());
    }
    match declared {
        DeclaredLength::None => (),
        DeclaredLength::Fixed(length) => {
            let length = length.to_string();
            put_field(dst, header::CONTENT_LENGTH.as_str(), length.as_bytes());
        }
        DeclaredLength::Chunked => put_field(dst, header::TRANSFER_ENCODING.as_str(), b"chunked"),
    }
    if close {
        put_field(dst, header::CONNECTION.as_str(), b"close");
    }
    dst.put_slice(b"\r\n");
}

fn put_field(dst: &mut BytesMut, name: &str, value: &[u8]) {
    dst.put_slice(name.as_bytes());
    dst.put_slice(b": ");
    dst.put_slice(value);
    dst.put_slice(b"\r\n");
}
