//! HTTP/1.1 client: sends a request and streams the response.

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
use crate::budget::BufferBudget;
use crate::budget::ReservedBody;
use crate::encode;
use crate::encode::DeclaredLength;
use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing;
use crate::framing::BodyLength;
use crate::framing::remove_hop_by_hop;
use crate::stream::BufferedStream;
use crate::stream::with_timeout;

/// The maximum number of informational responses (1xx) before the final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Limits on one exchange with a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientOptions {
    /// The time limit for establishing the connection.
    pub connect_timeout: Duration,
    /// The longest time in which the server accepts no byte of the request.
    pub write_timeout: Duration,
    /// The time limit from the end of the request to the end of the response head.
    pub head_timeout: Duration,
    /// The time limit for receiving the next bytes of the response body.
    pub idle_timeout: Duration,
    /// The maximum size of a response head in bytes.
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

/// An HTTP client that opens a new connection for each request.
///
/// Cloning is cheap; clones share the options.
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
    /// Returns a client with the limits in `options`.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            options: Rc::new(options),
        }
    }

    /// Sends `req` to `address` and reads the head of the response.
    ///
    /// Sets `Content-Length`, `Connection: close` and, unless given, `Host`, and removes
    /// hop-by-hop fields.
    ///
    /// # Errors
    ///
    /// Returns an error when the server cannot be reached, a time limit expires, or the
    /// response is malformed or its length ambiguous. [`Error::not_sent`] returns whether
    /// the server cannot have received any part of the request.
    pub async fn send(&self, address: SocketAddr, req: Request) -> Result<Response> {
        self.open(address).await?.send(req).await
    }

    /// Connects to `address`, so that the caller can decide immediately before it sends.
    ///
    /// # Errors
    ///
    /// Returns an error for which [`Error::not_sent`] holds when the server cannot be reached
    /// in time.
    pub async fn open(&self, address: SocketAddr) -> Result<OpenConnection> {
        let stream = self.connect(address).await.map_err(not_sent)?;
        Ok(OpenConnection {
            options: Rc::clone(&self.options),
            address,
            stream: BufferedStream::new(stream),
        })
    }

    async fn connect(&self, address: SocketAddr) -> Result<TcpStream> {
        with_timeout(self.options.connect_timeout, Phase::Connect, async {
            let connected = TcpStream::connect_addr(address).await;
            connected.map_err(|source| Error::Io {
                phase: Phase::Connect,
                source,
            })
        })
        .await
    }
}

/// The size of a read that only awaits the end of a connection.
const CLOSE_READ_BYTES: usize = 256;

/// A connection over which nothing was sent yet.
pub struct OpenConnection {
    options: Rc<ClientOptions>,
    address: SocketAddr,
    stream: BufferedStream,
}

impl OpenConnection {
    /// Waits until the server closes the connection, or fails it.
    pub async fn closed(&mut self) {
        // A server has nothing to say before it gets a request.
        while matches!(self.stream.fill(CLOSE_READ_BYTES).await, Ok(n) if n > 0) {
            self.stream.buf.clear();
        }
    }

    /// Sends `req` as [`Client::send`] does.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::send`] but those of connecting.
    pub async fn send(self, mut req: Request) -> Result<Response> {
        let Self {
            options,
            address,
            mut stream,
        } = self;
        remove_hop_by_hop(req.headers_mut(), &[]);
        let (head, body) = req.into_parts();
        let bytes = encode::request_head(
            &head,
            &address.to_string(),
            declared_length(&head.method, &body),
        );
        let sent = stream
            .write_parts([bytes.freeze(), body], options.write_timeout)
            .await;
        match sent {
            Ok(()) => read_response(stream, &options, &head.method).await,
            Err(e) if stream.written() == 0 => Err(not_sent(e)),
            // The server may have responded without reading the whole request.
            Err(e) => match read_response(stream, &options, &head.method).await {
                Ok(mut res) => {
                    res.is_end_unknown = res.ends_with_connection && matches!(e, Error::Io { .. });
                    Ok(res)
                }
                Err(_) => Err(e),
            },
        }
    }
}

async fn read_response(
    mut stream: BufferedStream,
    options: &ClientOptions,
    method: &Method,
) -> Result<Response> {
    let read = read_final_head(&mut stream, options.max_head_bytes);
    let head = with_timeout(options.head_timeout, Phase::Head, read).await?;
    let length = framing::response_length(&head.headers, head.version, head.status, method)?;
    Ok(Response {
        head,
        ends_with_connection: length == BodyLength::UntilClose,
        is_end_unknown: false,
        stream,
        body: Body::new(length),
        idle_timeout: options.idle_timeout,
    })
}

/// A response whose body is read on demand.
///
/// Dropping it closes the connection, which signals the server to stop.
pub struct Response {
    /// The status and header fields.
    pub head: response::Parts,
    /// Whether only the end of the connection shows the end of the body. A server that fails
    /// may close the connection too.
    pub ends_with_connection: bool,
    /// Whether the connection failed while the request was written and only its end would show
    /// the end of the body. The operating system reports a failure once, so that a read after a
    /// reset finds what looks like a regular end.
    is_end_unknown: bool,
    stream: BufferedStream,
    body: Body,
    idle_timeout: Duration,
}

impl Response {
    /// Reads the next piece of the body, a whole chunk if the body is chunked and the chunk
    /// not large, or returns `None` at its end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is truncated or malformed, when nothing arrives within
    /// the idle timeout, or when the body ends with a connection that failed before the whole
    /// request was written.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        let read = self.body.next(&mut self.stream);
        let piece = with_timeout(self.idle_timeout, Phase::Body, read).await?;
        if piece.is_none() && self.is_end_unknown {
            return Err(Error::ClosedEarly { phase: Phase::Body });
        }
        Ok(piece)
    }

    /// Reads the rest of the body, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`next`](Self::next), and [`Error::OversizedBody`] when the
    /// body exceeds `limit`.
    pub async fn collect(self, limit: usize) -> Result<Bytes> {
        self.collect_within(limit, &BufferBudget::new(usize::MAX))
            .await
    }

    /// Reads the rest of the body, up to `limit` bytes, into memory of `budget`, which is
    /// returned once the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`collect`](Self::collect), and [`Error::OversizedBody`] when the
    /// body exceeds what `budget` leaves to it.
    pub async fn collect_within(mut self, limit: usize, budget: &BufferBudget) -> Result<Bytes> {
        let mut reservation = budget.reservation();
        let mut collected = BytesMut::new();
        while let Some(piece) = self.next().await? {
            let length = collected.len() + piece.len();
            if length > limit {
                return Err(Error::OversizedBody);
            }
            if length > collected.capacity() {
                let capacity = length.max(collected.capacity() * 2).min(limit);
                reservation.resize(capacity)?;
                collected.reserve(capacity - collected.len());
            }
            collected.extend_from_slice(&piece);
        }
        Ok(ReservedBody::join(collected.freeze(), reservation))
    }
}

async fn read_final_head(stream: &mut BufferedStream, limit: usize) -> Result<response::Parts> {
    for _ in 0..=MAX_INTERIM_RESPONSES {
        let head = stream.read_head(&mut ResponseHeadDecoder, limit).await?;
        if head.status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(Error::MalformedHead);
        }
        if !head.status.is_informational() {
            return Ok(head);
        }
    }
    Err(Error::MalformedHead)
}

fn declared_length(method: &Method, body: &Bytes) -> DeclaredLength {
    let bodiless = matches!(*method, Method::GET | Method::HEAD | Method::DELETE);
    if bodiless && body.is_empty() {
        return DeclaredLength::None;
    }
    DeclaredLength::Fixed(body.len())
}

fn not_sent(cause: Error) -> Error {
    Error::NotSent(Box::new(cause))
}
