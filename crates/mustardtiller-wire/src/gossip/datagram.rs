//! Datagrams between daemons.

use serde::Deserialize;
use serde::Serialize;

/// The version of a configuration that a daemon holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Advert {
    /// The revision; zero for none.
    pub revision: u64,
    /// The digest of the manifest.
    pub digest: [u8; 16],
}

/// A message in one datagram.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Datagram {
    /// The sender holds this version and asks for nothing.
    Have {
        /// What it holds.
        advert: Advert,
    },
    /// The sender holds this version and asks what the receiver holds.
    Ask {
        /// What it holds.
        advert: Advert,
    },
}
