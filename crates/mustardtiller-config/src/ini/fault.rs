//! One thing wrong in an operator's file.

use std::fmt;

/// A fault: where it is, what is wrong and what would be right.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Fault {
    /// The file as the operator named it.
    pub file: String,
    /// The line, from 1.
    pub line: u32,
    /// The object, such as `upstream katalog-1`; empty outside any.
    pub object: String,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
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
