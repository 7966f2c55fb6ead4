//! Sets of objects described in INI files.

mod check;
mod diff;
mod parse;
mod references;
mod set;

pub use check::CheckError;
pub use check::check;
pub use check::check_dir;
pub use diff::diff;
pub use set::ObjectSet;
