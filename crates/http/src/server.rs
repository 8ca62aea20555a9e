//! The server's side of one connection.

use std::future;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http::request;
use monoio::net::TcpStream;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

use crate::Request;
use crate::body::Body;
use crate::encode;
use crate::encode::Declared;
use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing;
use crate::framing::Length;
use crate::wire::READ_BYTES;
use crate::wire::Wire;
use crate::wire::within;

/// How long a refused caller may take to notice the answer before the connection
/// is dropped.
const LINGER: Duration = Duration::from_secs(2);

/// Limits on what one caller may take up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// The largest size of a head in bytes.
    pub max_head_bytes: usize,
    /// The largest size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// The longest time from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// The longest time from the end of a head to the end of the body.
    pub body_timeout: Duration,
    /// The longest wait for the first byte of a request.
    pub idle_timeout: Duration,
    /// The longest time for writing one piece of an answer.
    pub write_timeout: Duration,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_head_bytes: 32 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// A `Stage` is how far the answer to the current request has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Unanswered,
    Started(BodyForm),
    Answered,
}

/// A `BodyForm` is the form in which a started answer's body goes out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyForm {
    Chunked,
    UntilClose,
    Omitted,
}

/// A `Connection` is the server's side of one connection.
///
/// Requests are taken with [`next_request`](Self::next_request) and answered in
/// turn, either whole with [`respond`](Self::respond) or in pieces with
/// [`start`](Self::start), [`send`](Self::send) and [`finish`](Self::finish).
/// After an error of `next_request` the caller may still be told by `respond`;
/// then the connection has to be dropped, as [`keep_alive`](Self::keep_alive)
/// says.
///
/// ```
/// use bytes::Bytes;
/// use limpetsaddle_http::Connection;
///
/// async fn echo(mut connection: Connection) -> limpetsaddle_http::Result<()> {
///     while let Some(req) = connection.next_request().await? {
///         let answer = http::Response::new(req.into_body());
///         connection.respond(answer).await?;
///         if !connection.keep_alive() {
///             break;
///         }
///     }
///     Ok(())
/// }
/// ```
pub struct Connection {
    wire: Wire,
    options: ServerOptions,
    method: Method,
    version: Version,
    keep_alive: bool,
    failed: bool,
    peer_closed: bool,
    stage: Stage,
}

impl Connection {
    /// Returns the server's side of `stream`.
    #[must_use]
    pub fn new(stream: TcpStream, options: ServerOptions) -> Self {
        Self {
            wire: Wire::new(stream),
            options,
            method: Method::GET,
            version: Version::HTTP_11,
            keep_alive: true,
            failed: false,
            peer_closed: false,
            stage: Stage::Answered,
        }
    }

    /// Puts other limits in force from the next request on.
    pub const fn set_options(&mut self, options: ServerOptions) {
        self.options = options;
    }

    /// Waits for the first byte of the next request and returns whether it came.
    ///
    /// Cancelling loses nothing. A request that has begun can be told in this
    /// way from a connection that is idle.
    pub async fn ready(&mut self) -> bool {
        if !self.keep_alive || !self.wait_for_request().await {
            self.keep_alive = false;
        }
        self.keep_alive
    }

    /// Makes the next answer the last one, and tells the caller so in its head.
    pub const fn close_after_response(&mut self) {
        self.keep_alive = false;
    }

    /// Reads the next request with its whole body.
    ///
    /// Returns `None` when the caller closed the connection between requests or
    /// sent nothing for the idle timeout.
    ///
    /// # Errors
    ///
    /// Fails when the request is malformed, ambiguous about its length, too large,
    /// too slow or cut short. The request has then not been taken in.
    pub async fn next_request(&mut self) -> Result<Option<Request>> {
        if !self.ready().await {
            return Ok(None);
        }
        self.stage = Stage::Unanswered;
        self.method = Method::GET;
        self.version = Version::HTTP_11;
        let read = self.read_request().await;
        if read.is_err() {
            self.failed = true;
            self.keep_alive = false;
        }
        read.map(Some)
    }

    /// Writes a whole answer.
    ///
    /// The length is set here. Answers to `HEAD` and answers whose status permits
    /// no body go out without theirs.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or does not read in time, or when there is
    /// no request to answer.
    pub async fn respond(&mut self, res: Response<Bytes>) -> Result<()> {
        let (head, body) = res.into_parts();
        self.open_answer(&head.headers)?;
        let declared = if framing::has_no_body(head.status) {
            Declared::Nothing
        } else {
            Declared::Fixed(body.len())
        };
        let mut bytes = self.head_bytes(head.status, &head.headers, declared);
        if declared != Declared::Nothing && self.method != Method::HEAD {
            bytes.extend_from_slice(&body);
        }
        self.write(bytes.freeze()).await?;
        self.end_answer().await;
        Ok(())
    }

    /// Writes the head of an answer whose body follows in pieces.
    ///
    /// # Errors
    ///
    /// As for [`respond`](Self::respond).
    pub async fn start(&mut self, res: Response<()>) -> Result<()> {
        let (head, ()) = res.into_parts();
        self.open_answer(&head.headers)?;
        let form = if self.method == Method::HEAD || framing::has_no_body(head.status) {
            BodyForm::Omitted
        } else if encode::takes_chunks(self.version) {
            BodyForm::Chunked
        } else {
            BodyForm::UntilClose
        };
        let declared = match form {
            BodyForm::Chunked => Declared::Chunked,
            BodyForm::UntilClose | BodyForm::Omitted => Declared::Nothing,
        };
        let bytes = self.head_bytes(head.status, &head.headers, declared);
        self.write(bytes.freeze()).await?;
        self.stage = Stage::Started(form);
        Ok(())
    }

    /// Writes one piece of a started answer's body to the socket at once.
    ///
    /// # Errors
    ///
    /// Fails when the caller is gone or does not read in time, or when no answer
    /// has been started.
    pub async fn send(&mut self, chunk: Bytes) -> Result<()> {
        let Stage::Started(form) = self.stage else {
            return Err(Error::AnswerOutOfOrder);
        };
        // An empty chunk would end the body.
        if chunk.is_empty() {
            return Ok(());
        }
        match form {
            BodyForm::Chunked => self.write(encode::chunk(&chunk)).await,
            BodyForm::UntilClose => self.write(chunk).await,
            BodyForm::Omitted => Ok(()),
        }
    }

    /// Ends a started answer, which tells the caller that it is complete.
    ///
    /// # Errors
    ///
    /// As for [`send`](Self::send).
    pub async fn finish(&mut self) -> Result<()> {
        let Stage::Started(form) = self.stage else {
            return Err(Error::AnswerOutOfOrder);
        };
        if form == BodyForm::Chunked {
            self.write(Bytes::from_static(encode::LAST_CHUNK)).await?;
        }
        self.end_answer().await;
        Ok(())
    }

    /// Waits until the caller has closed or reset the connection.
    ///
    /// Bytes that arrive meanwhile are kept for the next request, up to the
    /// largest size of a head; beyond that the caller is no longer read from.
    /// Cancelling loses nothing.
    pub async fn closed(&mut self) {
        while !self.peer_closed {
            if self.wire.buf.len() > self.options.max_head_bytes {
                return future::pending().await;
            }
            let read = self.wire.fill(READ_BYTES).await;
            self.peer_closed = !matches!(read, Ok(n) if n > 0);
        }
    }

    /// Returns whether another request may follow on this connection.
    #[must_use]
    pub const fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    async fn wait_for_request(&mut self) -> bool {
        if self.stage != Stage::Answered {
            return false;
        }
        if !self.wire.buf.is_empty() {
            return true;
        }
        if self.peer_closed {
            return false;
        }
        let read = self.wire.fill(READ_BYTES);
        let read = monoio::time::timeout(self.options.idle_timeout, read).await;
        matches!(read, Ok(Ok(n)) if n > 0)
    }

    async fn read_request(&mut self) -> Result<Request> {
        let limit = self.options.max_head_bytes;
        let mut decoder = RequestHeadDecoder;
        let read = self.wire.read_head(&mut decoder, limit);
        let head = within(self.options.head_timeout, Phase::Head, read).await?;
        self.method = head.method.clone();
        self.version = head.version;
        self.keep_alive =
            head.version == Version::HTTP_11 && !framing::asks_to_close(&head.headers);
        check_host(&head)?;
        let length = framing::request_length(&head.headers, head.version)?;
        let body = within(
            self.options.body_timeout,
            Phase::Body,
            self.read_body(&head.headers, length),
        )
        .await?;
        Ok(Request::from_parts(head, body))
    }

    async fn read_body(&mut self, headers: &HeaderMap, length: Length) -> Result<Bytes> {
        let limit = self.options.max_body_bytes;
        if matches!(length, Length::Fixed(length) if length > limit as u64) {
            return Err(Error::OversizedBody);
        }
        let mut body = Body::new(length, limit);
        if !body.is_done() && self.wire.buf.is_empty() && expects_continue(headers) {
            self.write(Bytes::from_static(encode::CONTINUE)).await?;
        }
        let mut whole = BytesMut::new();
        while let Some(piece) = body.next(&mut self.wire).await? {
            if whole.len() + piece.len() > limit {
                return Err(Error::OversizedBody);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn open_answer(&mut self, headers: &HeaderMap) -> Result<()> {
        if self.stage != Stage::Unanswered {
            return Err(Error::AnswerOutOfOrder);
        }
        self.keep_alive &= !framing::asks_to_close(headers);
        Ok(())
    }

    async fn end_answer(&mut self) {
        self.stage = Stage::Answered;
        if self.failed {
            self.wire.linger(LINGER).await;
        }
    }

    fn head_bytes(&self, status: StatusCode, headers: &HeaderMap, declared: Declared) -> BytesMut {
        encode::response_head(status, headers, declared, !self.keep_alive)
    }

    async fn write(&mut self, bytes: Bytes) -> Result<()> {
        let written = self.wire.write(bytes, self.options.write_timeout).await;
        if written.is_err() {
            self.keep_alive = false;
        }
        written
    }
}

fn check_host(head: &request::Parts) -> Result<()> {
    let hosts = head.headers.get_all(header::HOST).iter().count();
    let named = hosts == 1 || (hosts == 0 && head.version == Version::HTTP_10);
    named.then_some(()).ok_or(Error::MalformedHead)
}

fn expects_continue(headers: &HeaderMap) -> bool {
    headers
        .get(header::EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}
