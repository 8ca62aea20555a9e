//! Server side of a connection.

use std::future;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use futures::channel::oneshot;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use monoio::net::TcpStream;
use monoio_http::h1::codec::decoder::RequestHeadDecoder;

use crate::Request;
use crate::body::Body;
use crate::budget::BufferBudget;
use crate::budget::Reservation;
use crate::budget::ReservedBody;
use crate::callers::CallerBudget;
use crate::callers::CallerSlot;
use crate::callers::unless_ended;
use crate::encode;
use crate::encode::DeclaredLength;
use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing;
use crate::framing::BodyLength;
use crate::shares::TeamLookup;
use crate::slots::SlotState;
use crate::stream::BufferedStream;
use crate::stream::READ_BYTES;
use crate::stream::with_timeout;

/// The time for a caller to read the response to an invalid request before the
/// connection is dropped.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of bytes that are read and discarded meanwhile. A caller that goes on
/// sending more may lose the response.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// The memory of the buffer of a connection that reads a chunked body, in bytes.
const CHUNK_BUFFER_BYTES: usize = 4 * READ_BYTES;

/// The time in which the runtime reports bytes that have already arrived.
const LAST_LOOK_TIME: Duration = Duration::from_millis(1);

/// The longest last look after which a connection can be closed: in a longer one, the
/// process was too slow to read what arrived meanwhile.
const MAX_LAST_LOOK_TIME: Duration = Duration::from_millis(20);

/// Limits on the resources that a connection uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerOptions {
    /// The maximum size of a request head in bytes.
    pub max_head_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The time limit from the first byte of a head to its last.
    pub head_timeout: Duration,
    /// The time limit from the end of a head to the end of the body.
    pub body_timeout: Duration,
    /// The time limit for receiving the first byte of a request.
    pub idle_timeout: Duration,
    /// The longest time in which the caller accepts no byte of a response.
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

/// The progress of the response to the current request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseState {
    Pending,
    Started(BodyFraming),
    Complete,
}

/// The way in which the body of a started response is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyFraming {
    Chunked,
    UntilClose,
    Omitted,
}

/// The server side of a connection.
///
/// [`next_request`](Self::next_request) reads requests; each is answered in turn, either
/// whole with [`respond`](Self::respond) or in pieces with [`start`](Self::start),
/// [`send`](Self::send) and [`finish`](Self::finish). After an error of `next_request`,
/// `respond` can still send an error response; then [`keep_alive`](Self::keep_alive)
/// returns false and the connection must be dropped.
///
/// ```
/// use bytes::Bytes;
/// use limpetsaddle_http::Connection;
///
/// async fn echo(mut connection: Connection) -> limpetsaddle_http::Result<()> {
///     while let Some(req) = connection.next_request().await? {
///         let res = http::Response::new(req.into_body());
///         connection.respond(res).await?;
///         if !connection.keep_alive() {
///             break;
///         }
///     }
///     Ok(())
/// }
/// ```
pub struct Connection {
    stream: BufferedStream,
    options: ServerOptions,
    method: Method,
    version: Version,
    keep_alive: bool,
    request_failed: bool,
    peer_closed: bool,
    response: ResponseState,
    /// The part in the budget for callers, if there is one.
    slot: Option<CallerSlot>,
    /// Returns the team whose key a request carries.
    team_of: Option<TeamLookup>,
    /// The signal that the connection has to end, as something is short.
    ended: Option<oneshot::Receiver<()>>,
}

impl Connection {
    /// Returns the server side of `stream`.
    #[must_use]
    pub fn new(stream: TcpStream, options: ServerOptions) -> Self {
        Self {
            stream: BufferedStream::new(stream),
            options,
            method: Method::GET,
            version: Version::HTTP_11,
            keep_alive: true,
            request_failed: false,
            peer_closed: false,
            response: ResponseState::Complete,
            slot: None,
            team_of: None,
            ended: None,
        }
    }

    /// Takes what the connection holds out of `budget`, from the next request on.
    pub fn set_budget(&mut self, budget: &CallerBudget) {
        self.open_slot(budget, None);
    }

    /// Does what [`set_budget`](Self::set_budget) does, and counts the connection for the share
    /// of the caller's `address`.
    pub fn set_budget_at(&mut self, budget: &CallerBudget, address: IpAddr) {
        self.open_slot(budget, Some(address));
    }

    fn open_slot(&mut self, budget: &CallerBudget, address: Option<IpAddr>) {
        let (slot, ended) = CallerSlot::open(budget, address);
        self.slot = Some(slot);
        self.ended = Some(ended);
    }

    /// Counts each request for the share of the team that `team_of` returns, before its body is
    /// read.
    pub fn set_team_lookup(&mut self, team_of: TeamLookup) {
        self.team_of = Some(team_of);
    }

    /// Returns `budget`, counted for the shares of the caller and team of the current request.
    #[must_use]
    pub fn charge(&self, budget: &BufferBudget) -> BufferBudget {
        let shares = self.slot.as_ref().map(CallerSlot::shares);
        shares.map_or_else(|| budget.clone(), |shares| budget.charged_to(shares))
    }

    /// Replaces the limits, from the next request on.
    pub const fn set_options(&mut self, options: ServerOptions) {
        self.options = options;
    }

    /// Waits for the first byte of the next request, for the idle timeout, and returns whether
    /// it arrived.
    ///
    /// This distinguishes a request that has started from an idle connection. Cancel-safe.
    pub async fn ready(&mut self) -> bool {
        let ready = self.ready_within(self.options.idle_timeout).await;
        self.keep_alive &= ready == Some(true);
        self.keep_alive
    }

    /// Waits for up to `limit` for the first byte of the next request, and returns whether
    /// it arrived, or `None` if nothing has arrived by then.
    ///
    /// Looks at the socket once more before it returns `None`: after a suspension, timers
    /// fire before the runtime has looked at the sockets. Cancel-safe.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use limpetsaddle_http::Connection;
    ///
    /// async fn is_idle(connection: &mut Connection) -> bool {
    ///     connection.ready_within(Duration::from_secs(1)).await.is_none()
    /// }
    /// ```
    pub async fn ready_within(&mut self, limit: Duration) -> Option<bool> {
        let mut wait = limit;
        loop {
            if let Ok(ready) = monoio::time::timeout(wait, self.wait_for_request()).await {
                return Some(ready);
            }
            let begun = Instant::now();
            if let Ok(ready) = monoio::time::timeout(LAST_LOOK_TIME, self.wait_for_request()).await
            {
                return Some(ready);
            }
            if begun.elapsed() <= MAX_LAST_LOOK_TIME {
                return None;
            }
            wait = LAST_LOOK_TIME;
        }
    }

    /// Closes the connection after the next response, which carries `Connection: close`.
    pub const fn close_after_response(&mut self) {
        self.keep_alive = false;
    }

    /// Reads the next request with its complete body.
    ///
    /// Returns `None` when the caller closed the connection between requests or
    /// sent nothing for the idle timeout.
    ///
    /// # Errors
    ///
    /// Returns an error when the request is malformed, ambiguous in length, too large, too
    /// slow or truncated, and [`Error::OverBudget`] when its budget has no room for it. The
    /// request is then not accepted.
    pub async fn next_request(&mut self) -> Result<Option<Request>> {
        if !self.ready().await {
            return Ok(None);
        }
        self.response = ResponseState::Pending;
        self.method = Method::GET;
        self.version = Version::HTTP_11;
        let mut ended = self.ended.take();
        let read = unless_ended(&mut ended, self.read_request()).await;
        // A request that was read in time is answered, but no further one.
        self.keep_alive &= !ended
            .as_mut()
            .is_some_and(|ended| !matches!(ended.try_recv(), Ok(None)));
        self.ended = ended;
        let read = read.unwrap_or(Err(Error::OverBudget));
        if read.is_err() {
            self.request_failed = true;
            self.keep_alive = false;
            // What was read of the request is not needed any more.
            self.stream.buf = BytesMut::new();
            self.end_request();
        } else {
            self.set_state(SlotState::Busy);
        }
        read.map(Some)
    }

    /// Writes a complete response.
    ///
    /// Sets the length. Omits the body of responses to `HEAD` and of those whose status
    /// permits none.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has disconnected or does not read in time, or
    /// [`Error::ResponseOutOfOrder`] when no request is pending.
    pub async fn respond(&mut self, res: Response<Bytes>) -> Result<()> {
        let (head, body) = res.into_parts();
        self.begin_response(&head.headers)?;
        let declared = if framing::has_no_body(head.status) {
            DeclaredLength::None
        } else {
            DeclaredLength::Fixed(body.len())
        };
        let bytes = self.head_bytes(head.status, &head.headers, declared);
        if declared != DeclaredLength::None && self.method != Method::HEAD {
            self.write_parts([bytes.freeze(), body]).await?;
        } else {
            self.write(bytes.freeze()).await?;
        }
        self.end_response().await;
        Ok(())
    }

    /// Writes the head of a response whose body follows in pieces.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`respond`](Self::respond).
    pub async fn start(&mut self, res: Response<()>) -> Result<()> {
        let (head, ()) = res.into_parts();
        self.begin_response(&head.headers)?;
        let form = if self.method == Method::HEAD || framing::has_no_body(head.status) {
            BodyFraming::Omitted
        } else if encode::supports_chunked(self.version) {
            BodyFraming::Chunked
        } else {
            BodyFraming::UntilClose
        };
        let declared = match form {
            BodyFraming::Chunked => DeclaredLength::Chunked,
            BodyFraming::UntilClose | BodyFraming::Omitted => DeclaredLength::None,
        };
        let bytes = self.head_bytes(head.status, &head.headers, declared);
        self.write(bytes.freeze()).await?;
        self.response = ResponseState::Started(form);
        Ok(())
    }

    /// Writes one piece of a started response's body to the socket immediately.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has disconnected or does not read in time, or
    /// [`Error::ResponseOutOfOrder`] when no response has been started.
    pub async fn send(&mut self, chunk: Bytes) -> Result<()> {
        let ResponseState::Started(form) = self.response else {
            return Err(Error::ResponseOutOfOrder);
        };
        // An empty chunk would terminate the body.
        if chunk.is_empty() {
            return Ok(());
        }
        match form {
            BodyFraming::Chunked => self.write_parts(encode::chunk(chunk)).await,
            BodyFraming::UntilClose => self.write(chunk).await,
            BodyFraming::Omitted => Ok(()),
        }
    }

    /// Completes a started response.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`send`](Self::send).
    pub async fn finish(&mut self) -> Result<()> {
        let ResponseState::Started(form) = self.response else {
            return Err(Error::ResponseOutOfOrder);
        };
        if form == BodyFraming::Chunked {
            self.write(Bytes::from_static(encode::LAST_CHUNK)).await?;
        }
        self.end_response().await;
        Ok(())
    }

    /// Waits until the caller has closed or reset the connection.
    ///
    /// Buffers bytes that arrive meanwhile for the next request, up to the maximum size of
    /// a head, or less if its budget has no room; beyond that it stops reading and never
    /// returns. Cancel-safe.
    pub async fn closed(&mut self) {
        while !self.peer_closed {
            let limit = self.options.max_head_bytes;
            if self.stream.buf.len() > limit || !self.reserve_ahead(limit) {
                return future::pending().await;
            }
            let read = self.stream.fill(READ_BYTES).await;
            self.peer_closed = !matches!(read, Ok(n) if n > 0);
        }
    }

    /// Returns whether another request may follow on this connection.
    #[must_use]
    pub const fn keep_alive(&self) -> bool {
        self.keep_alive
    }

    async fn wait_for_request(&mut self) -> bool {
        if !self.keep_alive || self.response != ResponseState::Complete {
            return false;
        }
        if !self.stream.buf.is_empty() {
            return true;
        }
        if self.peer_closed {
            return false;
        }
        let filled = unless_ended(&mut self.ended, self.stream.fill(READ_BYTES)).await;
        self.keep_alive &= filled.is_some();
        matches!(filled, Some(Ok(n)) if n > 0)
    }

    fn set_state(&mut self, state: SlotState) {
        if let Some(slot) = &mut self.slot {
            slot.set_state(state);
        }
    }

    async fn read_request(&mut self) -> Result<Request> {
        let limit = self.options.max_head_bytes;
        self.set_state(SlotState::Head);
        if let Some(slot) = &mut self.slot {
            if self.stream.has_head() {
                slot.take_ahead();
            } else {
                slot.reserve_head(limit).await?;
                self.stream.grow(limit + READ_BYTES);
            }
        }
        let mut decoder = RequestHeadDecoder;
        let read = self.stream.read_head(&mut decoder, limit);
        let head = with_timeout(self.options.head_timeout, Phase::Head, read).await?;
        self.method = head.method.clone();
        self.version = head.version;
        self.keep_alive =
            head.version == Version::HTTP_11 && !framing::asks_to_close(&head.headers);
        framing::check_host(&head)?;
        if let Some(slot) = self.slot.as_mut().filter(|slot| slot.has_long_head()) {
            if self.stream.buf.len() > READ_BYTES {
                slot.reserve_ahead(limit).await?;
            }
            // What follows the head doesn't share its memory.
            self.stream.shrink();
        }
        let length = framing::request_length(&head.headers, head.version)?;
        let body = with_timeout(
            self.options.body_timeout,
            Phase::Body,
            self.read_body(&head.headers, length),
        )
        .await?;
        Ok(Request::from_parts(head, body))
    }

    async fn read_body(&mut self, headers: &HeaderMap, length: BodyLength) -> Result<Bytes> {
        let limit = self.options.max_body_bytes;
        if matches!(length, BodyLength::Fixed(length) if length > limit as u64) {
            return Err(Error::OversizedBody);
        }
        let expected = match length {
            BodyLength::Fixed(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => limit,
        };
        let mut reservation = None;
        if let Some(slot) = &mut self.slot {
            if let Some(team_of) = &self.team_of {
                slot.set_team(team_of(headers));
            }
            slot.begin_request(expected, self.options.body_timeout)
                .await?;
            let bytes = match length {
                BodyLength::Fixed(_) => expected,
                _ => CHUNK_BUFFER_BYTES,
            };
            let reserved = reservation.insert(slot.body_reservation());
            slot.reserve_body(reserved, bytes).await?;
        }
        if length == BodyLength::Fixed(0) {
            return Ok(Bytes::new());
        }
        if self.stream.buf.is_empty() && framing::expects_continue(headers) {
            self.write(Bytes::from_static(encode::CONTINUE)).await?;
        }
        let body = match length {
            BodyLength::Fixed(_) => {
                let slot = &self.slot;
                let record = |bytes| slot.iter().for_each(|slot| slot.record_bytes(bytes));
                self.stream.read_whole(expected, record).await?
            }
            _ => self.collect(length, &mut reservation).await?,
        };
        Ok(match reservation {
            Some(reservation) => ReservedBody::join(body, reservation),
            None => body,
        })
    }

    /// Reads a body of unknown length, into memory that is reserved before.
    async fn collect(
        &mut self,
        length: BodyLength,
        reservation: &mut Option<Reservation>,
    ) -> Result<Bytes> {
        let limit = self.options.max_body_bytes;
        let mut body = Body::in_small_pieces(length);
        let mut collected = BytesMut::new();
        while let Some(piece) = body.next(&mut self.stream).await? {
            let length = collected.len() + piece.len();
            if length > limit {
                return Err(Error::OversizedBody);
            }
            if length > collected.capacity() {
                let doubled = collected.capacity().saturating_mul(2);
                let capacity = doubled.max(READ_BYTES).min(limit).max(length);
                if let Some((slot, reservation)) = self.slot.as_ref().zip(reservation.as_mut()) {
                    let bytes = capacity + CHUNK_BUFFER_BYTES;
                    slot.reserve_body(reservation, bytes).await?;
                }
                collected.reserve(capacity - collected.len());
            }
            collected.extend_from_slice(&piece);
            if let Some(slot) = &self.slot {
                slot.record_bytes(piece.len());
            }
        }
        // What follows stays, without the memory that chunks were read into.
        self.stream.shrink();
        if let Some(reservation) = reservation {
            reservation.resize(collected.capacity())?;
        }
        Ok(collected.freeze())
    }

    fn begin_response(&mut self, headers: &HeaderMap) -> Result<()> {
        if self.response != ResponseState::Pending {
            return Err(Error::ResponseOutOfOrder);
        }
        self.keep_alive &= !framing::asks_to_close(headers);
        Ok(())
    }

    async fn end_response(&mut self) {
        self.response = ResponseState::Complete;
        if self.request_failed {
            self.set_state(SlotState::Lingering);
            let linger = self.stream.linger(LINGER_TIMEOUT, MAX_LINGER_BYTES);
            // The connection closes in any case.
            let _ = unless_ended(&mut self.ended, linger).await;
        } else {
            self.set_state(SlotState::Idle);
            self.end_request();
        }
    }

    /// Returns whether there is memory for more of what arrives ahead of the next request.
    fn reserve_ahead(&mut self, limit: usize) -> bool {
        match &mut self.slot {
            Some(slot) if !self.stream.buf.is_empty() => {
                let is_reserved = slot.try_reserve_ahead(limit);
                if is_reserved {
                    self.stream.grow(limit + READ_BYTES);
                }
                is_reserved
            }
            _ => true,
        }
    }

    /// Returns the memory of a request that has ended.
    fn end_request(&mut self) {
        let keeps_ahead = self.stream.buf.len() > READ_BYTES;
        if let Some(slot) = &mut self.slot {
            if !keeps_ahead {
                self.stream.shrink();
            }
            slot.end_request(keeps_ahead);
        }
    }

    fn head_bytes(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        declared: DeclaredLength,
    ) -> BytesMut {
        encode::response_head(status, headers, declared, !self.keep_alive)
    }

    async fn write(&mut self, bytes: Bytes) -> Result<()> {
        self.write_parts([bytes]).await
    }

    async fn write_parts<const N: usize>(&mut self, parts: [Bytes; N]) -> Result<()> {
        let limit = self.options.write_timeout;
        let written = self.stream.write_parts(parts, limit).await;
        if written.is_err() {
            self.keep_alive = false;
        }
        written
    }
}
