//! The [`Board`] of one daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;

use event_listener::Event;

use crate::board::Doubt;
use crate::board::GateState;
use crate::board::HeldBytes;
use crate::board::LongestTimes;
use crate::board::PhaseCell;
use crate::board::Placement;
use crate::board::Routes;
use crate::board::Snapshot;
use crate::settings::RetryBounds;
use mustardtiller_config::Artefact;
use mustardtiller_config::Configuration;
use mustardtiller_config::Upstream;
use mustardtiller_core::DataCentreName;
use mustardtiller_core::HostList;
use mustardtiller_core::Incarnation;
use mustardtiller_core::Registry;
use mustardtiller_core::StopSchedule;
use mustardtiller_core::UpstreamName;
use mustardtiller_wire::UpstreamNotice;

/// The identity of this process, fixed for its lifetime.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of this daemon; without discovery also that of its upstream.
    pub upstream: UpstreamName,
    /// The data centre (data centre) in which the daemon runs.
    pub data_centre: DataCentreName,
    /// The incarnation of this process, new with every start.
    pub incarnation: Incarnation,
    /// The address at which other daemons reach this one.
    pub link: SocketAddr,
}

/// The blackboard of one daemon.
#[derive(Debug)]
pub struct Board {
    /// The identity of this process.
    pub identity: Identity,
    /// The configuration in force. Written by the configuration controller.
    pub configuration: Snapshot<Option<Arc<Configuration>>>,
    /// The artefact in force, which peers fetch. Written by the configuration controller.
    pub artefact: Snapshot<Option<Arc<Artefact>>>,
    /// Until when the configuration in force may be outdated.
    ///
    /// Written by the configuration controller.
    pub doubt: Doubt,
    /// The host list of the fleet.
    ///
    /// Written by the hosts controller, or by the registry controller where
    /// upstreams register themselves.
    pub hosts: Snapshot<HostList>,
    /// The daemon that last opened a link to this one while it knew no host.
    ///
    /// Written by links. Until this daemon holds a registry, it asks this one.
    pub neighbour: Snapshot<Option<SocketAddr>>,
    /// The retry bounds, which a reload of the settings may replace.
    pub retries: Snapshot<RetryBounds>,
    /// The registered upstreams of configured services. Written by the registry controller.
    pub registry: Snapshot<Registry>,
    /// All registrations as they were read, which peers fetch.
    ///
    /// Written by the registry controller.
    pub listed: Snapshot<Registry>,
    /// The upstream beside this daemon.
    ///
    /// Written by the routes controller where operators name upstreams,
    /// otherwise by the local controller.
    pub own_upstream: Snapshot<Option<Arc<Upstream>>>,
    /// The routing table. Written by the routes controller.
    pub routes: Snapshot<Routes>,
    /// The gate's state; [`GateState`] names the writers of its fields.
    pub gate: GateState,
    /// What operators allow in this host's data centre.
    ///
    /// Written by the configuration controller.
    pub placement: Placement,
    /// The lifecycle phase of the process; [`PhaseCell`] names its writers.
    pub phase: PhaseCell,
    /// The schedule of the planned stop, once one has begun. Written by the stop controller.
    pub stop: Snapshot<Option<StopSchedule>>,
    /// Times from a call's arrival to the end of its answer. Written by calls.
    pub call_times: LongestTimes,
    /// What another daemon last said that it remembers of this one's upstream.
    ///
    /// Written by links.
    pub notice: Snapshot<Option<UpstreamNotice>>,
    /// The bytes that this daemon holds for others. Written by requests.
    pub held: Arc<HeldBytes>,
    /// Whether the entry can accept connections. Written by the entry listener.
    pub accepts_callers: AtomicBool,
    /// Connections that get at most a refusal before they close, and the entry's listener.
    ///
    /// Written by the entry listener and its connections. A stop ends once it is zero.
    pub closes_owed: AtomicU64,
    /// Notified when the upstream beside this daemon may be gone or replaced by another.
    ///
    /// The local controller then probes it again.
    pub recheck_local: Event,
    /// Notified when a request comes while no host is known.
    ///
    /// The registry controller then waits less long for a peer's registry.
    pub hosts_wanted: Event,
    /// Notified when this daemon reads the platform at its start, as no peer has told it.
    ///
    /// The configuration controller then reads the configuration at the same time.
    pub start_read: Event,
    /// Notified when this daemon reads the registrations out of turn, time after time.
    ///
    /// Those before it in rank don't reach it, and the elected readers of the
    /// configuration may not either, so the configuration controller watches it too.
    pub read_for_others: Event,
    /// Notified when an upstream's error rate is high. Awaited by the health controller.
    pub unhealthy: Event,
}
