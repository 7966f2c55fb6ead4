//! What became of a call, for the log and the histograms.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::board::Candidate;
use crate::daemon::Node;
use crate::entry::attempt::AttemptCx;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::events::CallRecord;
use crate::events::Event;
use crate::events::OfferRecord;
use crate::metrics::CallEnd;
use mustardtiller_config::Kind;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::ServiceName;

/// Status from which an answer is an upstream's error.
const ERROR_STATUS: u16 = 500;

/// Identity of a call that brings none.
const NO_ID: &str = "-";

/// An offer as it was decided.
#[derive(Clone, Debug)]
struct Offered {
    candidate: Arc<Candidate>,
    queue_mode: QueueMode,
    reported: u32,
    report_age_micros: u64,
    latency_micros: u32,
    error_milli: u32,
    refusal: Option<Refusal>,
}

/// The way of one call. Nothing is put into words before it is known to be told.
#[derive(Debug, Default)]
pub struct Trace {
    kind: Option<Arc<Kind>>,
    service: Option<ServiceName>,
    target: Option<Deadline>,
    deadline: Option<Deadline>,
    offers: SmallVec<[Offered; 5]>,
}

impl Trace {
    /// Note where the call goes and until when it is wanted.
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

    /// Note an offer and the signals that spoke for it. Returns its index.
    pub fn offer(&mut self, cx: AttemptCx<'_>, candidate: &Arc<Candidate>) -> usize {
        let sample = candidate.sample(cx.node.clock.now());
        self.offers.push(Offered {
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

    /// Note why an offer brought no answer.
    pub fn refused(&mut self, offer: usize, refusal: Refusal) {
        self.offers[offer].refusal = Some(refusal);
    }

    /// Count the call, and log it if it went wrong.
    pub fn finish(&self, node: &Node, call: &Call, result: &Result<Answer, Refusal>) {
        let now = node.clock.now();
        let late = self.target.is_some_and(|target| target.has_passed(now));
        let (event, end) = match result {
            Err(Refusal::NotRun(_)) => (Some(Event::CallRefused), CallEnd::NotRun),
            Err(Refusal::Unknown(_)) => (Some(Event::CallRefused), CallEnd::Unknown),
            Ok(answer) if answer.head.status >= ERROR_STATUS => {
                (Some(Event::CallFailed), CallEnd::Error)
            }
            Ok(_) if late => (Some(Event::CallLate), CallEnd::Late),
            Ok(_) => (None, CallEnd::InTime),
        };
        let micros = now.micros_since(call.began);
        node.metrics.time_call(end, micros);
        let Some(event) = event else {
            return;
        };
        let mut headers = call.headers.iter();
        let id = headers.find(|header| header.name == node.dialect.request_id);
        let id = id.map_or(NO_ID.as_bytes(), |header| header.value.as_ref());
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
        let configuration = node.board.configuration.read();
        let revision = configuration
            .as_ref()
            .as_ref()
            .map_or(0, |c| c.version.revision);
        let (outcome, reason, status) = match result {
            Ok(answer) => ("answered", "", answer.head.status),
            Err(refusal) => (refusal.class_text(), refusal.reason_text(), 0),
        };
        let target = self.target.map_or(0, |target| {
            target.instant().as_micros() as i64 - now.as_micros() as i64
        });
        let left = self
            .deadline
            .map_or(0, |deadline| deadline.remaining(now).as_millis());
        event.record(&CallRecord {
            id,
            kind: self.kind.as_ref().map_or("", |kind| kind.name.as_str()),
            service: self.service.as_ref().map_or("", ServiceName::as_str),
            revision,
            outcome,
            reason,
            status,
            elapsed_ms: now.micros_since(call.began) / 1_000,
            target_left_ms: target / 1_000,
            left_ms: left as u64,
            offers: &offers,
        });
    }
}

fn offer_record(offered: &Offered) -> OfferRecord {
    OfferRecord {
        upstream: offered.candidate.upstream.name.to_string(),
        may_wait: offered.queue_mode == QueueMode::Queue,
        reported: offered.reported,
        report_age_ms: offered.report_age_micros / 1_000,
        latency_ms: offered.latency_micros / 1_000,
        error_milli: offered.error_milli,
        result: offered
            .refusal
            .map_or("answered", |refusal| refusal.reason_text()),
    }
}
