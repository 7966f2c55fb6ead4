//! Trace of a call's offers and outcome, for the log and the histograms.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::daemon::Node;
use crate::entry::attempt::AttemptCx;
use crate::entry::attempt::MIN_ERROR_STATUS;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::events::CallRecord;
use crate::events::Event;
use crate::events::MISSING_ID;
use crate::events::MissRecord;
use crate::events::OfferRecord;
use crate::metrics::CallEnd;
use mustardtiller_config::Kind;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::ReturnTime;
use mustardtiller_core::ServiceName;
use mustardtiller_core::Version;

/// Longest part of a host or path that is logged, in characters.
const MAX_LOGGED_CHARS: usize = 200;

/// One offer to a gate, with the signals it was based on.
#[derive(Clone, Debug)]
struct OfferTrace {
    candidate: Arc<Candidate>,
    queue_mode: QueueMode,
    reported: u32,
    report_age_micros: u64,
    latency_micros: u32,
    error_milli: u32,
    refusal: Option<Refusal>,
}

/// Trace of one call. Log fields are formatted only if the call is logged.
#[derive(Debug, Default)]
pub struct Trace {
    kind: Option<Arc<Kind>>,
    service: Option<ServiceName>,
    target: Option<Deadline>,
    deadline: Option<Deadline>,
    offers: SmallVec<[OfferTrace; 5]>,
    return_time: Option<ReturnTime>,
}

impl Trace {
    /// Record the call's kind, service, target and deadline.
    pub fn begin(
        &mut self,
        kind: &Arc<Kind>,
        service: &ServiceName,
        target: Deadline,
        deadline: Deadline,
    ) {
        self.kind = Some(Arc::clone(kind));
        self.service = Some(service.clone());
        self.target = Some(target);
        self.deadline = Some(deadline);
    }

    /// Record when the caller should come back.
    pub const fn note_return(&mut self, time: Option<ReturnTime>) {
        self.return_time = time;
    }

    /// Return when the caller should come back, if that is known.
    #[must_use]
    pub const fn return_time(&self) -> Option<ReturnTime> {
        self.return_time
    }

    /// Record an offer with the candidate's signals, and return its index.
    pub fn record_offer(&mut self, cx: AttemptCx<'_>, candidate: &Arc<Candidate>) -> usize {
        let sample = candidate.sample(cx.node.clock.now());
        self.offers.push(OfferTrace {
            candidate: Arc::clone(candidate),
            queue_mode: cx.queue_mode,
            reported: sample.reported,
            report_age_micros: sample.report_age_micros,
            latency_micros: sample.latency_micros,
            error_milli: sample.error_milli,
            refusal: None,
        });
        self.offers.len() - 1
    }

    /// Record why an offer got no answer.
    pub fn record_refusal(&mut self, offer: usize, refusal: Refusal) {
        self.offers[offer].refusal = Some(refusal);
    }

    /// Count and time the call; log it if refused, failed or late.
    pub fn finish(&self, node: &Node, call: &Call, result: &Result<Answer, Refusal>) {
        let now = node.clock.now();
        let late = self.target.is_some_and(|target| target.has_passed(now));
        let (event, end) = match result {
            Err(Refusal::NotRun(_)) => (Some(Event::CallRefused), CallEnd::NotRun),
            Err(Refusal::Unknown(_)) => (Some(Event::CallRefused), CallEnd::Unknown),
            Ok(answer) if answer.head.status >= MIN_ERROR_STATUS => {
                (Some(Event::CallFailed), CallEnd::Error)
            }
            Ok(_) if late => (Some(Event::CallLate), CallEnd::Late),
            Ok(_) => (None, CallEnd::InTime),
        };
        let micros = now.micros_since(call.received_at);
        node.metrics.record_call_time(end, micros);
        let Some(event) = event else {
            return;
        };
        let mut headers = call.headers.iter();
        let id = headers.find(|header| header.name == node.dialect.request_id);
        let id = id.map_or(MISSING_ID.as_bytes(), |header| header.value.as_ref());
        if is_miss(result) && node.may_log_rejection(id) {
            let version = version_of(node);
            Event::RouteMissing.record(&MissRecord {
                id: &String::from_utf8_lossy(id),
                host: start_of(&call.host),
                path: start_of(call.path()),
                serial: version.serial,
                revision: version.revision,
            });
        }
        if node.may_log(id) {
            self.log(node, event, &String::from_utf8_lossy(id), call, result, now);
        }
    }

    fn log(
        &self,
        node: &Node,
        event: Event,
        id: &str,
        call: &Call,
        result: &Result<Answer, Refusal>,
        now: Instant,
    ) {
        let offers: SmallVec<[OfferRecord; 5]> = self.offers.iter().map(offer_record).collect();
        let (outcome, reason, status) = match result {
            Ok(answer) => ("answered", "", answer.head.status),
            Err(refusal) => (refusal.class_text(), refusal.reason_text(), 0),
        };
        let target_left_micros = self.target.map_or(0, |target| {
            target.instant().as_micros() as i64 - now.as_micros() as i64
        });
        let left_ms = self
            .deadline
            .map_or(0, |deadline| deadline.remaining(now).as_millis());
        let version = version_of(node);
        event.record(&CallRecord {
            id,
            kind: self.kind.as_ref().map_or("", |kind| kind.name.as_str()),
            service: self.service.as_ref().map_or("", ServiceName::as_str),
            serial: version.serial,
            revision: version.revision,
            outcome,
            reason,
            status,
            elapsed_ms: now.micros_since(call.received_at) / 1_000,
            target_left_ms: target_left_micros / 1_000,
            left_ms: left_ms as u64,
            offers: &offers,
        });
    }
}

/// Report whether it is proved that no route or kind matches a call.
fn is_miss(result: &Result<Answer, Refusal>) -> bool {
    let Err(Refusal::NotRun(not_run)) = result else {
        return false;
    };
    matches!(
        not_run.reason(),
        NotRunReason::NoKind | NotRunReason::NoService
    )
}

/// Return the version of the configuration in force.
fn version_of(node: &Node) -> Version {
    let configuration = node.board.configuration.read();
    let configuration = configuration.as_ref().as_ref();
    configuration.map_or(Version::NONE, |configuration| configuration.version)
}

/// Return the start of a caller's text, for a log line of bounded length.
fn start_of(text: &str) -> &str {
    let end = text.char_indices().nth(MAX_LOGGED_CHARS);
    end.map_or(text, |(end, _)| &text[..end])
}

fn offer_record(offer: &OfferTrace) -> OfferRecord {
    OfferRecord {
        upstream: offer.candidate.upstream.name.to_string(),
        may_wait: offer.queue_mode == QueueMode::Queue,
        reported: offer.reported,
        report_age_ms: offer.report_age_micros / 1_000,
        latency_ms: offer.latency_micros / 1_000,
        error_milli: offer.error_milli,
        result: offer
            .refusal
            .map_or("answered", |refusal| refusal.reason_text()),
    }
}
