//! The reasons for a refusal, as closed sets.

use std::fmt;

macro_rules! reasons {
    ($(#[$doc:meta])* $name:ident { $($(#[$vdoc:meta])* $variant:ident = $code:literal $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl $name {
            /// Every reason, in order of the codes.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Return the stable code used between processes.
            #[must_use]
            pub const fn code(self) -> u8 {
                match self { $(Self::$variant => $code,)* }
            }

            /// Return the reason with this code, or `None` for an unknown one.
            #[must_use]
            pub const fn from_code(code: u8) -> Option<Self> {
                match code { $($code => Some(Self::$variant),)* _ => None }
            }

            /// Return the text used in headers and metric labels.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons!(
    /// Why a request was refused without having run on any upstream.
    NotRunReason {
        /// No service is configured for the host of the request.
        NoService = 1 "no-service",
        /// No kind of the service matches the method and path.
        NoKind = 2 "no-kind",
        /// No upstream of the service can be chosen.
        NoUpstream = 3 "no-upstream",
        /// No connection to the chosen upstream's daemon could be made.
        Unreachable = 4 "unreachable",
        /// The link has reached its limit of streams.
        LinkFull = 5 "link-full",
        /// The deadline passed before the first byte was sent.
        DeadlinePassed = 6 "deadline-passed",
        /// The upstream is leaving.
        Leaving = 7 "leaving",
        /// The gate's queue is full.
        QueueFull = 8 "queue-full",
        /// The caller holds more than its fair share while others wait.
        ShareExceeded = 9 "share-exceeded",
        /// The gate could not connect to its upstream.
        UpstreamDown = 10 "upstream-down",
        /// The gate serves another upstream than the request names.
        WrongUpstream = 11 "wrong-upstream",
        /// The token is malformed.
        BadToken = 12 "bad-token",
        /// The gate's token ledger is full; this token is void.
        LedgerFull = 13 "ledger-full",
        /// The token was voided by an earlier refusal.
        TokenVoid = 14 "token-void",
        /// The request is malformed or exceeds a limit.
        BadRequest = 15 "bad-request",
        /// The caller ended the connection within the body; nothing reached an upstream.
        BodyCut = 16 "body-cut",
        /// The daemon has accepted no configuration yet.
        NoConfiguration = 17 "no-configuration",
        /// The kind of request needs a token and there is none.
        TokenNeeded = 18 "token-needed",
        /// The upstream reported that it did not run the request.
        UpstreamShed = 19 "upstream-shed",
        /// The request can no longer be answered in time.
        TooLate = 20 "too-late",
        /// The body exceeds the limit in force.
        BodyTooLarge = 21 "body-too-large",
        /// The gate has no free slot at the moment, or its upstream is slow.
        Busy = 22 "busy",
        /// The entry has as many connections with a request in flight as it may hold.
        EntryFull = 23 "entry-full",
        /// The upstream takes only so many requests a second, and these have started.
        RateLimited = 24 "rate-limited",
        /// The daemon holds as many bytes for others as it may.
        MemoryFull = 25 "memory-full",
        /// The data centre is out of service.
        Evacuated = 26 "evacuated",
        /// The request lost its place in the gate's full queue to one that goes before it.
        Displaced = 27 "displaced",
        /// The route of the request may not be served in this region.
        OutsideRegion = 30 "outside-region",
        /// The body arrived too slowly.
        BodyLate = 31 "body-late",
    }
);

reasons!(
    /// Why it is unknown whether a request ran.
    UnknownReason {
        /// The link to the upstream's daemon was lost with the request on it.
        LinkLost = 1 "link-lost",
        /// The peer of the link stopped responding with the request on it.
        LinkSilent = 2 "link-silent",
        /// The deadline passed after the request was sent.
        DeadlinePassed = 3 "deadline-passed",
        /// The upstream closed the connection without a complete answer.
        AnswerCut = 4 "answer-cut",
        /// The body was cut after some of it had reached the upstream.
        BodyCut = 5 "body-cut",
        /// The token's gate incarnation has been replaced.
        IncarnationGone = 6 "incarnation-gone",
        /// The token has expired and is no longer in the ledger.
        TokenExpired = 7 "token-expired",
        /// The token's minting time lies in the gate's future.
        TokenEarly = 8 "token-early",
        /// A request with the same token is running.
        InProgress = 9 "in-progress",
        /// The request ran, and its answer was not kept.
        AnswerNotKept = 10 "answer-not-kept",
        /// The token's gate could not be reached.
        GateUnreachable = 11 "gate-unreachable",
        /// The upstream's answer exceeds a limit or is malformed.
        BadAnswer = 12 "bad-answer",
        /// The token was used before for another request.
        TokenReused = 13 "token-reused",
    }
);
