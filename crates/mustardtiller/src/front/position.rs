//! Which part of its requests a caller sends next.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::http::ChunkFraming;

/// Value of a length that is not known, as the body is chunked.
const CHUNKED: u64 = u64::MAX;

/// Length of the body of the request that was read last.
///
/// The connection's own task writes and reads it.
#[derive(Debug, Default)]
pub struct BodyLength(AtomicU64);

impl BodyLength {
    /// Record the length of a request's body; `None` if it is chunked.
    pub fn set(&self, length: Option<u64>) {
        self.0.store(length.unwrap_or(CHUNKED), Ordering::Relaxed);
    }

    fn position(&self) -> Position {
        match self.0.load(Ordering::Relaxed) {
            0 => Position::head(),
            CHUNKED => Position::Chunks(ChunkFraming::new()),
            left => Position::Body(left),
        }
    }
}

/// Where the next byte that a caller sends stands.
///
/// No read goes beyond the end of a head or body, so that the HTTP library has told how
/// the bytes that follow are framed before it gets them.
#[derive(Clone, Copy, Debug)]
pub enum Position {
    /// Within a head, or before it.
    Head {
        /// Whether a line that isn't empty has begun.
        has_line: bool,
        /// Whether the current line is empty so far.
        is_empty: bool,
    },
    /// After a head, which was passed when this many had been parsed.
    HeadEnd(u64),
    /// Within a body of which this many bytes are left.
    Body(u64),
    /// Within a chunked body.
    Chunks(ChunkFraming),
    /// The library didn't find the end of a head where this side did.
    Unknown,
}

impl Position {
    /// Return the position before a head.
    pub const fn head() -> Self {
        Self::Head {
            has_line: false,
            is_empty: true,
        }
    }

    /// Report whether the next byte belongs to a head.
    pub const fn is_head(&self) -> bool {
        matches!(self, Self::Head { .. })
    }

    /// Move on after a head, once the library has asked for more.
    ///
    /// `parsed` heads have been parsed, the last of which has a body of this length.
    pub fn follow(&mut self, parsed: u64, length: &BodyLength) {
        if let Self::HeadEnd(before) = *self {
            *self = if parsed == before + 1 {
                length.position()
            } else {
                Self::Unknown
            };
        }
    }

    /// Move what the library gets of `bytes` to their start; `parsed` heads were parsed.
    ///
    /// Returns how many bytes were read, and how many the library gets.
    pub fn pass(&mut self, bytes: &mut [u8], parsed: u64) -> (usize, usize) {
        let all = bytes.len();
        match self {
            Self::Head { .. } => {
                let read = self.pass_head(bytes, parsed);
                (read, read)
            }
            Self::Body(left) => {
                let read = usize::try_from(*left).map_or(all, |left| left.min(all));
                *left -= read as u64;
                if *left == 0 {
                    *self = Self::head();
                }
                (read, read)
            }
            Self::Chunks(framing) => {
                let passed = framing.pass(bytes);
                if framing.has_ended() {
                    *self = Self::head();
                }
                passed
            }
            Self::HeadEnd(_) | Self::Unknown => (all, all),
        }
    }

    /// Return the length of what belongs to the head.
    fn pass_head(&mut self, bytes: &[u8], parsed: u64) -> usize {
        let Self::Head { has_line, is_empty } = self else {
            return bytes.len();
        };
        for (index, byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if *is_empty && *has_line => {
                    *self = Self::HeadEnd(parsed);
                    return index + 1;
                }
                b'\n' => *is_empty = true,
                b'\r' => {}
                _ => {
                    *has_line = true;
                    *is_empty = false;
                }
            }
        }
        bytes.len()
    }
}
