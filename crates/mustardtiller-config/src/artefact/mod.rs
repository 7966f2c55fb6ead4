//! The artefact that operators publish: a manifest and content-addressed parts.

mod build;
mod digest;
mod error;
mod parts;
mod read;

pub use build::build;
pub use digest::digest_of;
pub use error::ArtefactError;
pub use error::ArtefactErrorKind;
pub use parts::FleetPart;
pub use parts::Manifest;
pub use parts::ManifestService;
pub use parts::ServicePart;
pub use read::Artefact;

/// Largest value that the platform's configuration service can hold, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
