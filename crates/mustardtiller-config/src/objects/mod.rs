//! The set of objects in INI files.

mod check;
mod diff;
mod parse;
mod refer;
mod set;

pub use check::CheckError;
pub use check::check;
pub use check::check_dir;
pub use diff::diff;
pub use set::ObjectSet;
