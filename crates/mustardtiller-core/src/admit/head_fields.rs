//! How many header fields the next head may have, known before it is parsed.

/// Header fields of usual heads, for which the parser allocates nothing.
pub const USUAL_FIELDS: usize = 100;

/// Most header fields of one head.
///
/// The map of the HTTP library holds 24,576 fields, some of which daemons add.
pub const MAX_FIELDS: usize = 24_000;

/// Upper bound on the header fields of a head that is not parsed yet.
///
/// A field takes a line, so that the lines that arrived bound the fields. A parser that
/// reserves space for the most fields that fit into any head would do so for each one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeadFields {
    /// Lines that have arrived and may belong to a head that is not parsed yet.
    lines: usize,
    /// Lines of the last read, whose end may belong to the next head.
    last_lines: usize,
    /// Heads that had been parsed at the last read.
    parsed: u64,
}

impl HeadFields {
    /// Start with `lines` lines that are to be parsed, after `parsed` heads.
    #[must_use]
    pub const fn new(lines: usize, parsed: u64) -> Self {
        Self {
            lines,
            last_lines: lines,
            parsed,
        }
    }

    /// Record a read while no request is in flight, after `parsed` heads.
    pub const fn read_head(&mut self, lines: usize, parsed: u64) {
        if self.parsed != parsed {
            self.lines = self.last_lines;
            self.parsed = parsed;
        }
        self.lines += lines;
        self.last_lines = lines;
    }

    /// Record a read while a request is in flight, after `parsed` heads.
    ///
    /// The connection reads then only what it has room for: earlier bytes are used up.
    pub const fn read_beside_request(&mut self, lines: usize, parsed: u64) {
        *self = Self::new(lines, parsed);
    }

    /// Return how many fields the parser must have space for.
    #[must_use]
    pub const fn needed(&self) -> usize {
        if self.lines < USUAL_FIELDS {
            return USUAL_FIELDS;
        }
        let needed = (self.lines + 1).next_power_of_two();
        if needed < MAX_FIELDS {
            needed
        } else {
            MAX_FIELDS
        }
    }
}
