//! The client's side: one request, and its answer piece by piece.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::StatusCode;
use http::response;
use monoio::net::TcpStream;
use monoio_http::h1::codec::decoder::ResponseHeadDecoder;

use crate::Request;
use crate::body::Body;
use crate::encode;
use crate::encode::Declared;
use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing;
use crate::framing::remove_hop_by_hop;
use crate::wire::Wire;
use crate::wire::within;

/// The largest chunk that is accepted, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024 * 1024;

/// The largest number of interim answers before the final one.
const MAX_INTERIM_ANSWERS: usize = 8;

/// Limits on one exchange with a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// The longest time for establishing the connection.
    pub connect_timeout: Duration,
    /// The longest time for writing the request.
    pub write_timeout: Duration,
    /// The longest time from the end of the request to the end of the answer's head.
    pub head_timeout: Duration,
    /// The longest wait for the next bytes of the answer's body.
    pub idle_timeout: Duration,
    /// The largest size of an answer's head in bytes.
    pub max_head_bytes: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
            max_head_bytes: 32 * 1024,
        }
    }
}

/// A `Client` sends requests, each over a connection of its own.
///
/// A clone shares the options and costs one reference count.
///
/// ```no_run
/// use limpetsaddle_http::Client;
/// use limpetsaddle_http::ClientOptions;
/// use limpetsaddle_http::Request;
///
/// async fn load() -> limpetsaddle_http::Result<bytes::Bytes> {
///     let client = Client::new(ClientOptions::default());
///     let mut req = Request::default();
///     *req.uri_mut() = http::Uri::from_static("/load");
///     let res = client.send(([127, 0, 0, 1], 8080).into(), req).await?;
///     res.collect(64 * 1024).await
/// }
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    options: Rc<ClientOptions>,
}

impl Client {
    /// Returns a client that keeps to `options`.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            options: Rc::new(options),
        }
    }

    /// Sends `req` to `address` and reads the head of the answer.
    ///
    /// The length, the `Host` unless it is given, and `Connection: close` are set
    /// here; fields that concern one connection are removed.
    ///
    /// # Errors
    ///
    /// Fails when the server cannot be reached, takes too long, or answers in a
    /// way that is malformed or ambiguous. [`Error::not_sent`] tells whether the
    /// server can have seen anything of the request.
    pub async fn send(&self, address: SocketAddr, mut req: Request) -> Result<Response> {
        remove_hop_by_hop(req.headers_mut());
        let (head, body) = req.into_parts();
        let mut bytes =
            encode::request_head(&head, &address.to_string(), declared(&head.method, &body));
        bytes.extend_from_slice(&body);

        let stream = self.connect(address).await;
        let mut wire = Wire::new(stream.map_err(not_sent)?);
        let sent = wire.write(bytes.freeze(), self.options.write_timeout).await;
        match sent {
            Ok(()) => self.read_response(wire, &head.method).await,
            Err(e) if wire.written() == 0 => Err(not_sent(e)),
            // The server may have answered without reading the whole request.
            Err(e) => self.read_response(wire, &head.method).await.map_err(|_| e),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream> {
        within(self.options.connect_timeout, Phase::Connect, async {
            let connected = TcpStream::connect_addr(address).await;
            connected.map_err(|source| Error::Io {
                phase: Phase::Connect,
                source,
            })
        })
        .await
    }

    async fn read_response(&self, mut wire: Wire, method: &Method) -> Result<Response> {
        let read = read_final_head(&mut wire, self.options.max_head_bytes);
        let head = within(self.options.head_timeout, Phase::Head, read).await?;
        let length = framing::response_length(&head.headers, head.version, head.status, method)?;
        Ok(Response {
            head,
            wire,
            body: Body::new(length, MAX_CHUNK_BYTES),
            idle_timeout: self.options.idle_timeout,
        })
    }
}

/// A `Response` is an answer whose body is read as it is asked for.
///
/// Dropping it closes the connection, which tells the server to stop.
pub struct Response {
    /// The status and the fields of the answer.
    pub head: response::Parts,
    wire: Wire,
    body: Body,
    idle_timeout: Duration,
}

impl Response {
    /// Reads the next piece of the body, a whole chunk if it comes in chunks, or
    /// returns `None` at its end. Cancelling loses nothing.
    ///
    /// # Errors
    ///
    /// Fails when the body ends early, stalls for the idle timeout or is
    /// malformed.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        let read = self.body.next(&mut self.wire);
        within(self.idle_timeout, Phase::Body, read).await
    }

    /// Reads the rest of the body, which may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// As for [`next`](Self::next), and when the body is larger than `limit`.
    pub async fn collect(mut self, limit: usize) -> Result<Bytes> {
        let mut whole = BytesMut::new();
        while let Some(piece) = self.next().await? {
            if whole.len() + piece.len() > limit {
                return Err(Error::OversizedBody);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }
}

async fn read_final_head(wire: &mut Wire, limit: usize) -> Result<response::Parts> {
    for _ in 0..=MAX_INTERIM_ANSWERS {
        let head = wire.read_head(&mut ResponseHeadDecoder, limit).await?;
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Error::MalformedHead);
        }
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(Error::MalformedHead)
}

fn declared(method: &Method, body: &Bytes) -> Declared {
    let bodiless = matches!(*method, Method::GET | Method::HEAD | Method::DELETE);
    if bodiless && body.is_empty() {
        return Declared::Nothing;
    }
    Declared::Fixed(body.len())
}

fn not_sent(cause: Error) -> Error {
    Error::NotSent(Box::new(cause))
}
