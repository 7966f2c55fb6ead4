//! A load balancer for servers whose load changes within milliseconds.
//!
//! One daemon runs beside each upstream. Its entry accepts calls, chooses an
//! upstream and forwards the call to the daemon beside that upstream. The gate
//! of that daemon performs admission control; no request reaches the upstream
//! by another way. Controllers maintain a [`Board`], which every request reads
//! without a lock.
//!
//! The crate can be embedded: [`Daemon`] assembles all parts, and [`dispatch`]
//! runs one [`Call`] on behalf of a custom front end.
//!
//! # Examples
//!
//! ```
//! use mustardtiller::Settings;
//! use mustardtiller::config::Source;
//!
//! let text = "
//! [daemon]
//! upstream = katalog-1
//! place = jadran-a
//! entry = 127.0.0.1:8081
//! link = 127.0.0.1:9081
//! [platform]
//! address = 127.0.0.1:6000
//! ";
//! let settings = Settings::read(&Source::new("daemon.ini", text)).unwrap();
//! assert_eq!(settings.data_centre.as_str(), "jadran-a");
//! ```

mod board;
mod body;
mod clock;
mod controllers;
mod daemon;
mod entry;
mod events;
mod front;
mod gate;
mod gossip;
mod http;
mod link;
mod metrics;
mod published;
mod settings;
mod upstream;

pub use board::*;
pub use body::BodyCut;
pub use body::ChunkSource;
pub use clock::Clock;
pub use daemon::Daemon;
pub use daemon::Node;
pub use daemon::NodeParts;
pub use daemon::StartError;
pub use entry::Answer;
pub use entry::AnswerChunks;
pub use entry::Call;
pub use entry::CallBody;
pub use entry::Outcome;
pub use entry::RaceEnd;
pub use entry::TokenText;
pub use entry::dispatch;
pub use entry::first_answer;
pub use entry::mint_token;
pub use events::Event;
pub use events::EventLevel;
pub use events::start_logger;
pub use gate::AdmissionHandle;
pub use gate::LedgerHandle;
pub use http::DeadlineForm;
pub use http::Dialect;
pub use http::FairSocket;
pub use http::Proof;
pub use http::UpstreamLoad;
pub use link::LinkHandle;
pub use link::LinkSlot;
pub use metrics::CounterId;
pub use metrics::Metrics;
pub use mustardtiller_config as config;
pub use mustardtiller_core as core;
pub use mustardtiller_wire as wire;
pub use published::HttpPublishedSource;
pub use published::ParsedHosts;
pub use published::PublishedError;
pub use published::PublishedSource;
pub use published::PublishedValue;
pub use published::ReadExtent;
pub use published::ReadFuture;
pub use published::Registrations;
pub use published::parse_hosts;
pub use settings::DiscoverySettings;
pub use settings::PlatformKind;
pub use settings::RetryBounds;
pub use settings::Settings;
pub use upstream::UpstreamPool;
