//! Starts, runs and stops a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::thread;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;
use event_listener::Event as Signal;
use smol::Executor;
use smol::net::TcpListener;
use snafu::ResultExt;
use snafu::Snafu;

use crate::board::Board;
use crate::board::Doubt;
use crate::board::GateState;
use crate::board::HeldBytes;
use crate::board::Identity;
use crate::board::LongestTimes;
use crate::board::Phase;
use crate::board::PhaseCell;
use crate::board::Placement;
use crate::board::Routes;
use crate::board::Snapshot;
use crate::clock::Clock;
use crate::controllers;
use crate::daemon::Node;
use crate::daemon::NodeParts;
use crate::events::Event;
use crate::front::serve_callers;
use crate::front::serve_ready;
use crate::gate::control_admission;
use crate::gate::control_ledger;
use crate::gate::control_load_probes;
use crate::gossip::GossipSocket;
use crate::http::Dialect;
use crate::link::serve_links;
use crate::metrics::Metrics;
use crate::metrics::serve_metrics;
use crate::published::HttpPublishedSource;
use crate::published::PublishedSource;
use crate::settings::Settings;
use mustardtiller_core::HeldRule;
use mustardtiller_core::HostList;
use mustardtiller_core::Incarnation;
use mustardtiller_core::Registry;

/// Why a daemon did not start.
#[derive(Debug)]
#[derive(Snafu)]
pub enum StartError {
    /// An address could not be bound.
    #[snafu(display("can't bind {what} address {address}: {source}"))]
    Bind {
        /// What the address is for.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("can't start a worker thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    node: Arc<Node>,
    executor: Arc<Executor<'static>>,
    shutdown_tx: Sender<()>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Daemon {
    /// Start a daemon that reads the platform over HTTP.
    ///
    /// `random` must be new for every process: it identifies this incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub fn start(settings: Settings, random: u128) -> Result<Self, StartError> {
        let clock = Clock::start();
        let platform = Arc::new(HttpPublishedSource::new(settings.platform, clock));
        Self::start_with(settings, random, clock, platform, Dialect::default())
    }

    /// Start a daemon with another platform source and dialect.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub fn start_with(
        settings: Settings,
        random: u128,
        clock: Clock,
        platform: Arc<dyn PublishedSource>,
        dialect: Dialect,
    ) -> Result<Self, StartError> {
        let executor = Arc::new(Executor::new());
        let threads = settings.threads;
        let node = new_node(settings, random, clock, dialect, Arc::clone(&executor));
        let node = Arc::new(node);
        smol::block_on(spawn_all(&node, platform))?;
        let (shutdown_tx, shutdown_rx) = bounded(1);
        let threads = (1..threads)
            .map(|index| spawn_worker(index, Arc::clone(&executor), shutdown_rx.clone()))
            .collect::<Result<Vec<_>, _>>()?;
        Event::Started.log(format_args!(
            "{} at {}, incarnation {}",
            node.board.identity.upstream,
            node.board.identity.data_centre,
            node.board.identity.incarnation
        ));
        Ok(Self {
            node,
            executor,
            shutdown_tx,
            threads,
        })
    }

    /// Return the node, for embedding the daemon.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Begin a graceful stop.
    pub fn request_stop(&self) {
        self.node.board.phase.advance(Phase::Withdrawn);
    }

    /// Run tasks on this thread until the daemon has stopped, then join its threads.
    pub fn join(self) {
        // async-io's own thread polls for I/O and wakes this one. If this thread
        // polled for I/O too, the two would alternate, at a dozen wake-ups for each
        // event of an idle daemon.
        smol::future::block_on(
            self.executor
                .run(self.node.board.phase.reached(Phase::Stopped)),
        );
        Event::Stopped.log(&self.node.board.identity.upstream);
        self.shutdown_tx.close();
        for thread in self.threads {
            // Tasks contain their panics, so a worker has none to report.
            let _ = thread.join();
        }
    }
}

fn new_node(
    settings: Settings,
    random: u128,
    clock: Clock,
    dialect: Dialect,
    executor: Arc<Executor<'static>>,
) -> Node {
    let identity = Identity {
        upstream: settings.upstream.clone(),
        data_centre: settings.data_centre.clone(),
        incarnation: Incarnation(random),
        link: settings.link,
    };
    let now = clock.now();
    let warm_at = now.plus_micros(settings.ramp_ms * 1_000);
    let board = Board {
        identity,
        retries: Snapshot::new(settings.retries),
        configuration: Snapshot::new(None),
        artefact: Snapshot::new(None),
        doubt: Doubt::new(),
        hosts: Snapshot::new(HostList::default()),
        neighbour: Snapshot::new(None),
        registry: Snapshot::new(Registry::default()),
        listed: Snapshot::new(Registry::default()),
        own_upstream: Snapshot::new(None),
        recheck_local: Signal::new(),
        routes: Snapshot::new(Routes::default()),
        gate: GateState::new(now, warm_at),
        placement: Placement::new(),
        phase: PhaseCell::new(),
        stop: Snapshot::new(None),
        call_times: LongestTimes::new(),
        notice: Snapshot::new(None),
        held: Arc::new(HeldBytes::new(HeldRule::for_host(settings.memory_mb))),
        accepts_callers: AtomicBool::new(true),
        closes_owed: AtomicU64::new(0),
        hosts_wanted: Signal::new(),
        read_for_others: Signal::new(),
        start_read: Signal::new(),
        unhealthy: Signal::new(),
    };
    Node::new(NodeParts {
        board,
        clock,
        metrics: Arc::new(Metrics::new()),
        settings,
        dialect,
        executor,
        seed: random as u64,
    })
}

/// Bind all addresses, and spawn the listeners and controllers.
async fn spawn_all(node: &Arc<Node>, platform: Arc<dyn PublishedSource>) -> Result<(), StartError> {
    let settings = &node.settings;
    // The link's address is bound first: whoever holds it is the upstream's only daemon.
    let link_listener = bind("link", settings.link_listen).await?;
    let gossip = GossipSocket::bind(settings.link_listen, Arc::clone(&node.metrics), node.clock);
    let gossip = gossip.await;
    let gossip = gossip.context(BindSnafu {
        what: "gossip",
        address: settings.link_listen,
    })?;
    let entry_listener = bind("entry", settings.entry).await?;
    if let Some(address) = settings.metrics {
        let listener = bind("metrics", address).await?;
        node.spawn(serve_metrics(Arc::clone(node), listener));
    }
    if let Some(address) = settings.ready {
        let listener = bind("ready", address).await?;
        node.spawn(serve_ready(Arc::clone(node), listener));
    }
    let gossip = Arc::new(gossip);
    let receiving = Arc::clone(&gossip);
    node.spawn_controller("gossip", async move { receiving.run().await });
    spawn_membership(node, &gossip, &platform);
    let configuration = controllers::control_configuration(Arc::clone(node), gossip, platform);
    node.spawn_controller("configuration", configuration);
    node.spawn_controller("routes", controllers::control_routes(Arc::clone(node)));
    node.spawn_controller("links", controllers::control_links(Arc::clone(node)));
    node.spawn_controller("health", controllers::control_health(Arc::clone(node)));
    node.spawn_controller("delays", controllers::control_delays(Arc::clone(node)));
    node.spawn_controller("limiter", controllers::control_limiter(Arc::clone(node)));
    let stop = controllers::control_stop(Arc::clone(node));
    node.spawn_controller("stop", stop);
    node.spawn_controller("admission", control_admission(Arc::clone(node)));
    node.spawn_controller("ledger", control_ledger(Arc::clone(node)));
    let links = serve_links(Arc::clone(node), link_listener);
    node.spawn_controller("link listener", links);
    let callers = serve_callers(Arc::clone(node), entry_listener);
    node.spawn_controller("entry listener", callers);
    Ok(())
}

/// Spawn the controllers of the host list and of the own upstream.
fn spawn_membership(
    node: &Arc<Node>,
    gossip: &Arc<GossipSocket>,
    platform: &Arc<dyn PublishedSource>,
) {
    if let Some(discovery) = &node.settings.discovery {
        let registry = controllers::control_registry(
            Arc::clone(node),
            Arc::clone(gossip),
            Arc::clone(platform),
        );
        node.spawn_controller("registry", registry);
        node.spawn_controller("local", controllers::control_local(Arc::clone(node)));
        let load_probes = control_load_probes(Arc::clone(node), discovery.clone());
        node.spawn_controller("load probes", load_probes);
    } else {
        let hosts = controllers::control_hosts(Arc::clone(node), Arc::clone(platform));
        node.spawn_controller("hosts", hosts);
        let measurements = controllers::control_measurements(Arc::clone(node));
        node.spawn_controller("measurements", measurements);
    }
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.context(BindSnafu { what, address })
}

fn spawn_worker(
    index: u64,
    executor: Arc<Executor<'static>>,
    shutdown_rx: Receiver<()>,
) -> Result<thread::JoinHandle<()>, StartError> {
    // Workers park when idle; they do not poll for I/O.
    let work = move || {
        let _ = smol::future::block_on(executor.run(shutdown_rx.recv()));
    };
    let builder = thread::Builder::new().name(format!("worker-{index}"));
    builder.spawn(work).context(ThreadSnafu)
}
