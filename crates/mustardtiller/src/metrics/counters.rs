//! The daemon's metrics.
//!
//! All are registered at start and held in arrays of atomics, so that counting
//! on the path of a request needs neither a lock nor a look-up.

use std::fmt;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::board::HeldBytes;
use crate::board::Holder;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryReason;
use mustardtiller_core::UnknownReason;

macro_rules! counters {
    ($($help:literal $variant:ident = $name:literal,)*) => {
        /// The counters without labels.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum CounterId {
            $(#[doc = $help] $variant,)*
        }

        impl CounterId {
            /// Every counter.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Return the name of the metric, without prefix and suffix.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name,)* }
            }

            /// Return the help text of the metric.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$variant => $help,)* }
            }
        }
    };
}

counters!(
    "Requests taken by the entry" Requests = "requests",
    "Requests answered" Answered = "answered",
    "Answers cut after their head was passed on" AnswersCut = "answers_cut",
    "Answers that came after their caller had gone" AnswersLate = "answers_late",
    "Requests whose caller went away" CallersGone = "callers_gone",
    "Requests hedged" Hedges = "hedges",
    "Connections accepted from callers" CallersAccepted = "callers_accepted",
    "Idle connections of callers closed to make room" CallersDismissed = "callers_dismissed",
    "Stalled request bodies given up" BodiesStalled = "bodies_stalled",
    "Streams cut for want of memory" StreamsCut = "streams_cut",
    "Answers cut because nobody read them" AnswersUnread = "answers_unread",
    "Connections that a listener failed to accept" AcceptsFailed = "accepts_failed",
    "Offers made in other regions" OffersElsewhere = "offers_elsewhere",
    "Hedges that answered first" HedgesWon = "hedges_won",
    "Tokens handed out" TokensMinted = "tokens_minted",
    "Answers repeated from the token ledger" AnswersRepeated = "answers_repeated",
    "Requests admitted by the gate" Admitted = "gate_admitted",
    "Requests that waited in the gate's queue" Queued = "gate_queued",
    "Requests of nested calls that waited in the gate's queue" QueuedNested = "gate_queued_nested",
    "Requests that lost their place in the queue to a higher rank" Displaced = "gate_displaced",
    "Times that the upstream was found to shed with slots free" ShedPauses = "upstream_shed_pauses",
    "Connections made to the upstream" UpstreamConnections = "upstream_connections",
    "Measurements of the upstream's load" Measurements = "measurements",
    "Measurements that failed" MeasurementsFailed = "measurements_failed",
    "Links made to other daemons" LinksMade = "links_made",
    "Links lost" LinksLost = "links_lost",
    "Attempts to make a link that failed" LinksFailed = "links_failed",
    "Links given up for silence" LinksSilent = "links_silent",
    "Frames that made no sense" FramesMalformed = "frames_malformed",
    "Handshakes refused" HandshakesRefused = "handshakes_refused",
    "Datagrams that made no sense" DatagramsMalformed = "datagrams_malformed",
    "Datagrams dropped because a controller was behind" DatagramsDropped = "datagrams_dropped",
    "Datagrams sent" DatagramsSent = "datagrams_sent",
    "Datagrams received" DatagramsReceived = "datagrams_received",
    "Bytes of datagrams sent" DatagramBytesSent = "datagram_bytes_sent",
    "Bytes of datagrams received" DatagramBytesReceived = "datagram_bytes_received",
    "Calls made to the platform" PlatformReads = "platform_reads",
    "Calls to the platform for registrations" RegistryReads = "registry_reads",
    "Calls to the platform for configurations" ConfigReads = "config_reads",
    "Calls to the platform before a registry and a configuration were held" StartReads = "start_reads",
    "Calls to the platform that failed" PlatformFailures = "platform_failures",
    "Values fetched from peers" PeerFetches = "peer_fetches",
    "Values that no peer had" PeerFetchesFailed = "peer_fetches_failed",
    "Configurations accepted" ConfigsAccepted = "configs_accepted",
    "Configurations refused" ConfigsRefused = "configs_refused",
    "Older configurations not taken" ConfigsOlder = "configs_older",
    "Two contents seen under one revision" ConfigsConflicting = "configs_conflicting",
    "Upstreams ejected for errors" Ejections = "ejections",
    "Tasks that panicked" TasksPanicked = "tasks_panicked",
    "Malformed requests from callers" RequestsMalformed = "requests_malformed",
    "Heads of requests that the HTTP library rejected" HeadsRejected = "heads_rejected",
);

/// The daemon's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    unlabelled: Vec<Counter>,
    not_run: Vec<Counter>,
    unknown: Vec<Counter>,
    retries: Vec<Counter>,
    /// The gauges.
    pub gauges: Gauges,
    calls: Vec<Histogram>,
    queue: Histogram,
    upstream: Histogram,
}

/// How a call ended: the label of its duration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// Answered within its target.
    InTime,
    /// Answered after its target.
    Late,
    /// Answered with an error status of the upstream.
    Error,
    /// Refused; it did not run.
    NotRun,
    /// It may have run; the outcome is unknown.
    Unknown,
}

impl CallEnd {
    const ALL: &'static [Self] = &[
        Self::InTime,
        Self::Late,
        Self::Error,
        Self::NotRun,
        Self::Unknown,
    ];

    const fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in-time",
            Self::Late => "late",
            Self::Error => "error",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Upper bounds of the latency buckets, in seconds.
///
/// They range from a millisecond to the longest deadlines.
const BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0,
];

/// Microseconds in a second.
const SECOND_MICROS: f64 = 1_000_000.0;

type HolderLabels = [(&'static str, String); 1];

type EndLabels = [(&'static str, String); 1];

/// The gauges of a daemon.
#[derive(Debug)]
pub struct Gauges {
    /// Requests in flight at the entry.
    pub entry_in_flight: Gauge,
    /// Connections from callers.
    pub caller_connections: Gauge,
    /// Delay of the last task that was due, in milliseconds.
    pub task_delay_ms: Gauge,
    /// Rate that the upstream named, in thousandths per second; zero if it named none.
    pub start_rate_milli: Gauge,
    /// Whether the upstream last said that it is cold.
    pub upstream_cold: Gauge,
    /// Whether the data centre is out of service: one or zero.
    pub evacuated: Gauge,
    /// Requests in flight at the gate.
    pub gate_in_flight: Gauge,
    /// Kinds of request that the gate knows to be made by runs of others.
    pub nested_kinds: Gauge,
    /// The configuration revision in force.
    pub revision: Gauge,
    /// Whether a newer configuration than the one in force may exist: one or zero.
    pub config_doubted: Gauge,
    /// Registered upstreams.
    pub registered: Gauge,
    /// Slots of the upstream that the gate uses: its concurrency limit.
    pub slots_filled: Gauge,
    /// Bytes held for others, in the order of [`Holder::ALL`].
    held_bytes: Vec<Gauge>,
}

impl Gauges {
    fn new(registry: &mut Registry) -> Self {
        let registered = gauge(
            registry,
            "registered_upstreams",
            "Upstreams that are registered",
        );
        let slots_filled = gauge(
            registry,
            "gate_slots_filled",
            "Slots of the upstream that the gate fills",
        );
        let held = Family::<HolderLabels, Gauge>::default();
        registry.register("held_bytes", "Bytes held for others", held.clone());
        let held_bytes = Holder::ALL.iter().map(|holder| {
            let labels = [("holder", holder.as_str().to_owned())];
            held.get_or_create_owned(&labels)
        });
        let held_bytes = held_bytes.collect();
        let entry_in_flight = gauge(
            registry,
            "entry_in_flight",
            "Requests in flight at the entry",
        );
        let caller_connections = gauge(registry, "caller_connections", "Connections from callers");
        let task_delay_ms = gauge(
            registry,
            "task_delay_ms",
            "Delay of the last task that was due, in milliseconds",
        );
        let upstream_cold = gauge(
            registry,
            "upstream_cold",
            "One if the upstream last said that it is cold",
        );
        let start_rate_milli = gauge(
            registry,
            "start_rate_milli",
            "Requests that the upstream takes, in thousandths a second; zero if not limited",
        );
        let evacuated = gauge(
            registry,
            "evacuated",
            "Whether the data centre is out of service",
        );
        let gate_in_flight = gauge(registry, "gate_in_flight", "Requests in flight at the gate");
        let nested_kinds = gauge(
            registry,
            "gate_nested_kinds",
            "Kinds of request that runs of other requests make, as learned",
        );
        let revision = gauge(registry, "revision", "The revision in force");
        let config_doubted = gauge(
            registry,
            "config_doubted",
            "One if a newer configuration than the one in force may exist",
        );
        Self {
            entry_in_flight,
            caller_connections,
            task_delay_ms,
            start_rate_milli,
            upstream_cold,
            evacuated,
            gate_in_flight,
            nested_kinds,
            revision,
            config_doubted,
            registered,
            slots_filled,
            held_bytes,
        }
    }

    /// Take over the bytes that the account shows.
    pub fn set_held_bytes(&self, account: &HeldBytes) {
        for holder in Holder::ALL {
            self.held_bytes[*holder as usize].set(account.held_by(*holder) as i64);
        }
    }
}

/// Create a gauge and register it.
fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    let gauge = Gauge::default();
    registry.register(name, help, gauge.clone());
    gauge
}

type Labels = [(&'static str, String); 2];
type RetryLabels = [(&'static str, String); 1];

impl Metrics {
    /// Create and register every metric.
    #[must_use]
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("mustardtiller");
        let unlabelled = CounterId::ALL
            .iter()
            .map(|id| {
                let counter = Counter::default();
                registry.register(id.name(), id.help(), counter.clone());
                counter
            })
            .collect();
        let refusals = Family::<Labels, Counter>::default();
        let retries = Family::<RetryLabels, Counter>::default();
        registry.register("refusals", "Requests refused", refusals.clone());
        registry.register("retries", "Requests tried again", retries.clone());
        let refusal = |class: &str, reason: &str| {
            let labels = [("class", class.to_owned()), ("reason", reason.to_owned())];
            refusals.get_or_create_owned(&labels)
        };
        let not_run = NotRunReason::ALL
            .iter()
            .map(|r| refusal("not-run", r.as_str()));
        let unknown = UnknownReason::ALL
            .iter()
            .map(|r| refusal("unknown", r.as_str()));
        let (not_run, unknown) = (not_run.collect(), unknown.collect());
        let retried = RetryReason::ALL.iter().map(|reason| {
            let labels = [("reason", reason.as_str().to_owned())];
            retries.get_or_create_owned(&labels)
        });
        let retries = retried.collect();
        let times = Family::<EndLabels, Histogram>::new_with_constructor(histogram);
        registry.register(
            "call_seconds",
            "Time of calls at the entry, by how they ended",
            times.clone(),
        );
        let calls = CallEnd::ALL.iter().map(|end| {
            let labels = [("end", end.as_str().to_owned())];
            times.get_or_create_owned(&labels)
        });
        let calls = calls.collect();
        let (queue, upstream) = (histogram(), histogram());
        registry.register(
            "gate_queue_seconds",
            "Time from a request's arrival at the gate to its slot or refusal",
            queue.clone(),
        );
        registry.register(
            "gate_upstream_seconds",
            "Time of answered requests at the upstream",
            upstream.clone(),
        );
        let gauges = Gauges::new(&mut registry);
        Self {
            registry,
            unlabelled,
            not_run,
            unknown,
            retries,
            gauges,
            calls,
            queue,
            upstream,
        }
    }

    /// Record the duration of a call, in microseconds.
    pub fn record_call_time(&self, end: CallEnd, micros: u64) {
        self.calls[end as usize].observe(micros as f64 / SECOND_MICROS);
    }

    /// Record the time from arrival at the gate to permit or refusal, in microseconds.
    pub fn record_queue_time(&self, micros: u64) {
        self.queue.observe(micros as f64 / SECOND_MICROS);
    }

    /// Record the service time of an answered request, in microseconds.
    pub fn record_upstream_time(&self, micros: u64) {
        self.upstream.observe(micros as f64 / SECOND_MICROS);
    }

    /// Increment a counter.
    pub fn count(&self, id: CounterId) {
        self.add(id, 1);
    }

    /// Add `number` to a counter.
    pub fn add(&self, id: CounterId, number: u64) {
        self.unlabelled[id as usize].inc_by(number);
    }

    /// Return the value of a counter.
    #[must_use]
    pub fn value(&self, id: CounterId) -> u64 {
        self.unlabelled[id as usize].get()
    }

    /// Count a refusal to a caller.
    pub fn count_refusal(&self, refusal: Refusal) {
        match refusal {
            Refusal::NotRun(not_run) => self.not_run[not_run.reason() as usize].inc(),
            Refusal::Unknown(reason) => self.unknown[reason as usize].inc(),
        };
    }

    /// Count a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries[reason as usize].inc();
    }

    /// Write all metrics in the text exposition format.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to `f` fails.
    pub fn write(&self, f: &mut impl fmt::Write) -> fmt::Result {
        encode(f, &self.registry)
    }
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS_S)
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
