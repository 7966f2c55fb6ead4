//! Removal of what a chunked body carries beside its data.

/// Most digits of a chunk's size.
///
/// Sixteen hold any size. Beyond that, only zeros could follow without end.
const MAX_DIGITS: u16 = 256;

/// Where the next byte of a chunked body stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    SizeStart,
    Size,
    SizeSpace,
    Extension,
    SizeLf,
    Data,
    DataCr,
    DataLf,
    FieldStart,
    FieldName,
    FieldValue,
    FieldLf,
    EndLf,
    Ended,
    Malformed,
}

/// Drops extensions and trailers from a chunked body, as it arrives.
///
/// RFC 9112, section 7.1, lets a recipient ignore both. The HTTP library takes 16 KB of
/// extensions a body and 16 KB of trailers, and rejects the body above that, although
/// no operator set these limits. What is dropped takes no memory, and the time for the
/// next data bounds it.
///
/// What remains is in step with the library's parser: where this one finds a fault, the
/// library gets a byte that it must reject.
#[derive(Clone, Copy, Debug)]
pub struct ChunkFraming {
    state: State,
    /// Bytes of data that the chunk still has.
    size: u64,
    /// Digits of the size that have been read.
    digits: u16,
}

impl ChunkFraming {
    /// Start before the first chunk.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::SizeStart,
            size: 0,
            digits: 0,
        }
    }

    /// Report whether the end of the body has been passed.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Move what remains of `bytes` to their start.
    ///
    /// Returns how many bytes were read, up to the end of the body, and how many remain.
    pub fn pass(&mut self, bytes: &mut [u8]) -> (usize, usize) {
        let (mut read, mut kept) = (0, 0);
        while read < bytes.len() && !self.has_ended() {
            let run = self.verbatim(bytes.len() - read);
            if run > 0 {
                bytes.copy_within(read..read + run, kept);
                read += run;
                kept += run;
                continue;
            }
            if let Some(byte) = self.step(bytes[read]) {
                bytes[kept] = byte;
                kept += 1;
            }
            read += 1;
        }
        (read, kept)
    }

    /// Return how many of the next bytes are passed as they are, up to `most`.
    fn verbatim(&mut self, most: usize) -> usize {
        match self.state {
            State::Malformed => most,
            State::Data => {
                let run = usize::try_from(self.size).map_or(most, |size| size.min(most));
                self.size -= run as u64;
                if self.size == 0 {
                    self.state = State::DataCr;
                }
                run
            }
            _ => 0,
        }
    }

    /// Take a byte of the framing, and return what the library gets for it.
    fn step(&mut self, byte: u8) -> Option<u8> {
        let next = self.next(byte);
        let is_field = matches!(
            self.state,
            State::FieldStart | State::FieldName | State::FieldValue | State::FieldLf
        );
        let passed = match (self.state, next) {
            // The library is before the end of the body, where this is a fault, or within a
            // size, which it would take with more digits.
            (state, State::Malformed) if is_field || state == State::Size => Some(b'\n'),
            (_, State::Malformed) | (State::FieldStart, State::EndLf) => Some(byte),
            _ => (!is_field && next != State::Extension).then_some(byte),
        };
        self.state = next;
        passed
    }

    fn next(&mut self, byte: u8) -> State {
        match (self.state, byte) {
            (State::SizeStart | State::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') => {
                self.add_digit(byte)
            }
            (State::Size | State::SizeSpace, b' ' | b'\t') => State::SizeSpace,
            (State::Size | State::SizeSpace | State::Extension, b'\r') => State::SizeLf,
            (State::Extension, b'\n') => State::Malformed,
            (State::Size | State::SizeSpace, b';') | (State::Extension, _) => State::Extension,
            (State::SizeLf, b'\n') if self.size == 0 => State::FieldStart,
            (State::SizeLf, b'\n') => State::Data,
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => State::SizeStart,
            (State::FieldStart, b'\r') => State::EndLf,
            (State::FieldStart | State::FieldName, byte) if is_name_byte(byte) => State::FieldName,
            (State::FieldValue, b'\r') => State::FieldLf,
            (State::FieldName, b':') | (State::FieldValue, b'\t' | b' '..=b'~' | 0x80..) => {
                State::FieldValue
            }
            (State::FieldLf, b'\n') => State::FieldStart,
            (State::EndLf, b'\n') => State::Ended,
            _ => State::Malformed,
        }
    }

    /// Add a digit to the size, which begins with the first one.
    fn add_digit(&mut self, byte: u8) -> State {
        if self.state == State::SizeStart {
            self.size = 0;
            self.digits = 0;
        }
        self.digits += 1;
        let digit = char::from(byte).to_digit(16).unwrap_or_default();
        let size = self.size.checked_mul(16);
        match size.and_then(|size| size.checked_add(u64::from(digit))) {
            Some(size) if self.digits <= MAX_DIGITS => {
                self.size = size;
                State::Size
            }
            _ => State::Malformed,
        }
    }
}

impl Default for ChunkFraming {
    fn default() -> Self {
        Self::new()
    }
}

/// Report whether a byte may stand in a field's name (RFC 9110, section 5.6.2).
const fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(
            byte,
            b'!' | b'#'
                | b'$'
                | b'%'
                | b'&'
                | b'\''
                | b'*'
                | b'+'
                | b'-'
                | b'.'
                | b'^'
                | b'_'
                | b'`'
                | b'|'
                | b'~'
        )
}
