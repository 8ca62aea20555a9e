//! Reading of bodies, piece by piece.

use bytes::Bytes;
use monoio_codec::Decoded;
use monoio_codec::Decoder as _;
use monoio_http::h1::codec::decoder::ChunkedBodyDecoder;

use crate::error::Error;
use crate::error::Phase;
use crate::error::Result;
use crate::framing::Length;
use crate::wire::READ_BYTES;
use crate::wire::Wire;

/// The largest read of a body with a known length in bytes.
const MAX_READ_BYTES: usize = 64 * 1024;

/// The largest length of a chunk's size line in bytes, with its line end.
const MAX_SIZE_LINE_BYTES: usize = 18;

/// A `Body` is what remains to be read of a message's body.
pub struct Body {
    state: State,
    chunk_limit: usize,
}

enum State {
    Fixed(u64),
    Chunked(Chunks),
    UntilClose,
    Done,
}

impl Body {
    /// Returns the body of `length`, in which a chunk has at most `chunk_limit` bytes.
    pub fn new(length: Length, chunk_limit: usize) -> Self {
        let state = match length {
            Length::Fixed(0) => State::Done,
            Length::Fixed(length) => State::Fixed(length),
            Length::Chunked => State::Chunked(Chunks::default()),
            Length::UntilClose => State::UntilClose,
        };
        Self { state, chunk_limit }
    }

    /// Returns whether the whole body has been read.
    pub const fn is_done(&self) -> bool {
        matches!(self.state, State::Done)
    }

    /// Reads the next piece, or returns `None` at the end.
    ///
    /// Cancelling loses nothing.
    pub async fn next(&mut self, wire: &mut Wire) -> Result<Option<Bytes>> {
        let piece = match &mut self.state {
            State::Done => None,
            State::Fixed(rest) => Some(next_fixed(wire, rest).await?),
            State::Chunked(chunks) => chunks.next(wire, self.chunk_limit).await?,
            State::UntilClose => next_until_close(wire).await?,
        };
        if piece.is_none() || matches!(self.state, State::Fixed(0)) {
            self.state = State::Done;
        }
        Ok(piece)
    }
}

async fn next_fixed(wire: &mut Wire, rest: &mut u64) -> Result<Bytes> {
    let wanted = usize::try_from(*rest).unwrap_or(usize::MAX);
    if wire.buf.is_empty() {
        let room = wanted.clamp(READ_BYTES, MAX_READ_BYTES);
        wire.fill_more(room, Phase::Body).await?;
    }
    let piece = wire.buf.split_to(wanted.min(wire.buf.len())).freeze();
    *rest -= piece.len() as u64;
    Ok(piece)
}

async fn next_until_close(wire: &mut Wire) -> Result<Option<Bytes>> {
    if wire.buf.is_empty() {
        let phase = Phase::Body;
        let read = wire.fill(READ_BYTES).await;
        read.map_err(|source| Error::Io { phase, source })?;
    }
    let piece = wire.buf.split().freeze();
    Ok(Some(piece).filter(|piece| !piece.is_empty()))
}

/// A `Chunks` guards the library's chunk decoder, which takes a missing size for
/// zero and gathers size lines and chunks of any length.
struct Chunks {
    decoder: ChunkedBodyDecoder,
    at_size_line: bool,
}

impl Default for Chunks {
    fn default() -> Self {
        Self {
            decoder: ChunkedBodyDecoder::default(),
            at_size_line: true,
        }
    }
}

impl Chunks {
    async fn next(&mut self, wire: &mut Wire, limit: usize) -> Result<Option<Bytes>> {
        loop {
            if self.at_size_line {
                check_size_line(&wire.buf)?;
            }
            let before = wire.buf.len();
            match self.decoder.decode(&mut wire.buf) {
                Ok(Decoded::Some(chunk)) => {
                    self.at_size_line = true;
                    return Ok(chunk);
                }
                Ok(_) => {
                    // The decoder takes a size line as soon as it is whole.
                    let taken = wire.buf.len() < before;
                    self.at_size_line = self.at_size_line && !taken;
                }
                Err(_) => return Err(Error::MalformedChunk),
            }
            if wire.buf.len() > limit {
                return Err(Error::OversizedBody);
            }
            wire.fill_more(READ_BYTES, Phase::Body).await?;
        }
    }
}

fn check_size_line(buf: &[u8]) -> Result<()> {
    let Some(first) = buf.first() else {
        return Ok(());
    };
    let start = &buf[..buf.len().min(MAX_SIZE_LINE_BYTES)];
    let ends = start.contains(&b'\r') || buf.len() < MAX_SIZE_LINE_BYTES;
    if first.is_ascii_hexdigit() && ends {
        return Ok(());
    }
    Err(Error::MalformedChunk)
}
