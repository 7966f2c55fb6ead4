//! One function a subcommand.

mod explain;
mod sets;
mod write;

pub use explain::explain;
pub use sets::check;
pub use sets::diff;
pub use sets::hosts;
pub use write::build;

/// Exit code for a set with faults.
pub const EXIT_FAULTS: u8 = 1;

/// Exit code for files that can't be read or written.
pub const EXIT_FILES: u8 = 2;

/// Exit code of `diff` for a change that daemons would not take.
pub const EXIT_STALE: u8 = 3;
