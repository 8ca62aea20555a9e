//! Server-sent events of a streamed response as raw bytes.

/// A complete event, including the blank line at its end.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent {
    /// The bytes as received.
    pub bytes: Vec<u8>,
    /// The event's id, if any.
    pub id: Option<String>,
}

/// Splits a stream of bytes into complete events.
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
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns whether bytes of an incomplete event are left.
    #[must_use]
    pub const fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }
}

impl Iterator for EventSplitter {
    type Item = RawEvent;

    /// Returns the next complete event, or `None` if more bytes are needed.
    fn next(&mut self) -> Option<RawEvent> {
        let end = event_end(&self.buf)?;
        let rest = self.buf.split_off(end);
        let bytes = std::mem::replace(&mut self.buf, rest);
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }
}

fn event_end(buf: &[u8]) -> Option<usize> {
    let find = |delimiter: &[u8]| {
        let at = buf.windows(delimiter.len()).position(|w| w == delimiter)?;
        Some(at + delimiter.len())
    };
    match (find(b"\n\n"), find(b"\r\n\r\n")) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(bytes: &[u8]) -> Option<String> {
    let mut lines = bytes.split(|b| *b == b'\n');
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let id = std::str::from_utf8(id.trim_ascii()).ok()?;
    Some(id.to_owned())
}
