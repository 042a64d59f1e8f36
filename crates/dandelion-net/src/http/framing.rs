//! Finds the end of a body from its framing, independently of the decoder.

use thiserror::Error;

use crate::http::Framing;

/// Longest chunk-size line or trailer line, in bytes.
const MAX_LINE: usize = 4096;
/// Most bytes in all trailer lines.
const MAX_TRAILERS: usize = 8000;
/// Most hexadecimal digits of a chunk size; 15 digits fit in a `u64`.
const MAX_DIGITS: usize = 15;

/// The chunk framing is broken.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
#[error("the chunk framing of the body is broken; the sender must follow RFC 9112 section 7.1")]
pub struct ChunkError;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Size { digits: usize, value: u64 },
    SizeEnd(u64),
    Data(u64),
    DataCr,
    DataLf,
    Trailer { line: usize, total: usize },
    TrailerEnd { line: usize, total: usize },
    Done,
}

/// Parses the framing of one body to find its end.
#[derive(Debug, Clone)]
pub struct FramingParser {
    state: State,
    counted: bool,
}

impl FramingParser {
    /// Makes a parser at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Counted(0) => State::Done,
            Framing::Counted(size) => State::Data(size),
            Framing::Chunked => State::Size {
                digits: 0,
                value: 0,
            },
        };
        Self {
            state,
            counted: framing != Framing::Chunked,
        }
    }

    /// Returns whether the end of the body has been reached.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Parses further bytes and returns how many of them belong to the body.
    pub fn advance(&mut self, bytes: &[u8]) -> Result<usize, ChunkError> {
        let mut consumed = 0;
        while consumed < bytes.len() && !self.is_done() {
            if let State::Data(remaining) = self.state {
                let step = remaining.min((bytes.len() - consumed) as u64);
                self.advance_data(remaining - step);
                consumed += step as usize;
            } else {
                self.state = next(self.state, bytes[consumed])?;
                consumed += 1;
            }
        }
        Ok(consumed)
    }

    fn advance_data(&mut self, remaining: u64) {
        self.state = match remaining {
            0 if self.counted => State::Done,
            0 => State::DataCr,
            _ => State::Data(remaining),
        };
    }
}

fn next(state: State, byte: u8) -> Result<State, ChunkError> {
    match (state, byte) {
        (State::Size { digits, value }, b'\r') if digits > 0 => Ok(State::SizeEnd(value)),
        (State::Size { digits, value }, _) if digits < MAX_DIGITS => {
            let digit = char::from(byte).to_digit(16).ok_or(ChunkError)?;
            Ok(State::Size {
                digits: digits + 1,
                value: value * 16 + u64::from(digit),
            })
        }
        (State::SizeEnd(0), b'\n') => Ok(State::Trailer { line: 0, total: 0 }),
        (State::SizeEnd(size), b'\n') => Ok(State::Data(size)),
        (State::DataCr, b'\r') => Ok(State::DataLf),
        (State::DataLf, b'\n') => Ok(State::Size {
            digits: 0,
            value: 0,
        }),
        (State::Trailer { line, total }, b'\r') => Ok(State::TrailerEnd { line, total }),
        (State::Trailer { line, total }, _) => next_trailer(line, total, byte),
        (State::TrailerEnd { line: 0, .. }, b'\n') => Ok(State::Done),
        (State::TrailerEnd { total, .. }, b'\n') => Ok(State::Trailer {
            line: 0,
            total: total + 2,
        }),
        _ => Err(ChunkError),
    }
}

fn next_trailer(line: usize, total: usize, byte: u8) -> Result<State, ChunkError> {
    // The decoder's type for header values holds ASCII only, and panics otherwise.
    if byte == b'\n' || !byte.is_ascii() || line >= MAX_LINE || total >= MAX_TRAILERS {
        return Err(ChunkError);
    }
    Ok(State::Trailer {
        line: line + 1,
        total: total + 1,
    })
}
