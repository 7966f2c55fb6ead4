//! One attempt to run a call on one upstream, through its gate.

use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use smol::future;

use crate::board::Candidate;
use crate::body::ChunkSource;
use crate::body::next_chunk;
use crate::daemon::Node;
use crate::entry::call::Answer;
use crate::entry::call::AnswerChunks;
use crate::entry::call::Call;
use crate::entry::call::CallBody;
use crate::entry::call::InFlight;
use crate::link::ClientStream;
use crate::link::LinkHandle;
use crate::link::Reply;
use crate::link::StreamDeadlines;
use mustardtiller_config::Kind;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRun;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::Sent;
use mustardtiller_core::SuspicionRule;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Unsent;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::BodyFraming;
use mustardtiller_wire::RequestHead;
use mustardtiller_wire::WireToken;

/// Largest body sent inline with the request head, in bytes: one chunk.
const MAX_HEAD_BODY_BYTES: usize = 16 * 1024;

/// Lowest status that counts as an upstream error.
pub(super) const MIN_ERROR_STATUS: u16 = 500;

/// Context of an attempt, apart from the call itself.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCx<'a> {
    /// Shared state of the daemon.
    pub node: &'a Arc<Node>,
    /// The kind of the call.
    pub kind: &'a Kind,
    /// Deadline of the call, after which the caller no longer waits.
    pub deadline: Deadline,
    /// Latest time at which an answer counts as in time.
    pub target: Deadline,
    /// Whether the attempt is a retry, or was caused by one at an outer depth.
    pub retried: bool,
    /// Whether the gate may queue the attempt.
    pub queue_mode: QueueMode,
}

impl AttemptCx<'_> {
    /// Return the deadline with which the call may be offered now.
    ///
    /// # Errors
    ///
    /// Returns the reason if this daemon stops, and might cut the call.
    pub fn work_deadline(&self) -> Result<Deadline, NotRunReason> {
        let times = &self.node.board.call_times;
        let (kind, node) = (self.kind, self.node);
        node.work_deadline(self.deadline, kind.idempotent, kind.digest(), times)
    }
}

/// Reason why an attempt got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// This entry refused before it sent anything.
    Unsent(NotRun),
    /// The gate refused the request.
    Refused(Refusal),
    /// The request was sent and no reply came back.
    Lost(Refusal),
}

impl AttemptError {
    /// Combine with another attempt at the same call that may have run.
    ///
    /// If it may, the call's outcome is unknown although this attempt did not run.
    pub const fn after(self, other: Option<UnknownReason>) -> Self {
        match self {
            Self::Lost(refusal) => Self::Lost(refusal),
            Self::Unsent(_) | Self::Refused(_) if other.is_none() => self,
            Self::Unsent(_) | Self::Refused(_) => Self::Refused(self.refusal().after(other)),
        }
    }

    /// Return the refusal, whether it came from this entry or from the gate.
    pub const fn refusal(self) -> Refusal {
        match self {
            Self::Unsent(not_run) => Refusal::NotRun(not_run),
            Self::Refused(refusal) | Self::Lost(refusal) => refusal,
        }
    }
}

/// Run a call on one upstream.
///
/// A link that is replaced keeps its requests. If it then stays silent and the gate
/// states that it never read the request, the request is sent once more, on the link
/// that has taken its place.
///
/// # Errors
///
/// Returns why there is no answer. Once an attempt has begun to read a streamed
/// body, the body can't be sent again.
pub async fn attempt(
    cx: AttemptCx<'_>,
    unsent: Unsent,
    candidate: &Arc<Candidate>,
    call: &mut Call,
) -> Result<Answer, AttemptError> {
    match attempt_on_link(cx, unsent, candidate, call).await {
        Err(AttemptError::Refused(refusal)) if was_never_read(refusal) => {
            attempt_on_link(cx, Attempt::begin(), candidate, call).await
        }
        result => result,
    }
}

/// Report whether a request was lost with its link before the gate read it.
fn was_never_read(refusal: Refusal) -> bool {
    match refusal {
        Refusal::NotRun(not_run) => not_run.reason() == NotRunReason::Unreachable,
        Refusal::Unknown(_) => false,
    }
}

async fn attempt_on_link(
    cx: AttemptCx<'_>,
    unsent: Unsent,
    candidate: &Arc<Candidate>,
    call: &mut Call,
) -> Result<Answer, AttemptError> {
    let now = cx.node.clock.now();
    if cx.deadline.has_passed(now) {
        return Err(AttemptError::Unsent(
            unsent.refuse(NotRunReason::DeadlinePassed),
        ));
    }
    let Some(link) = candidate.link_slot.get() else {
        return Err(AttemptError::Unsent(
            unsent.refuse(NotRunReason::Unreachable),
        ));
    };
    if !cx.kind.idempotent && link.is_quiet(now) && !link.probe_alive(cx.node.clock).await {
        return Err(AttemptError::Unsent(
            unsent.refuse(NotRunReason::Unreachable),
        ));
    }
    let head = request_head(cx, candidate, call);
    let in_flight = InFlight::begin(candidate, cx.node.clock);
    let deadlines = StreamDeadlines {
        deadline: cx.deadline,
        target: cx.target,
    };
    let opened = link.open(unsent, head, deadlines, cx.node.clock.now());
    let (sent, stream) = match opened {
        Ok(opened) => opened,
        Err(e) => return Err(AttemptError::Unsent(e.unsent.refuse(e.reason))),
    };
    let exchanging = exchange(stream, &mut call.body);
    let exchange_result = watched(cx, candidate, &link, exchanging).await;
    conclude(cx.node, sent, exchange_result, in_flight)
}

/// Run an exchange until the deadline, and report the link each time it is overdue.
async fn watched(
    cx: AttemptCx<'_>,
    candidate: &Candidate,
    link: &LinkHandle,
    exchanging: impl Future<Output = ExchangeResult>,
) -> ExchangeResult {
    let rule = SuspicionRule::default();
    let clock = cx.node.clock;
    let mut exchanging = pin!(exchanging);
    loop {
        let usual_micros = u64::from(candidate.signals.latency_micros());
        let overdue = rule.overdue_at(usual_micros, clock.now()).min(cx.deadline);
        if let Some(result) = clock.within(overdue, exchanging.as_mut()).await {
            return result;
        }
        if cx.deadline.has_passed(clock.now()) {
            return ExchangeResult::Lost(UnknownReason::DeadlinePassed);
        }
        link.note_overdue();
    }
}

/// Result of an exchange over the link.
enum ExchangeResult {
    Answer {
        head: Box<AnswerHead>,
        bytes: Bytes,
        rest: Option<ClientStream>,
    },
    Refused(Verdict),
    Lost(UnknownReason),
}

fn conclude(
    node: &Node,
    sent: Sent,
    exchange_result: ExchangeResult,
    in_flight: InFlight,
) -> Result<Answer, AttemptError> {
    match exchange_result {
        ExchangeResult::Answer { head, bytes, rest } => {
            let error = head.status >= MIN_ERROR_STATUS;
            if error || rest.is_none() {
                check_error_rate(node, in_flight.record_answer(error));
            }
            let rest = rest.map(ClientStream::into_body);
            Ok(Answer {
                head: *head,
                chunks: AnswerChunks::new(bytes, rest, in_flight),
            })
        }
        ExchangeResult::Refused(verdict) => {
            if counts_as_error(verdict) {
                record_failure(node, &in_flight);
            }
            Err(AttemptError::Refused(sent.verdict(verdict)))
        }
        ExchangeResult::Lost(reason) => {
            record_failure(node, &in_flight);
            Err(AttemptError::Lost(sent.unknown(reason)))
        }
    }
}

const fn counts_as_error(verdict: Verdict) -> bool {
    match verdict {
        Verdict::NotRun(reason) => matches!(reason, NotRunReason::UpstreamDown),
        Verdict::Unknown(reason) => {
            matches!(
                reason,
                UnknownReason::AnswerCut | UnknownReason::DeadlinePassed
            )
        }
    }
}

fn record_failure(node: &Node, in_flight: &InFlight) {
    let rate = in_flight.candidate.signals.record_failure(node.clock.now());
    check_error_rate(node, rate.as_milli());
}

/// Wake the health controller if the error rate reaches the ejection threshold.
fn check_error_rate(node: &Node, rate_milli: u32) {
    let rule = mustardtiller_core::EjectionRule::default();
    if rate_milli >= rule.threshold_milli {
        node.board.unhealthy.notify(1);
    }
}

/// Send the body once the gate admits the request, and wait for the answer.
async fn exchange(mut stream: ClientStream, body: &mut CallBody) -> ExchangeResult {
    match (stream.reply().await, body) {
        (Reply::Admitted, body) => {
            let sender = stream.body_sender();
            let sending = async {
                match body {
                    CallBody::Buffered(bytes) => {
                        if sender.send(bytes.clone()).await {
                            sender.end();
                        }
                    }
                    CallBody::Streamed { source, .. } => send_body(&sender, source.as_mut()).await,
                }
                future::pending::<Reply>().await
            };
            let reply = future::or(stream.reply(), sending).await;
            exchange_result(reply, stream)
        }
        (reply, _) => exchange_result(reply, stream),
    }
}

async fn send_body(sender: &crate::link::BodySender, source: &mut dyn ChunkSource) {
    source.begin();
    loop {
        match next_chunk(source).await {
            Some(Ok(bytes)) => {
                if !sender.send(bytes).await {
                    return;
                }
            }
            Some(Err(_)) => return sender.cut(),
            None => return sender.end(),
        }
    }
}

fn exchange_result(reply: Reply, stream: ClientStream) -> ExchangeResult {
    match reply {
        Reply::Answer { head, bytes, last } => {
            let rest = (!last).then_some(stream);
            ExchangeResult::Answer { head, bytes, rest }
        }
        Reply::Refused(verdict) => ExchangeResult::Refused(verdict),
        Reply::Lost(reason) => ExchangeResult::Lost(reason),
        Reply::Admitted => ExchangeResult::Lost(UnknownReason::BadAnswer),
    }
}

fn request_head(cx: AttemptCx<'_>, candidate: &Candidate, call: &Call) -> RequestHead {
    let body = match &call.body {
        CallBody::Buffered(bytes) if bytes.is_empty() => BodyFraming::Empty,
        // A long body is sent in chunks after admission, so that it doesn't block other
        // requests on the link.
        CallBody::Buffered(bytes) if bytes.len() > MAX_HEAD_BODY_BYTES => BodyFraming::Streamed {
            length: Some(bytes.len() as u64),
        },
        CallBody::Buffered(bytes) => BodyFraming::Inline(bytes.clone()),
        CallBody::Streamed { length, .. } => BodyFraming::Streamed { length: *length },
    };
    RequestHead {
        upstream: candidate.upstream.name.to_string(),
        caller: call.caller.clone(),
        urgent: cx.kind.urgent,
        priority: cx.kind.priority,
        kind_digest: cx.kind.digest(),
        idempotent: cx.kind.idempotent,
        may_wait: cx.queue_mode == QueueMode::Queue,
        method: call.method.clone(),
        uri: call.uri.clone(),
        headers: call.headers.clone(),
        // `LinkHandle::open` sets both times, in the gate's time.
        deadline_micros: 0,
        target_micros: 0,
        token: call.token.as_ref().map(WireToken::from),
        depth: call.depth,
        retried: cx.retried,
        from_idle_host: call.from_idle_host,
        body,
    }
}
