//! Incremental reading of message bodies.

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;

use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing::BodyLength;
use crate::stream::BufferedStream;
use crate::stream::READ_BYTES;

/// The maximum size in bytes of one read of a body with a known length, and from which a part
/// of a chunk is a piece of its own.
const MAX_READ_BYTES: usize = 64 * 1024;

/// The maximum length of a chunk-size line in bytes, including its line ending.
const MAX_SIZE_LINE_BYTES: usize = 18;

/// The maximum size of a chunk in bytes, far above that of any body.
const MAX_CHUNK_BYTES: u64 = 1 << 60;

const LINE_END: &[u8] = b"\r\n";

/// The unread rest of a message body.
pub struct Body {
    state: State,
    /// The size from which a part of a chunk is a piece of its own.
    max_piece: usize,
}

enum State {
    Fixed(u64),
    Chunked(ChunkReader),
    UntilClose,
    Done,
}

impl Body {
    /// Returns a reader of a body of `length`.
    pub fn new(length: BodyLength) -> Self {
        let state = match length {
            BodyLength::Fixed(0) => State::Done,
            BodyLength::Fixed(length) => State::Fixed(length),
            BodyLength::Chunked => State::Chunked(ChunkReader::default()),
            BodyLength::UntilClose => State::UntilClose,
        };
        Self {
            state,
            max_piece: MAX_READ_BYTES,
        }
    }

    /// Returns a reader that buffers no more of a chunk than a read takes.
    pub fn in_small_pieces(length: BodyLength) -> Self {
        Self {
            max_piece: READ_BYTES,
            ..Self::new(length)
        }
    }

    /// Reads the next piece of the body, or returns `None` at its end. Cancel-safe.
    pub async fn next(&mut self, stream: &mut BufferedStream) -> Result<Option<Bytes>> {
        let piece = match &mut self.state {
            State::Done => None,
            State::Fixed(remaining) => Some(next_fixed(stream, remaining).await?),
            State::Chunked(chunks) => chunks.next(stream, self.max_piece).await?,
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

/// The position in a chunked body.
#[derive(Default)]
enum ChunkReader {
    /// Before the line with the size of the next chunk.
    #[default]
    SizeLine,
    /// Within a chunk of which this number of bytes is left.
    Data(u64),
    /// Before the line ending after a chunk.
    DataEnd,
    /// Before the line ending after the last chunk.
    LastEnd,
}

impl ChunkReader {
    /// Returns the next piece: a whole chunk, or a part of a large one.
    async fn next(
        &mut self,
        stream: &mut BufferedStream,
        max_piece: usize,
    ) -> Result<Option<Bytes>> {
        loop {
            if let Some(piece) = self.take_piece(&mut stream.buf, max_piece)? {
                return Ok(Some(piece).filter(|piece| !piece.is_empty()));
            }
            stream.fill_more(READ_BYTES, Phase::Body).await?;
        }
    }

    /// Takes a piece out of `buf`, which is empty at the end of the body, or returns `None` if
    /// more bytes are needed.
    fn take_piece(&mut self, buf: &mut BytesMut, max_piece: usize) -> Result<Option<Bytes>> {
        loop {
            match self {
                Self::SizeLine => {
                    let Some((size, line_bytes)) = chunk_size(buf)? else {
                        return Ok(None);
                    };
                    buf.advance(line_bytes);
                    *self = if size == 0 {
                        Self::LastEnd
                    } else {
                        Self::Data(size)
                    };
                }
                Self::Data(remaining) => {
                    let wanted = usize::try_from(*remaining).unwrap_or(usize::MAX);
                    if buf.len() < wanted.min(max_piece) {
                        return Ok(None);
                    }
                    let piece = buf.split_to(wanted.min(buf.len())).freeze();
                    *remaining -= piece.len() as u64;
                    if *remaining == 0 {
                        *self = Self::DataEnd;
                    }
                    return Ok(Some(piece));
                }
                Self::DataEnd | Self::LastEnd => {
                    let Some(end) = buf.get(..LINE_END.len()) else {
                        return Ok(None);
                    };
                    if end != LINE_END {
                        return Err(Error::MalformedChunk);
                    }
                    buf.advance(LINE_END.len());
                    if matches!(self, Self::LastEnd) {
                        return Ok(Some(Bytes::new()));
                    }
                    *self = Self::SizeLine;
                }
            }
        }
    }
}

/// Returns whether what follows the size of a chunk in its line is nothing or an extension.
fn is_chunk_extension(rest: &[u8]) -> bool {
    let is_readable = |b: &u8| *b == b'\t' || !b.is_ascii_control();
    let extension = rest.trim_ascii_start();
    rest.iter().all(is_readable) && (extension.is_empty() || extension[0] == b';')
}

/// Returns the size of a chunk and the length of its line, which may have an extension, or
/// `None` if the line is incomplete.
fn chunk_size(buf: &[u8]) -> Result<Option<(u64, usize)>> {
    let start = &buf[..buf.len().min(MAX_SIZE_LINE_BYTES)];
    let digits = start.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    if digits == 0 && !start.is_empty() {
        return Err(Error::MalformedChunk);
    }
    let Some(end) = start.iter().position(|b| *b == b'\n') else {
        let is_complete = start.len() == MAX_SIZE_LINE_BYTES;
        return if is_complete {
            Err(Error::MalformedChunk)
        } else {
            Ok(None)
        };
    };
    let line = start[..end].strip_suffix(b"\r");
    let rest = line.and_then(|line| line.get(digits..));
    if !rest.is_some_and(is_chunk_extension) {
        return Err(Error::MalformedChunk);
    }
    let size = std::str::from_utf8(&start[..digits]).ok();
    let size = size.and_then(|digits| u64::from_str_radix(digits, 16).ok());
    let size = size.filter(|size| *size <= MAX_CHUNK_BYTES);
    let size = size.ok_or(Error::MalformedChunk)?;
    Ok(Some((size, end + 1)))
}
