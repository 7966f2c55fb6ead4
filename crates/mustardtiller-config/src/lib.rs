//! Reading, checking, building and comparing operators' objects.
//!
//! Operators describe services, upstreams, data centres, paths, callers and kinds of
//! request as named objects in INI files. All files of a set are checked together;
//! [`check_dir`] returns every fault at once. [`build`] turns a checked set
//! into the artefact to publish, and [`Configuration::assemble`] decodes a
//! published artefact into the model that daemons use.
//!
//! # Examples
//!
//! ```
//! use mustardtiller_config::Source;
//! use mustardtiller_config::check;
//!
//! let text = "[upstream katalog-1]\nservice = catalogue\n";
//! let faults = check(&[Source::new("set.ini", text)]).unwrap_err();
//! assert!(faults.iter().any(|fault| fault.to_string().contains("catalogue")));
//! ```

mod artefact;
mod ini;
mod model;
mod objects;

pub use artefact::Artefact;
pub use artefact::ArtefactError;
pub use artefact::ArtefactErrorKind;
pub use artefact::FleetPart;
pub use artefact::MAX_VALUE_BYTES;
pub use artefact::Manifest;
pub use artefact::ManifestService;
pub use artefact::ServicePart;
pub use artefact::build;
pub use artefact::digest_of;
pub use ini::Document;
pub use ini::Fault;
pub use ini::Fields;
pub use ini::Section;
pub use ini::Source;
pub use model::Caller;
pub use model::CallerLimits;
pub use model::Configuration;
pub use model::DataCentre;
pub use model::Fleet;
pub use model::Kind;
pub use model::Path;
pub use model::Route;
pub use model::RoutePart;
pub use model::Service;
pub use model::TokenRule;
pub use model::Upstream;
pub use objects::CheckError;
pub use objects::ObjectSet;
pub use objects::check;
pub use objects::check_dir;
pub use objects::diff;
