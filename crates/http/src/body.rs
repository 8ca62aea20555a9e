//! Incremental reading of message bodies.

use bytes::Bytes;
use monoio_codec::Decoded;
use monoio_codec::Decoder as _;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing::BodyLength;
use crate::stream::BufferedStream;
use crate::stream::READ_BYTES;

/// The maximum size in bytes of one read of a body with a known length.
const MAX_READ_BYTES: usize = 64 * 1024;

/// The maximum length of a chunk-size line in bytes, including its line ending.
const MAX_SIZE_LINE_BYTES: usize = 18;

/// The unread rest of a message body.
pub struct Body {
    state: State,
    max_chunk_bytes: usize,
}

enum State {
    Fixed(u64),
    Chunked(ChunkReader),
    UntilClose,
    Done,
}

impl Body {
    /// Returns a reader of a body of `length` that accepts chunks up to `max_chunk_bytes`.
    pub fn new(length: BodyLength, max_chunk_bytes: usize) -> Self {
        let state = match length {
            BodyLength::Fixed(0) => State::Done,
            BodyLength::Fixed(length) => State::Fixed(length),
            BodyLength::Chunked => State::Chunked(ChunkReader::default()),
            BodyLength::UntilClose => State::UntilClose,
        };
        Self {
            state,
            max_chunk_bytes,
        }
    }

    pub const fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Reads the next piece of the body, or returns `None` at its end. Cancel-safe.
    pub async fn next(&mut self, stream: &mut BufferedStream) -> Result<Option<Bytes>> {
        let piece = match &mut self.state {
            State::Done => None,
            State::Fixed(remaining) => Some(next_fixed(stream, remaining).await?),
            State::Chunked(chunks) => chunks.next(stream, self.max_chunk_bytes).await?,
            State::UntilClose => next_until_close(stream).await?,
        };
        if piece.is_none() || matches!(self.state, State::Fixed(0)) {
            self.state = State::Done;
        }
        Ok(piece)
    }
}

async fn next_fixed(stream: &mut BufferedStream, remaining: &mut u64) -> Result<Bytes> {
    let wanted = usize::try_from(*remaining).unwrap_or(usize::MAX);
    if stream.buf.is_empty() {
        let size = wanted.clamp(READ_BYTES, MAX_READ_BYTES);
        stream.fill_more(size, Phase::Body).await?;
    }
    let piece = stream.buf.split_to(wanted.min(stream.buf.len())).freeze();
    *remaining -= piece.len() as u64;
    Ok(piece)
}

async fn next_until_close(stream: &mut BufferedStream) -> Result<Option<Bytes>> {
    if stream.buf.is_empty() {
        let phase = Phase::Body;
        let read = stream.fill(READ_BYTES).await;
        read.map_err(|source| Error::Io { phase, source })?;
    }
    let piece = stream.buf.split().freeze();
    Ok(Some(piece).filter(|piece| !piece.is_empty()))
}

/// Wraps the library's chunk decoder, which reads a missing size as zero and buffers
/// size lines and chunks of any length, and enforces the missing checks.
struct ChunkReader {
    decoder: ChunkedBodyDecoder,
    at_size_line: bool,
}

impl Default for ChunkReader {
    fn default() -> Self {
        Self {
            decoder: ChunkedBodyDecoder::default(),
            at_size_line: true,
        }
    }
}

impl ChunkReader {
    async fn next(&mut self, stream: &mut BufferedStream, limit: usize) -> Result<Option<Bytes>> {
        loop {
            if self.at_size_line {
                check_size_line(&stream.buf)?;
            }
            let before = stream.buf.len();
            match self.decoder.decode(&mut stream.buf) {
                Ok(Decoded::Some(chunk)) => {
                    self.at_size_line = true;
                    return Ok(chunk);
                }
                Ok(_) => {
                    // The decoder consumes a size line once it is complete.
                    let consumed = stream.buf.len() < before;
                    self.at_size_line = self.at_size_line && !consumed;
                }
                Err(_) => return Err(Error::MalformedChunk),
            }
            if stream.buf.len() > limit {
                return Err(Error::OversizedBody);
            }
            stream.fill_more(READ_BYTES, Phase::Body).await?;
        }
    }
}

fn check_size_line(buf: &[u8]) -> Result<()> {
    let Some(first) = buf.first() else {
        return Ok(());
    };
    let start = &buf[..buf.len().min(MAX_SIZE_LINE_BYTES)];
    let has_end = start.contains(&b'\r') || buf.len() < MAX_SIZE_LINE_BYTES;
    if first.is_ascii_hexdigit() && has_end {
        return Ok(());
    }
    Err(Error::MalformedChunk)
}
