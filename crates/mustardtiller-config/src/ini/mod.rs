//! Parsing of INI text with line numbers, and typed access that collects faults.

mod document;
mod fault;
mod fields;

pub use document::Document;
pub use document::Section;
pub use document::Source;
pub use fault::Fault;
pub use fields::Fields;
pub use fields::is_name;
pub use fields::suggestion;
