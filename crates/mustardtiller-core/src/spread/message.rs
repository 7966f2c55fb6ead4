//! Inputs and effects of one step of the distribution of configurations.

use std::net::SocketAddr;

use smallvec::SmallVec;

use crate::Deadline;
use crate::Version;

/// An input of [`Spread::step`](crate::Spread::step).
#[derive(Clone, Copy, Debug)]
pub enum SpreadEvent {
    /// A deadline may have passed.
    Tick,
    /// A peer advertised the version that it holds.
    PeerHas {
        /// The peer.
        peer: SocketAddr,
        /// The version that it holds.
        version: Version,
        /// Whether it wants this daemon's version in reply.
        wants_reply: bool,
    },
    /// The platform was read; it holds this version, or the copy that answered does.
    PlatformHas(Version),
    /// The platform was read, which counts its changes: it holds this version and no other.
    PlatformIsAt(Version),
    /// The platform could not be read.
    PlatformFailed,
    /// The configuration of this version is now in force on this host.
    Accepted(Version),
    /// The configuration of this version was not accepted.
    Refused(Version),
    /// A configuration could not be fetched.
    FetchFailed,
    /// This host reads the platform at its start, for the hosts that it will know.
    StartRead,
    /// A peer that can't read the platform delegates its read to this host.
    ReadRequested {
        /// Further delegations that are allowed if this host fails too.
        hops: u8,
    },
}

/// An action that the daemon carries out after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SpreadEffect {
    /// Send the version held to a peer.
    Advertise {
        /// The peer.
        peer: SocketAddr,
        /// Whether the peer is to reply with its version.
        wants_reply: bool,
    },
    /// Ask a peer to read the platform for a while.
    DelegateRead {
        /// The peer.
        peer: SocketAddr,
        /// Further delegations that are allowed if the peer fails too.
        hops: u8,
    },
    /// Read the version that the platform holds.
    ReadPlatform {
        /// Until when to wait for a change (long poll); `None` to read at once.
        wait_until: Option<Deadline>,
    },
    /// Fetch a configuration from a peer.
    FetchFromPeer {
        /// The peer.
        peer: SocketAddr,
        /// The version to fetch.
        version: Version,
    },
    /// Fetch a configuration from the platform.
    FetchFromPlatform {
        /// The version to fetch.
        version: Version,
    },
}

/// The effects of one step.
pub type SpreadEffects = SmallVec<[SpreadEffect; 4]>;
