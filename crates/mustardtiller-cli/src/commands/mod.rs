//! The subcommands, with one function for each.

mod build;
mod explain;
mod sets;

pub use build::build;
pub use explain::explain;
pub use sets::check;
pub use sets::diff;
pub use sets::hosts;

/// Exit code for a set with faults or a request without any log line.
pub const EXIT_FAULTS: u8 = 1;

/// Exit code if a file can't be read or written.
pub const EXIT_IO: u8 = 2;

/// Exit code of `diff` if the revision of a changed set does not increase.
///
/// Daemons would not accept such a set.
pub const EXIT_STALE: u8 = 3;
