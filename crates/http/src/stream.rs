//! Buffered TCP stream.
//!
//! Provides cancel-safe buffered reading, reading of message heads, and writing with a
//! time limit.

use std::future::Future;
use std::io;
use std::time::Duration;
use std::time::Instant;

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

/// The default size of a read in bytes.
pub const READ_BYTES: usize = 4096;

/// The maximum size in bytes of a part of a message that is copied to be written with others.
const MAX_COPY_BYTES: usize = 16 * 1024;

/// The time for which bytes of a socket that always has more are read and handled before
/// other tasks run.
const MAX_READ_BURST: Duration = Duration::from_millis(1);

/// The pause after a burst. The runtime fires no timer while a task is ready to run, so that
/// yielding alone would not do.
const READ_PAUSE: Duration = Duration::from_millis(1);

/// The maximum number of fields that the head decoders accept.
const MAX_FIELDS: usize = 96;

const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";

/// A TCP stream with a read buffer.
pub struct BufferedStream {
    stream: TcpStream,
    pub buf: BytesMut,
    written: u64,
    /// The time since which each read has found bytes at once.
    burst_start: Option<Instant>,
}

impl BufferedStream {
    /// Wraps `stream` and disables Nagle's algorithm on it.
    pub fn new(stream: TcpStream) -> Self {
        // A socket that has already failed reports its error on first use.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: BytesMut::new(),
            written: 0,
            burst_start: None,
        }
    }

    /// Returns the number of bytes written.
    pub const fn written(&self) -> u64 {
        self.written
    }

    /// Reads into the buffer and returns the number of bytes read, 0 at the end.
    ///
    /// Cancel-safe: the bytes already buffered stay in place. Lets other tasks run at
    /// intervals while the socket always has more.
    pub async fn fill(&mut self, additional: usize) -> io::Result<usize> {
        let is_long = |start: Instant| start.elapsed() >= MAX_READ_BURST;
        if self.burst_start.is_some_and(is_long) {
            Box::pin(monoio::time::sleep(READ_PAUSE)).await;
            self.burst_start = None;
        }
        let burst_start = &mut self.burst_start;
        burst_start.get_or_insert_with(Instant::now);
        self.buf.reserve(additional);
        let spare = self.buf.split_off(self.buf.len());
        let (result, spare) = {
            let mut read = std::pin::pin!(self.stream.read(spare));
            std::future::poll_fn(|cx| {
                let polled = read.as_mut().poll(cx);
                if polled.is_pending() {
                    *burst_start = None;
                }
                polled
            })
            .await
        };
        self.buf.unsplit(spare);
        result
    }

    /// Reads at least one byte into the buffer; the end of the stream is an error.
    pub async fn fill_more(&mut self, additional: usize, phase: Phase) -> Result<()> {
        match self.fill(additional).await {
            Ok(0) => Err(Error::ClosedEarly { phase }),
            Ok(_) => Ok(()),
            Err(source) => Err(Error::Io { phase, source }),
        }
    }

    /// Moves the bytes in the buffer to memory of their size, so that none is kept for what was
    /// read before.
    pub fn shrink(&mut self) {
        self.buf = BytesMut::from(&self.buf[..]);
    }

    /// Gives the buffer memory for `bytes` in all, and no more.
    pub fn grow(&mut self, bytes: usize) {
        if self.buf.capacity() < bytes {
            let mut buf = BytesMut::with_capacity(bytes);
            buf.extend_from_slice(&self.buf);
            self.buf = buf;
        }
    }

    /// Returns whether the end of a head is in the buffer.
    pub fn has_head(&self) -> bool {
        find(&self.buf, HEAD_END).is_some()
    }

    /// Reads the head of a message and decodes it with `decoder`.
    pub async fn read_head<D: Decoder>(
        &mut self,
        decoder: &mut D,
        limit: usize,
    ) -> Result<D::Item> {
        let mut searched: usize = 0;
        let mut skipped: usize = 0;
        let end = loop {
            if searched == 0 {
                skipped += self.skip_empty_lines();
            }
            let from = searched.saturating_sub(HEAD_END.len() - 1);
            let found = find(&self.buf[from..], HEAD_END);
            if let Some(at) = found {
                break from + at + HEAD_END.len();
            }
            if self.buf.len() + skipped > limit {
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

    /// Writes all of `bytes`; fails when the peer accepts none of them for `limit`.
    pub async fn write(&mut self, mut bytes: Bytes, limit: Duration) -> Result<()> {
        while !bytes.is_empty() {
            bytes = with_timeout(limit, Phase::Write, async {
                self.write_some(bytes).await.map_err(|source| Error::Io {
                    phase: Phase::Write,
                    source,
                })
            })
            .await?;
        }
        Ok(())
    }

    /// Writes `parts` one after the other, as [`write`](Self::write) does.
    ///
    /// Small parts are joined, so that they need one call; large ones aren't copied, as the
    /// peer may take them slowly.
    pub async fn write_parts<const N: usize>(
        &mut self,
        parts: [Bytes; N],
        limit: Duration,
    ) -> Result<()> {
        let mut joined = BytesMut::new();
        for part in parts {
            if part.len() <= MAX_COPY_BYTES {
                joined.extend_from_slice(&part);
                continue;
            }
            self.write(joined.split().freeze(), limit).await?;
            self.write(part, limit).await?;
        }
        self.write(joined.freeze(), limit).await
    }

    /// Reads a body of `length` bytes into memory of its own size, and passes the number of
    /// bytes of each read to `record`. The bytes that follow stay in the buffer.
    pub async fn read_whole(
        &mut self,
        length: usize,
        mut record: impl FnMut(usize),
    ) -> Result<Bytes> {
        let mut body = BytesMut::with_capacity(length);
        let buffered = length.min(self.buf.len());
        body.extend_from_slice(&self.buf[..buffered]);
        self.buf.advance(buffered);
        if buffered == length {
            return Ok(body.freeze());
        }
        record(buffered);
        self.buf = body;
        while self.buf.len() < length {
            let before = self.buf.len();
            self.fill_more(length - before, Phase::Body).await?;
            record(self.buf.len() - before);
        }
        // A copy, as a part of the buffer would keep the memory of the body.
        let rest = BytesMut::from(&self.buf[length..]);
        let mut body = std::mem::replace(&mut self.buf, rest);
        body.truncate(length);
        Ok(body.freeze())
    }

    /// Shuts down the write side and discards up to `max_bytes` of input for up to `limit`,
    /// because closing with unread input would send a reset, and the peer could lose the last
    /// response.
    pub async fn linger(&mut self, limit: Duration, max_bytes: usize) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut left = max_bytes;
            while let Ok(n) = self.fill(READ_BYTES).await
                && n > 0
                && n < left
            {
                left -= n;
                self.buf.clear();
            }
        };
        let _ = monoio::time::timeout(limit, drain).await;
    }

    /// Writes the first bytes of `bytes` and returns the rest.
    async fn write_some(&mut self, bytes: Bytes) -> io::Result<Bytes> {
        let (result, mut rest) = self.stream.write(bytes).await;
        let n = result?;
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.written += n as u64;
        rest.advance(n);
        Ok(rest)
    }

    /// Skips empty lines and returns their length in bytes.
    fn skip_empty_lines(&mut self) -> usize {
        let before = self.buf.len();
        while self.buf.starts_with(LINE_END) {
            self.buf.advance(LINE_END.len());
        }
        before - self.buf.len()
    }
}

/// Runs `future`, or returns a timeout error of `phase` after `limit`.
pub async fn with_timeout<T>(
    limit: Duration,
    phase: Phase,
    future: impl Future<Output = Result<T>>,
) -> Result<T> {
    match monoio::time::timeout(limit, future).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout { phase }),
    }
}

/// Checks two rules that the head decoder does not enforce: no bare CR or LF, which
/// other implementations parse differently, and the maximum number of fields.
fn check_lines(head: &[u8]) -> Result<()> {
    let ends_in_crlf = |line: &[u8]| line.iter().position(|b| *b == b'\r') == Some(line.len() - 1);
    let lines = head
        .strip_suffix(b"\n")
        .unwrap_or(head)
        .split(|b| *b == b'\n');
    if !lines
        .clone()
        .all(|line| !line.is_empty() && ends_in_crlf(line))
    {
        return Err(Error::MalformedHead);
    }
    // The start line and the empty line are not fields.
    if lines.count() > MAX_FIELDS + 2 {
        return Err(Error::OversizedHead);
    }
    Ok(())
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack
        .windows(needle.len())
        .position(|window| window == needle)
}
