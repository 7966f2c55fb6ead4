//! The board itself.

use std::sync::Arc;

use event_listener::Event;

use crate::board::GateState;
use crate::board::PhaseCell;
use crate::board::Routes;
use crate::board::Snapshot;
use crate::settings::RetryBounds;
use mustardtiller_config::Artefact;
use mustardtiller_config::Configuration;
use mustardtiller_config::Upstream;
use mustardtiller_core::HostList;
use mustardtiller_core::Incarnation;
use mustardtiller_core::PlaceName;
use mustardtiller_core::Registry;
use mustardtiller_core::UpstreamName;

/// Who this process is. Never changes.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name of this daemon; that of its upstream where operators name them.
    pub upstream: UpstreamName,
    /// The place it stands in.
    pub place: PlaceName,
    /// This life of the process.
    pub incarnation: Incarnation,
}

/// The blackboard of one daemon.
#[derive(Debug)]
pub struct Board {
    /// Who this process is.
    pub identity: Identity,
    /// The configuration in force. Written by the configuration controller.
    pub configuration: Snapshot<Option<Arc<Configuration>>>,
    /// The artefact in force, for peers. Written by the configuration controller.
    pub artefact: Snapshot<Option<Arc<Artefact>>>,
    /// The host list. Written by the hosts controller.
    pub hosts: Snapshot<HostList>,
    /// The settings that may change while the daemon runs. Written on reload.
    pub retries: Snapshot<RetryBounds>,
    /// The upstreams that registered themselves. Written by the registry controller.
    pub registry: Snapshot<Registry>,
    /// The upstream beside this daemon. Written by the routes controller where
    /// operators name upstreams, else by the local controller.
    pub local: Snapshot<Option<Arc<Upstream>>>,
    /// Where requests can go. Written by the routes controller.
    pub routes: Snapshot<Routes>,
    /// The gate's state. Its fields name their writers.
    pub gate: GateState,
    /// The phase of the process. Written by the stop controller.
    pub phase: PhaseCell,
    /// Notified when the upstream beside this daemon seems to be another or gone.
    pub recheck_local: Event,
    /// Notified when an upstream's error rate is high. Read by the health controller.
    pub unhealthy: Event,
}
