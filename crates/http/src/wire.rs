//! Buffered bytes of one connection.
//!
//! Provides reading into a buffer, in a way that loses nothing when it is
//! cancelled, the delimiting of heads, and writing with a time limit.

use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use monoio::io::AsyncReadRent as _;
use monoio::io::AsyncWriteRent as _;
use monoio::net::TcpStream;
use monoio_codec::Decoded;
use monoio_codec::Decoder;

use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;

/// The size of an ordinary read in bytes.
pub const READ_BYTES: usize = 4096;

/// The largest number of fields that the head decoders accept.
const MAX_FIELDS: usize = 96;

const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// A `Wire` is a connection with the bytes that were read from it ahead of need.
pub struct Wire {
    stream: TcpStream,
    pub buf: BytesMut,
    written: u64,
}

impl Wire {
    /// Returns a wire over `stream`, on which small writes are not held back.
    pub fn new(stream: TcpStream) -> Self {
        // A socket that is already broken reports its error on first use.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: BytesMut::new(),
            written: 0,
        }
    }

    /// Returns the number of bytes written so far.
    pub const fn written(&self) -> u64 {
        self.written
    }

    /// Reads at least one byte into the buffer and returns how many, 0 at the end.
    ///
    /// The bytes already buffered stay in place, so cancelling loses nothing.
    pub async fn fill(&mut self, room: usize) -> io::Result<usize> {
        self.buf.reserve(room);
        let spare = self.buf.split_off(self.buf.len());
        let (result, spare) = self.stream.read(spare).await;
        self.buf.unsplit(spare);
        result
    }

    /// Reads at least one byte, and takes the end of the stream for an error.
    pub async fn fill_more(&mut self, room: usize, phase: Phase) -> Result<()> {
        match self.fill(room).await {
            Ok(0) => Err(Error::ClosedEarly { phase }),
            Ok(_) => Ok(()),
            Err(source) => Err(Error::Io { phase, source }),
        }
    }

    /// Reads the head of a message and decodes it with `decoder`.
    pub async fn read_head<D: Decoder>(
        &mut self,
        decoder: &mut D,
        limit: usize,
    ) -> Result<D::Item> {
        let mut searched: usize = 0;
        let end = loop {
            if searched == 0 {
                self.skip_empty_lines();
            }
            let from = searched.saturating_sub(HEAD_END.len() - 1);
            let found = find(&self.buf[from..], HEAD_END);
            if let Some(at) = found {
                break from + at + HEAD_END.len();
            }
            if self.buf.len() > limit {
                return Err(Error::OversizedHead);
            }
            searched = if self.buf.len() < HEAD_END.len() {
                0
            } else {
                self.buf.len()
            };
            self.fill_more(READ_BYTES, Phase::Head).await?;
        };
        if end > limit {
            return Err(Error::OversizedHead);
        }
        check_lines(&self.buf[..end])?;
        match decoder.decode(&mut self.buf) {
            Ok(Decoded::Some(head)) => Ok(head),
            _ => Err(Error::MalformedHead),
        }
    }

    /// Writes all of `bytes` within `limit`.
    pub async fn write(&mut self, bytes: Bytes, limit: Duration) -> Result<()> {
        within(limit, Phase::Write, async {
            self.write_all(bytes).await.map_err(|source| Error::Io {
                phase: Phase::Write,
                source,
            })
        })
        .await
    }

    /// Closes the writing side and discards what the peer still sends, so that
    /// a last answer is not lost to a reset.
    pub async fn linger(&mut self, limit: Duration) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            while matches!(self.fill(READ_BYTES).await, Ok(n) if n > 0) {
                self.buf.clear();
            }
        };
        let _ = monoio::time::timeout(limit, drain).await;
    }

    async fn write_all(&mut self, mut rest: Bytes) -> io::Result<()> {
        while !rest.is_empty() {
            let (result, buf) = self.stream.write(rest).await;
            let n = result?;
            if n == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            self.written += n as u64;
            rest = buf;
            rest.advance(n);
        }
        Ok(())
    }

    fn skip_empty_lines(&mut self) {
        while self.buf.starts_with(LINE_END) {
            self.buf.advance(LINE_END.len());
        }
    }
}

/// Runs `work` and fails with a timeout of `phase` once `limit` has passed.
pub async fn within<T>(
    limit: Duration,
    phase: Phase,
    work: impl Future<Output = Result<T>>,
) -> Result<T> {
    match monoio::time::timeout(limit, work).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout { phase }),
    }
}

/// Checks what the head decoder is lax about: lines that end in a bare CR or LF,
/// which other programs delimit differently, and the number of fields.
fn check_lines(head: &[u8]) -> Result<()> {
    let is_whole = |line: &[u8]| line.iter().position(|b| *b == b'\r') == Some(line.len() - 1);
    let lines = head
        .strip_suffix(b"\n")
        .unwrap_or(head)
        .split(|b| *b == b'\n');
    if !lines.clone().all(|line| !line.is_empty() && is_whole(line)) {
        return Err(Error::MalformedHead);
    }
    // The first line and the empty line are not fields.
    if lines.count() > MAX_FIELDS + 2 {
        return Err(Error::OversizedHead);
    }
    Ok(())
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}
