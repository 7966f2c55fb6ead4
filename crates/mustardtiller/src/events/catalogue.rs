//! The events that the daemon logs; `docs/EVENTS.md` explains each of them.

use std::fmt::Display;

/// The severity of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventLevel {
    /// Normal operation.
    Info,
    /// Needs an operator's attention.
    Warn,
    /// Something was lost or refused.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $number:literal $level:ident $text:literal,)*) => {
        /// A log event with a stable number.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $variant,)*
        }

        impl Event {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Return the stable number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// Return the severity of the event.
            #[must_use]
            pub const fn level(self) -> EventLevel {
                match self { $(Self::$variant => EventLevel::$level,)* }
            }

            /// Return the event's text.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

events!(
    /// The daemon started.
    Started = 100 Info "daemon started",
    /// A planned stop was requested.
    StopRequested = 101 Info "stop requested",
    /// The daemon has stopped and exits.
    Stopped = 102 Info "daemon stopped",
    /// The deadline of a planned stop passed with work in flight.
    StopTimedOut = 103 Error "stop deadline passed with work in flight",
    /// A listener failed to accept a connection.
    AcceptFailed = 104 Warn "failed to accept connection",
    /// The settings were reloaded.
    Reloaded = 105 Info "settings reloaded",
    /// The reloaded settings are invalid and were not applied.
    ReloadRefused = 106 Error "settings reload refused",
    /// A configuration was accepted and is in force.
    ConfigAccepted = 200 Info "configuration accepted",
    /// A configuration was refused; no part of it is in force.
    ConfigRefused = 201 Error "configuration refused",
    /// Two configurations with different contents have the same revision.
    ConfigConflict = 202 Warn "two configurations have the same revision",
    /// An older configuration was offered and ignored.
    ConfigOlder = 203 Info "older configuration ignored",
    /// The platform's configuration service could not be read.
    PlatformFailed = 204 Warn "failed to read configuration service",
    /// The host list could not be read.
    HostsFailed = 205 Warn "failed to read host list",
    /// The host list has a malformed line.
    HostsMalformed = 206 Warn "host list malformed",
    /// The configuration does not name this daemon's upstream.
    NotConfigured = 207 Warn "own upstream is not in the configuration",
    /// The registered upstreams could not be read.
    RegistryFailed = 208 Warn "failed to read registered upstreams",
    /// A registration is malformed and was ignored.
    RegistrationMalformed = 209 Warn "registration malformed",
    /// An upstream registered or changed its registration.
    UpstreamRegistered = 210 Info "upstream registered",
    /// An upstream is no longer registered.
    UpstreamUnregistered = 211 Info "upstream no longer registered",
    /// The platform has an earlier revision than the registry held.
    RevisionFell = 212 Warn "platform is at an earlier revision",
    /// The platform has come back from a copy.
    PlatformReturned = 213 Warn "platform came back from a copy",
    /// The data centre was taken out of service; its gates refuse.
    Evacuated = 220 Info "data centre evacuated",
    /// The data centre was taken back into service.
    TakenBack = 221 Info "data centre taken back",
    /// A link was established.
    LinkUp = 300 Info "link up",
    /// A link was lost.
    LinkLost = 301 Warn "link lost",
    /// A link with requests in flight went silent and was closed.
    LinkSilent = 302 Warn "link silent",
    /// A peer sent a malformed frame.
    FrameMalformed = 303 Warn "frame malformed",
    /// A peer's handshake was refused.
    HandshakeRefused = 304 Warn "handshake refused",
    /// A malformed datagram was received.
    DatagramMalformed = 305 Warn "datagram malformed",
    /// The upstream is leaving.
    UpstreamLeaving = 400 Info "upstream leaving",
    /// The upstream is no longer leaving.
    UpstreamBack = 401 Info "upstream back",
    /// The upstream's load could not be measured.
    MeasurementFailed = 402 Warn "failed to measure upstream load",
    /// An upstream was ejected because of its error rate.
    UpstreamEjected = 403 Warn "upstream ejected",
    /// The token ledger is full.
    LedgerFull = 404 Error "token ledger full",
    /// The upstream beside this daemon was identified, or has changed.
    OwnUpstreamIdentified = 405 Info "own upstream identified",
    /// The upstream beside this daemon is unreachable.
    UpstreamDown = 406 Warn "own upstream down",
    /// The upstream beside this daemon is reachable again.
    UpstreamUp = 407 Info "own upstream up",
    /// The gate changed its limit of concurrent requests to the upstream.
    LimitChanged = 408 Info "concurrency limit changed",
    /// The upstream named a rate of requests that it takes, or another one.
    StartRateNamed = 409 Info "upstream named a request rate",
    /// The upstream takes requests without a limit again.
    StartRateEnded = 410 Info "upstream names no request rate",
    /// The upstream says that it is cold; its gate keeps to the rate that it bears.
    UpstreamCold = 411 Info "upstream cold",
    /// The upstream says that it is warm again.
    UpstreamWarm = 412 Info "upstream warm",
    /// The upstream sheds requests although it has room; entries avoid it for a while.
    UpstreamSheds = 414 Warn "upstream sheds requests with slots free",
    /// The gate learned which kinds of request are made by runs of others.
    NestedKindsLearned = 415 Info "kinds of nested calls learned",
    /// A caller's request was malformed.
    RequestMalformed = 500 Info "request malformed",
    /// The HTTP library rejected the head of a request, and answered it itself.
    HeadRejected = 501 Info "request head rejected",
    /// No route or kind in force matches a request.
    RouteMissing = 502 Info "no route matches",
    /// A request was refused before its body was read.
    RequestUnread = 503 Info "request refused unread",
    /// A call ended without the upstream's answer.
    CallRefused = 510 Warn "call not answered",
    /// A call was answered with an error status of the upstream.
    CallFailed = 511 Warn "call answered with an error",
    /// A call was answered after its target.
    CallLate = 512 Info "call answered late",
    /// The gate refused a request.
    GateRefused = 520 Info "gate refused a request",
    /// The gate sent a request whose outcome is unknown.
    GateOutcomeUnknown = 521 Warn "request sent, outcome unknown",
    /// Log lines about requests were dropped.
    LinesDropped = 900 Warn "log lines dropped",
    /// A task panicked; it ended, and the daemon goes on.
    TaskPanicked = 901 Error "task panicked",
    /// A controller panicked; the daemon stops gracefully.
    ControllerPanicked = 902 Error "controller panicked",
    /// Tasks ran later than they were due.
    TasksDelayed = 903 Warn "tasks delayed",
    /// Bytes were refused, since the daemon holds as many for others as it may.
    MemoryFull = 904 Warn "memory for others is full",
);

impl EventLevel {
    /// Return the corresponding level of the `log` crate.
    #[must_use]
    pub const fn filter(self) -> log::Level {
        match self {
            Self::Info => log::Level::Info,
            Self::Warn => log::Level::Warn,
            Self::Error => log::Level::Error,
        }
    }
}

impl Event {
    /// Log the event with a detail text.
    pub fn log(self, detail: impl Display) {
        let detail = serde_json::Value::String(detail.to_string());
        self.write(format_args!(",\"detail\":{detail}"));
    }

    /// Write a log line with additional JSON fields, each preceded by a comma.
    pub(super) fn write(self, fields: std::fmt::Arguments<'_>) {
        let (number, text) = (self.number(), self.text());
        let level = self.level().filter();
        log::log!(level, "\"event\":\"E{number}\",\"text\":\"{text}\"{fields}");
    }
}
