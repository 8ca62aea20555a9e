//! Server-sent events of a streamed response as raw bytes.

use thiserror::Error as ThisError;

/// A complete event, including the blank line at its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent {
    /// The bytes as received.
    pub bytes: Vec<u8>,
    /// The event's id, if any.
    pub id: Option<String>,
}

/// Limits on the events of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventLimits {
    /// The maximum size in bytes of an event, and of what a stream may send without a new
    /// event.
    pub max_bytes: usize,
}

impl Default for EventLimits {
    fn default() -> Self {
        Self {
            max_bytes: 512 * 1024,
        }
    }
}

/// The failure of a stream that goes on without a new event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ThisError)]
#[error("the stream has sent {bytes} bytes without a new event")]
pub struct NoNewEvent {
    /// The bytes sent since the last new event.
    pub bytes: usize,
}

/// Splits a stream of bytes into complete events.
///
/// Looks at each byte once, however the bytes are divided.
///
/// ```
/// use limpetsaddle_fleet::events::EventSplitter;
///
/// let mut splitter = EventSplitter::default();
/// splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
/// assert_eq!(splitter.next().unwrap().id.as_deref(), Some("1"));
/// assert!(splitter.next().is_none());
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// The start of the next event in `buf`.
    start: usize,
    /// The number of bytes of `buf` that have been looked at.
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.buf.drain(..self.start);
            self.scanned -= self.start;
            self.start = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an incomplete event are left.
    #[must_use]
    pub const fn has_partial_event(&self) -> bool {
        self.buffered() > 0
    }

    /// Returns the number of bytes that are held.
    #[must_use]
    pub const fn buffered(&self) -> usize {
        self.buf.len() - self.start
    }

    /// Returns the end of the next event, or `None` if more bytes are needed.
    fn next_end(&mut self) -> Option<usize> {
        while let Some(at) = self.buf[self.scanned..].iter().position(|b| *b == b'\n') {
            self.scanned += at + 1;
            let event = &self.buf[self.start..self.scanned];
            if event.ends_with(b"\n\n") || event.ends_with(b"\r\n\r\n") {
                return Some(self.scanned);
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

impl Iterator for EventSplitter {
    type Item = RawEvent;

    /// Returns the next complete event, or `None` if more bytes are needed.
    fn next(&mut self) -> Option<RawEvent> {
        let end = self.next_end()?;
        let bytes = self.buf[self.start..end].to_vec();
        self.start = end;
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }
}

/// The new events of a response that one or more engines stream.
///
/// Drops events that the caller has, and holds back those without an id until the next event
/// that has one, so that a caller gets nothing of a stream that never advances.
///
/// ```
/// use limpetsaddle_fleet::events::EventLimits;
/// use limpetsaddle_fleet::events::NewEvents;
///
/// let mut events = NewEvents::new(EventLimits { max_bytes: 64 });
/// events.push(b"id: 1\ndata: a\n\n: wait\n\nid: 2\ndata: b\n\n");
/// let event = events.next_after(Some("1")).unwrap().unwrap();
/// assert_eq!(event.bytes, b": wait\n\nid: 2\ndata: b\n\n");
/// events.push(&b": wait\n\n".repeat(10));
/// assert!(events.next_after(Some("2")).is_err());
/// ```
#[derive(Debug)]
pub struct NewEvents {
    splitter: EventSplitter,
    limits: EventLimits,
    /// Events without an id since the last new event.
    held: Vec<u8>,
    /// The bytes dropped since the last new event.
    dropped: usize,
}

impl NewEvents {
    /// Returns the events of a stream of which nothing has been received.
    #[must_use]
    pub fn new(limits: EventLimits) -> Self {
        Self {
            splitter: EventSplitter::default(),
            limits,
            held: Vec::new(),
            dropped: 0,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
    }

    /// Returns the next event after the one with the id `last`, with the events without an id
    /// before it, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails when the stream has sent more than the limit without a new event.
    pub fn next_after(&mut self, last: Option<&str>) -> Result<Option<RawEvent>, NoNewEvent> {
        while let Some(event) = self.splitter.next() {
            let size = event.bytes.len();
            match event.id {
                None => self.held.extend_from_slice(&event.bytes),
                Some(id) if is_duplicate(&id, last) => self.dropped += size,
                Some(id) => {
                    self.check(size)?;
                    let mut bytes = std::mem::take(&mut self.held);
                    bytes.extend_from_slice(&event.bytes);
                    self.dropped = 0;
                    return Ok(Some(RawEvent {
                        bytes,
                        id: Some(id),
                    }));
                }
            }
        }
        self.check(self.splitter.buffered())?;
        Ok(None)
    }

    /// Returns the events without an id after the last new event of a complete stream, or
    /// `None` if there are none.
    pub fn take_rest(&mut self) -> Option<RawEvent> {
        let bytes = std::mem::take(&mut self.held);
        (!bytes.is_empty()).then_some(RawEvent { bytes, id: None })
    }

    /// Returns whether bytes of an incomplete event are left.
    #[must_use]
    pub const fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }

    fn check(&self, size: usize) -> Result<(), NoNewEvent> {
        let bytes = self.dropped + self.held.len() + size;
        if bytes > self.limits.max_bytes {
            return Err(NoNewEvent { bytes });
        }
        Ok(())
    }
}

/// Returns whether the caller already has an event; event ids increase.
fn is_duplicate(id: &str, last: Option<&str>) -> bool {
    let Some(last) = last else {
        return false;
    };
    match (id.parse::<u64>(), last.parse::<u64>()) {
        (Ok(id), Ok(last)) => id <= last,
        _ => id == last,
    }
}

fn event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id.trim_ascii()).ok()?;
    Some(id.to_owned())
}
