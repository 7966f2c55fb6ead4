//! Faults in operators' files.

use std::fmt;

/// A fault in an operator's file, with its position and advice.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// The line number, from 1.
    pub line: u32,
    /// The object, such as `upstream katalog-1`; empty outside of any object.
    pub object: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub advice: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.object.is_empty() {
            write!(f, "[{}] ", self.object)?;
        }
        write!(f, "{}; {}", self.problem, self.advice)
    }
}
