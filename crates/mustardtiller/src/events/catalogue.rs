//! Every event that the daemon logs. `docs/EVENTS.md` says what each means.

use std::fmt::Display;

/// How grave an event is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventLevel {
    /// Part of ordinary work.
    Info,
    /// To be looked at.
    Warn,
    /// Something is lost or refused.
    Error,
}

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $number:literal $level:ident $text:literal,)*) => {
        /// An event with a stable number.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum Event {
            $($(#[$doc])* $variant,)*
        }

        impl Event {
            /// Every event, by number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Return the stable number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// Return how grave the event is.
            #[must_use]
            pub const fn level(self) -> EventLevel {
                match self { $(Self::$variant => EventLevel::$level,)* }
            }

            /// Return what happened.
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
    /// The daemon was asked to stop.
    StopRequested = 101 Info "stop asked",
    /// The daemon is empty and exits.
    Stopped = 102 Info "daemon stopped",
    /// The stop's deadline passed with work in flight.
    StopTimedOut = 103 Error "stop cut work in flight",
    /// A listener failed to accept a connection.
    AcceptFailed = 104 Warn "connection not accepted",
    /// The settings were read again.
    Reloaded = 105 Info "settings read again",
    /// The settings were read again and are not taken.
    ReloadRefused = 106 Error "changed settings refused",
    /// A configuration is in force.
    ConfigAccepted = 200 Info "configuration accepted",
    /// A configuration was refused whole.
    ConfigRefused = 201 Error "configuration refused",
    /// Two contents were seen under one revision.
    ConfigConflict = 202 Warn "two configurations have one revision",
    /// An older configuration was offered and not taken.
    ConfigOlder = 203 Info "older configuration not taken",
    /// The platform's configuration service could not be read.
    PlatformFailed = 204 Warn "configuration service not read",
    /// The host list could not be read.
    HostsFailed = 205 Warn "host list not read",
    /// The host list has a line that makes no sense.
    HostsMalformed = 206 Warn "host list malformed",
    /// The configuration does not name this daemon's upstream.
    NotConfigured = 207 Warn "own upstream is not in the configuration",
    /// The registered upstreams could not be read.
    RegistryFailed = 208 Warn "registered upstreams not read",
    /// A registration makes no sense and is not used.
    RegistrationMalformed = 209 Warn "registration malformed",
    /// An upstream registered or changed its registration.
    UpstreamRegistered = 210 Info "upstream registered",
    /// An upstream is no longer registered.
    UpstreamUnregistered = 211 Info "upstream no longer registered",
    /// A link came up.
    LinkUp = 300 Info "link up",
    /// A link was lost.
    LinkLost = 301 Warn "link lost",
    /// A link went silent with work on it.
    LinkSilent = 302 Warn "link silent",
    /// A peer sent a frame that makes no sense.
    FrameMalformed = 303 Warn "frame malformed",
    /// A peer's handshake was refused.
    HandshakeRefused = 304 Warn "handshake refused",
    /// A datagram makes no sense.
    DatagramMalformed = 305 Warn "datagram malformed",
    /// The upstream is leaving.
    UpstreamLeaving = 400 Info "upstream leaving",
    /// The upstream is back.
    UpstreamBack = 401 Info "upstream back",
    /// The upstream's load could not be measured.
    MeasureFailed = 402 Warn "load not measured",
    /// An upstream rests because of its errors.
    UpstreamEjected = 403 Warn "upstream rests",
    /// The token ledger is full.
    LedgerFull = 404 Error "token ledger full",
    /// The upstream beside this daemon is known, or another than before.
    LocalUpstream = 405 Info "own upstream",
    /// The upstream beside this daemon can't be reached.
    UpstreamDown = 406 Warn "own upstream down",
    /// The upstream beside this daemon can be reached again.
    UpstreamUp = 407 Info "own upstream up",
    /// The gate fills another number of the upstream's slots than before.
    SlotsFilled = 408 Info "slots filled",
    /// A caller's request was malformed.
    RequestMalformed = 500 Info "request malformed",
    /// A call ended without the upstream's answer.
    CallRefused = 510 Warn "call not answered",
    /// A call was answered with an upstream's error.
    CallFailed = 511 Warn "call answered with an error",
    /// A call was answered after its target.
    CallLate = 512 Info "call answered late",
    /// The gate refused a request.
    GateRefused = 520 Info "gate refused a request",
    /// A request that the gate sent has no good end.
    GateOutcomeUnknown = 521 Warn "request sent without a good end",
    /// Lines about requests were left out.
    LinesDropped = 900 Warn "log lines left out",
);

impl EventLevel {
    /// Return the level of the line.
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
    /// Log the event with its particulars as text.
    pub fn log(self, detail: impl Display) {
        let detail = serde_json::Value::String(detail.to_string());
        self.write(format_args!(",\"detail\":{detail}"));
    }

    /// Write a line with further fields, each behind a comma.
    pub(super) fn write(self, fields: std::fmt::Arguments<'_>) {
        let (number, text) = (self.number(), self.text());
        let level = self.level().filter();
        log::log!(level, "\"event\":\"E{number}\",\"text\":\"{text}\"{fields}");
    }
}
