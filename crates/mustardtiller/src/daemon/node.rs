//! The state that all parts of one daemon share.

use std::fmt;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use event_listener::Event as Signal;
use smol::Executor;
use smol::Task;

use crate::board::Board;
use crate::board::Candidate;
use crate::board::Phase;
use crate::board::ServiceRoutes;
use crate::clock::Clock;
use crate::daemon::contain::contained;
use crate::events::Event;
use crate::gate::AdmissionHandle;
use crate::gate::LedgerHandle;
use crate::gate::LoadProbeHandle;
use crate::http::Dialect;
use crate::link::LinkDirectory;
use crate::link::maintain_link;
use crate::metrics::CounterId;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::upstream::UpstreamPool;
use mustardtiller_config::Upstream;
use mustardtiller_core::LogLineBudget;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::ServiceName;
use mustardtiller_core::StartRate;
use mustardtiller_core::UpstreamName;
use mustardtiller_wire::LoadReport;

/// Odd increment that spreads seeds over 64 bits (2^64 divided by the golden ratio).
const SEED_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// The parts from which a [`Node`] is built.
#[derive(Debug)]
pub struct NodeParts {
    /// The blackboard.
    pub board: Board,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The settings.
    pub settings: Settings,
    /// Names and formats of the headers that callers and upstreams use.
    pub dialect: Dialect,
    /// The executor that runs every task.
    pub executor: Arc<Executor<'static>>,
    /// The seed of every random choice.
    pub seed: u64,
}

/// The state that all parts of one daemon share.
pub struct Node {
    /// The blackboard.
    pub board: Board,
    /// The clock.
    pub clock: Clock,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The settings.
    pub settings: Settings,
    /// Names and formats of the headers that callers and upstreams use.
    pub dialect: Dialect,
    /// Handle through which requests get slots of the upstream.
    pub admission: AdmissionHandle,
    /// Handle through which requests ask for a load probe of the upstream.
    pub load_probes: LoadProbeHandle,
    /// Handle to the ledger that deduplicates requests with tokens.
    pub ledger: LedgerHandle,
    /// Connections to the upstream.
    pub pool: UpstreamPool,
    /// Notified when the configured slots may have changed.
    pub limits_changed: Signal,
    /// Notified when a link has proved silent: others may have gone silent with it.
    pub link_silent: Signal,
    /// The links that this daemon's gate serves.
    pub links: LinkDirectory,
    /// Rate limit of log lines about requests.
    pub log_lines: LogLineBudget,
    /// Budget of log lines about requests that were rejected with a 4xx.
    ///
    /// Separate, since refusals under overload would use up a common one.
    pub rejection_lines: LogLineBudget,
    executor: Arc<Executor<'static>>,
    seed: AtomicU64,
    sequence: AtomicU64,
    exchanges: AtomicU64,
}

impl Node {
    /// Build a node from its parts.
    #[must_use]
    pub fn new(parts: NodeParts) -> Self {
        let lines = || LogLineBudget::new(parts.settings.request_lines, parts.clock.now());
        let (log_lines, rejection_lines) = (lines(), lines());
        Self {
            log_lines,
            rejection_lines,
            board: parts.board,
            clock: parts.clock,
            metrics: parts.metrics,
            settings: parts.settings,
            dialect: parts.dialect,
            admission: AdmissionHandle::new(),
            load_probes: LoadProbeHandle::new(),
            ledger: LedgerHandle::new(),
            pool: UpstreamPool::new(),
            limits_changed: Signal::new(),
            link_silent: Signal::new(),
            links: LinkDirectory::default(),
            executor: parts.executor,
            seed: AtomicU64::new(parts.seed),
            sequence: AtomicU64::new(0),
            exchanges: AtomicU64::new(0),
        }
    }

    /// Run a task to its end in the background.
    ///
    /// If it panics, only the task ends; the panic is counted and logged.
    pub fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.spawn_task(task).detach();
    }

    /// Run a task that is cancelled when its handle is dropped.
    ///
    /// A panic is handled as by [`Node::spawn`].
    pub fn spawn_task(&self, task: impl Future<Output = ()> + Send + 'static) -> Task<()> {
        let metrics = Arc::clone(&self.metrics);
        self.executor.spawn(async move {
            if let Err(cause) = contained(task).await {
                metrics.count(CounterId::TasksPanicked);
                Event::TaskPanicked.log(cause);
            }
        })
    }

    /// Run a controller in the background.
    ///
    /// The daemon can't go on without one: if it panics, the daemon finishes what is
    /// in flight and exits, to be started again.
    pub fn spawn_controller(
        self: &Arc<Self>,
        name: &'static str,
        controller: impl Future<Output = ()> + Send + 'static,
    ) {
        let node = Arc::clone(self);
        let running = async move {
            if let Err(cause) = contained(controller).await {
                node.metrics.count(CounterId::TasksPanicked);
                Event::ControllerPanicked.log(format_args!("{name}: {cause}"));
                node.board.phase.advance(Phase::Withdrawn);
            }
        };
        self.executor.spawn(running).detach();
    }

    /// Return a new random generator, seeded without a lock.
    pub fn rng(&self) -> fastrand::Rng {
        let seed = self.seed.fetch_add(SEED_STEP, Ordering::Relaxed);
        fastrand::Rng::with_seed(seed)
    }

    /// Return the next sequence number for this process's tokens.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Return the number of the next exchange with the upstream.
    pub fn next_exchange(&self) -> u64 {
        self.exchanges.fetch_add(1, Ordering::Relaxed)
    }

    /// Return the upstream beside this daemon, if it is known.
    #[must_use]
    pub fn own_upstream(&self) -> Option<Arc<Upstream>> {
        self.board.own_upstream.read().as_ref().clone()
    }

    /// Return the service of the upstream beside this daemon, if it is known.
    #[must_use]
    pub fn own_service(&self) -> Option<ServiceName> {
        if let Some(discovery) = &self.settings.discovery {
            return Some(discovery.service.clone());
        }
        let configuration = self.board.configuration.read();
        let configuration = configuration.as_ref().as_ref()?;
        let (service, _) = configuration.upstream(&self.board.identity.upstream)?;
        Some(service.name.clone())
    }

    /// Return the name by which the host list knows this daemon.
    #[must_use]
    pub fn member_name(&self) -> UpstreamName {
        match self.settings.discovery {
            None => self.board.identity.upstream.clone(),
            Some(_) => self.settings.link.to_string().as_str().into(),
        }
    }

    /// Report whether the gate serves the upstream of this name.
    #[must_use]
    pub fn serves(&self, upstream: &str) -> bool {
        if self.settings.discovery.is_none() {
            return self.board.identity.upstream.as_str() == upstream;
        }
        let own = self.board.own_upstream.read();
        own.as_ref()
            .as_ref()
            .is_some_and(|own| own.name.as_str() == upstream)
    }

    /// Return the rate limit for measurements of the upstream.
    ///
    /// It is in thousandths of a measurement per second; zero if no configuration
    /// names the upstream, or its data centre is out of service.
    #[must_use]
    pub fn own_measurement_rate(&self) -> u64 {
        let configuration = self.board.configuration.read();
        let own = configuration
            .as_ref()
            .as_ref()
            .and_then(|c| c.upstream(&self.board.identity.upstream))
            .filter(|_| !self.board.placement.is_evacuated());
        own.map_or(0, |(service, _)| service.measure_milli_per_second)
    }

    /// Report whether the rate limit admits a log line about the request `id`.
    pub fn may_log(&self, id: &[u8]) -> bool {
        self.log_lines.try_take(digest_of(id), self.clock.now())
    }

    /// Report whether the rate limit admits a log line that `id` was rejected.
    pub fn may_log_rejection(&self, id: &[u8]) -> bool {
        self.rejection_lines
            .try_take(digest_of(id), self.clock.now())
    }

    /// Report whether the gate refuses new requests.
    #[must_use]
    pub fn refuses_new_work(&self) -> bool {
        self.board.gate.is_leaving() || self.board.phase.read() >= Phase::Draining
    }

    /// Return why a request of this kind may not start here, if it may not.
    #[must_use]
    pub fn start_refusal(&self, kind_digest: u32) -> Option<NotRunReason> {
        if self.refuses_new_work() {
            return Some(NotRunReason::Leaving);
        }
        self.board.placement.refusal(kind_digest)
    }

    /// Build the load report for entries.
    #[must_use]
    pub fn load_report(&self) -> LoadReport {
        let closing = self.board.phase.read() >= Phase::Withdrawn;
        let closing = closing || self.board.placement.is_evacuated();
        self.board.gate.load_report(self.clock.now(), closing)
    }

    /// Record whether the data centre is out of service, and log a change.
    ///
    /// The admission controller then refuses what waits, and entries get load reports.
    pub fn note_evacuated(&self, evacuated: bool) {
        if self.board.placement.set_evacuated(evacuated) == evacuated {
            return;
        }
        let data_centre = &self.board.identity.data_centre;
        if evacuated {
            Event::Evacuated.log(data_centre);
        } else {
            Event::TakenBack.log(data_centre);
        }
        self.metrics.gauges.evacuated.set(i64::from(evacuated));
        self.board.gate.availability.notify(usize::MAX);
        self.admission.wake();
    }

    /// Record whether the upstream is leaving, and log a change with its source.
    pub fn note_leaving(&self, leaving: bool, source: &str) {
        if self.board.gate.set_leaving(leaving) != leaving {
            self.log_leaving(leaving, source);
        }
    }

    /// Record that the upstream has said itself that it is leaving.
    ///
    /// With discovery, that holds until it registers with a later start. Without it,
    /// the load endpoint may report it back.
    pub fn note_announced_leaving(&self, source: &str) {
        if self.settings.discovery.is_none() {
            self.note_leaving(true, source);
            return;
        }
        let own = self.own_upstream();
        let registry = self.board.registry.read();
        let entry = own.and_then(|own| registry.get(own.name.as_str()).map(|e| e.started_ms));
        if !self.board.gate.announce_leaving(entry) {
            self.log_leaving(true, source);
        }
    }

    /// Log whether the upstream is leaving or back, and wake the admission controller.
    pub fn log_leaving(&self, leaving: bool, source: &str) {
        if leaving {
            Event::UpstreamLeaving.log(source);
        } else {
            Event::UpstreamBack.log(source);
        }
        self.admission.wake();
    }

    /// Record the rate of requests that the upstream named, and log a change.
    pub fn note_start_rate(&self, rate: Option<StartRate>) {
        let before = self.board.gate.set_start_rate(rate, self.clock.now());
        if before != rate {
            self.log_start_rate(rate);
        }
    }

    /// Adopt what another daemon remembers of this one's upstream.
    ///
    /// This daemon may have restarted since the upstream last said so.
    pub fn adopt_notice(&self) {
        let notice = self.board.notice.share();
        let (Some(notice), Some(own)) = (notice.as_ref(), self.own_upstream()) else {
            return;
        };
        let registry = self.board.registry.read();
        let registered = registry.get(own.name.as_str()).map(|e| e.started_ms);
        let is_former = registered.is_some_and(|started_ms| started_ms > notice.started_ms);
        if notice.upstream != own.name.as_str() || is_former {
            return;
        }
        if notice.leaving && !self.board.gate.announce_leaving(Some(notice.started_ms)) {
            self.log_leaving(true, "another daemon remembers its answer");
        }
        if notice.start_milli > 0 {
            let rate = StartRate::from_milli(notice.start_milli);
            if self.board.gate.adopt_start_rate(rate, self.clock.now()) {
                self.log_start_rate(Some(rate));
            }
        }
    }

    fn log_start_rate(&self, rate: Option<StartRate>) {
        self.admission.wake();
        let milli = rate.map_or(0, StartRate::as_milli);
        self.metrics.gauges.start_rate_milli.set(i64::from(milli));
        match rate {
            Some(_) => Event::StartRateNamed.log(format_args!("{milli} thousandths a second")),
            None => Event::StartRateEnded.log("its answers name none"),
        }
    }

    /// Apply settings that were read again.
    ///
    /// Only the retry bounds are replaced. They apply when routes are derived next;
    /// existing budgets keep their caps. All other settings take effect when the
    /// process is restarted.
    pub fn reload(&self, settings: &Settings) {
        let bounds = settings.retries;
        Event::Reloaded.log(format_args!("retries {bounds:?}"));
        if *self.board.retries.read().as_ref() != bounds {
            self.board.retries.publish(Arc::new(bounds));
        }
    }

    /// Count calls to the platform in total and by what they read.
    pub fn count_platform_calls(&self, what: CounterId, calls: u64) {
        self.metrics.add(CounterId::PlatformReads, calls);
        self.metrics.add(what, calls);
        let starting = self.board.configuration.read().is_none()
            || (self.settings.discovery.is_some() && self.board.hosts.read().members.is_empty());
        if starting {
            self.metrics.add(CounterId::StartReads, calls);
        }
    }

    /// Report whether to connect to a service before its first request.
    #[must_use]
    pub fn preconnects(&self, service: &str) -> bool {
        self.settings.preconnect.iter().any(|name| name == service)
    }

    /// Start connecting to a service's candidates, unless that was done before.
    pub fn ensure_links(self: &Arc<Self>, routes: &ServiceRoutes) {
        for candidate in &routes.candidates {
            self.ensure_link(candidate);
        }
    }

    /// Start the link controller of one upstream, unless it was started before.
    pub fn ensure_link(self: &Arc<Self>, candidate: &Arc<Candidate>) {
        if candidate.link_slot.claim() {
            let maintaining = maintain_link(Arc::clone(self), Arc::clone(candidate));
            self.spawn(maintaining);
        }
    }
}

fn digest_of(id: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("identity", &self.board.identity)
            .finish_non_exhaustive()
    }
}
