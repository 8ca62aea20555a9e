//! Watches of the configuration.

use bytes::Buf as _;
use bytes::BytesMut;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::outline::Outline;
use limpetsaddle_core::units::Revision;
use limpetsaddle_http::Response;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::client::Platform;
use crate::error::Error;
use crate::error::Result;
use crate::objects::Decoded;
use crate::objects::InvalidObject;
use crate::objects::decode;

/// The maximum size of a line of a watch in bytes.
const MAX_LINE_BYTES: usize = 2 * 1024 * 1024;

/// An event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// An object was changed.
    Object(Object),
    /// An object was changed and this version cannot decode it.
    Invalid(InvalidObject),
    /// All changes up to this revision have been sent.
    Bookmark(Revision),
}

/// The number of objects around the object in a line.
const LINE_DEPTH: usize = 1;

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WatchLine<'a> {
    #[serde(borrow)]
    Object(&'a RawValue),
    Bookmark(Revision),
}

/// A stream of configuration changes.
///
/// The platform may skip, repeat or reorder events: readers keep the highest revision of
/// each object and periodically list all objects again.
pub struct Watch {
    res: Response,
    buf: BytesMut,
}

impl Platform {
    /// Starts a watch of the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HistoryCompacted`] when the platform no longer has all of them, and
    /// another error when the call fails.
    pub async fn watch(&self, after: Revision) -> Result<Watch> {
        let path = format!("/v1/config?watch=1&after={after}");
        let res = self.start_watch(&path).await?;
        Ok(Watch {
            res,
            buf: BytesMut::new(),
        })
    }
}

impl Watch {
    /// Returns the next event, or `None` when the platform has closed the watch.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] when nothing arrives within the idle timeout, and another
    /// error when the connection fails or a line is invalid.
    pub async fn next(&mut self) -> Result<Option<WatchEvent>> {
        loop {
            if let Some(event) = self.next_line()? {
                return Ok(Some(event));
            }
            match self.res.next().await {
                Ok(Some(piece)) => self.buf.extend_from_slice(&piece),
                Ok(None) => return Ok(None),
                Err(e) if e.is_timeout() => return Err(Error::Timeout),
                Err(e) => return Err(Error::Transport(e)),
            }
        }
    }

    fn next_line(&mut self) -> Result<Option<WatchEvent>> {
        while let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
            let line = self.buf.split_to(end);
            self.buf.advance(1);
            if !line.trim_ascii().is_empty() {
                return parse(&line).map(Some);
            }
        }
        if self.buf.len() > MAX_LINE_BYTES {
            return Err(Error::Transport(limpetsaddle_http::Error::OversizedBody));
        }
        Ok(None)
    }
}

fn parse(line: &[u8]) -> Result<WatchEvent> {
    let outline = Outline::new(line, LINE_DEPTH);
    Ok(match outline.decode()? {
        WatchLine::Bookmark(revision) => WatchEvent::Bookmark(revision),
        WatchLine::Object(object) => match decode(outline.part(object)) {
            Decoded::Object(object) => WatchEvent::Object(object),
            Decoded::Invalid(invalid) => WatchEvent::Invalid(invalid),
        },
    })
}
