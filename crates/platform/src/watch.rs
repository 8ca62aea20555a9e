//! Watches of the configuration.

use bytes::Buf as _;
use bytes::BytesMut;
use limpetsaddle_core::config::Object;
use limpetsaddle_core::units::Revision;
use limpetsaddle_http::Response;
use serde::Deserialize;
use serde_json::Value;

use crate::client::Platform;
use crate::error::Error;
use crate::error::Result;
use crate::objects::Decoded;
use crate::objects::InvalidObject;
use crate::objects::decode;

/// The largest line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 2 * 1024 * 1024;

/// A `WatchEvent` is one event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// An object has changed.
    Object(Object),
    /// An object has changed in a way that this version cannot decode.
    Invalid(InvalidObject),
    /// Every change up to this revision has been sent.
    Bookmark(Revision),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Object(Value),
    Bookmark(Revision),
}

/// A `Watch` yields the changes of the configuration as they are made.
///
/// Events may be skipped, repeated or reordered by the platform: a reader keeps
/// the highest revision of each object and lists again from time to time.
pub struct Watch {
    res: Response,
    buf: BytesMut,
}

impl Platform {
    /// Begins to watch the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns [`Error::HistoryExpired`] when the platform no longer has them all.
    pub async fn watch(&self, after: Revision) -> Result<Watch> {
        let path = format!("/v1/config?watch=1&after={after}");
        let res = self.begin_watch(&path).await?;
        Ok(Watch {
            res,
            buf: BytesMut::new(),
        })
    }
}

impl Watch {
    /// Returns the next event, or `None` when the platform has ended the watch.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Timeout`] when the platform stays silent for too long.
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
    Ok(match serde_json::from_slice(line)? {
        Line::Bookmark(revision) => WatchEvent::Bookmark(revision),
        Line::Object(value) => match decode(value)? {
            Decoded::Object(object) => WatchEvent::Object(object),
            Decoded::Invalid(invalid) => WatchEvent::Invalid(invalid),
        },
    })
}
