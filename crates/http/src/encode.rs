//! Writing of heads and chunks.
//!
//! The library's encoder holds chunks back until a buffer is full and writes a
//! content length where none is permitted, so heads and chunks are written here.

use bytes::BufMut as _;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::Version;
use http::header;
use http::request;

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// The answer that asks the caller to send the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The room for a head beside its fields, in bytes.
const HEAD_BYTES: usize = 256;

/// A `Declared` is the length that a head declares for its body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Declared {
    /// No length: there is no body, or it ends with the connection.
    Nothing,
    /// A body of so many bytes.
    Fixed(usize),
    /// A body in chunks.
    Chunked,
}

/// Returns the head of an answer; `close` announces the end of the connection.
pub fn response_head(
    status: StatusCode,
    headers: &HeaderMap,
    declared: Declared,
    close: bool,
) -> BytesMut {
    let mut dst = BytesMut::with_capacity(HEAD_BYTES);
    dst.put_slice(b"HTTP/1.1 ");
    dst.put_slice(status.as_str().as_bytes());
    dst.put_u8(b' ');
    dst.put_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    dst.put_slice(b"\r\n");
    put_fields(&mut dst, headers, declared, close);
    dst
}

/// Returns the head of a request to `host`, which is used unless the head names one.
pub fn request_head(head: &request::Parts, host: &str, declared: Declared) -> BytesMut {
    let target = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let mut dst = BytesMut::with_capacity(HEAD_BYTES + target.len());
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

/// Returns `data` as one chunk.
pub fn chunk(data: &[u8]) -> Bytes {
    let size = format!("{:x}\r\n", data.len());
    let mut dst = BytesMut::with_capacity(size.len() + data.len() + 2);
    dst.put_slice(size.as_bytes());
    dst.put_slice(data);
    dst.put_slice(b"\r\n");
    dst.freeze()
}

/// Returns whether `version` lets an answer come in chunks.
pub fn takes_chunks(version: Version) -> bool {
    version == Version::HTTP_11
}

fn put_fields(dst: &mut BytesMut, headers: &HeaderMap, declared: Declared, close: bool) {
    let own = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
    ];
    for (name, value) in headers.iter().filter(|(name, _)| !own.contains(name)) {
        put_field(dst, name.as_str(), value.as_bytes());
    }
    match declared {
        Declared::Nothing => (),
        Declared::Fixed(length) => {
            let length = length.to_string();
            put_field(dst, header::CONTENT_LENGTH.as_str(), length.as_bytes());
        }
        Declared::Chunked => put_field(dst, header::TRANSFER_ENCODING.as_str(), b"chunked"),
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
