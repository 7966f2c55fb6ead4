//! One attempt at running a call on one upstream.

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
use crate::link::Reply;
use crate::link::StreamDeadlines;
use mustardtiller_config::Kind;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRun;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::Sent;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Unsent;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::BodyFraming;
use mustardtiller_wire::RequestHead;
use mustardtiller_wire::WireToken;

/// Largest body that goes with the head of its request, in bytes: one piece.
const MAX_HEAD_BODY_BYTES: usize = 16 * 1024;

/// Status from which an answer counts as an upstream's error.
const ERROR_STATUS: u16 = 500;

/// What an attempt needs besides the call.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCx<'a> {
    /// The node.
    pub node: &'a Arc<Node>,
    /// The kind of the call.
    pub kind: &'a Kind,
    /// When the call stops being wanted.
    pub deadline: Deadline,
    /// Until when an answer has its full worth.
    pub target: Deadline,
    /// This attempt is a retry, or the call stems from one.
    pub retried: bool,
    /// How far the gate may keep the attempt waiting.
    pub queue_mode: QueueMode,
}

/// Why an attempt brought no answer, and who says so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptError {
    /// This entry sent nothing.
    Unsent(NotRun),
    /// The gate said so.
    Verdict(Refusal),
    /// The request was sent and nothing came back.
    Lost(Refusal),
}

impl AttemptError {
    /// Return the refusal, whoever says so.
    pub const fn refusal(self) -> Refusal {
        match self {
            Self::Unsent(not_run) => Refusal::NotRun(not_run),
            Self::Verdict(refusal) | Self::Lost(refusal) => refusal,
        }
    }
}

/// Run a call on one upstream.
///
/// # Errors
///
/// Returns why there is no answer. A streamed body is used up by the attempt once it was
/// begun.
pub async fn attempt(
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
    let Some(link) = candidate.slot.get() else {
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
    let load = InFlight::begin(candidate, cx.node.clock);
    let limits = StreamDeadlines {
        deadline: cx.deadline,
        target: cx.target,
    };
    let opened = link.open(unsent, head, limits, cx.node.clock.now());
    let (sent, stream) = match opened {
        Ok(opened) => opened,
        Err(e) => return Err(AttemptError::Unsent(e.unsent.refuse(e.reason))),
    };
    let running = exchange(stream, &mut call.body);
    let exchanged = cx.node.clock.within(cx.deadline, running).await;
    let exchanged = exchanged.unwrap_or(Exchanged::Lost(UnknownReason::DeadlinePassed));
    conclude(cx.node, sent, exchanged, load)
}

/// What came back over the link.
enum Exchanged {
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
    exchanged: Exchanged,
    load: InFlight,
) -> Result<Answer, AttemptError> {
    match exchanged {
        Exchanged::Answer { head, bytes, rest } => {
            let error = head.status >= ERROR_STATUS;
            if error || rest.is_none() {
                note_rate(node, load.record_answer(error));
            }
            let rest = rest.map(ClientStream::into_body);
            Ok(Answer {
                head: *head,
                pieces: AnswerChunks::new(bytes, rest, load),
            })
        }
        Exchanged::Refused(verdict) => {
            if counts_as_error(verdict) {
                fail(node, &load);
            }
            Err(AttemptError::Verdict(sent.verdict(verdict)))
        }
        Exchanged::Lost(reason) => {
            fail(node, &load);
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

fn fail(node: &Node, load: &InFlight) {
    let rate = load.candidate.signals.record_failure(node.clock.now());
    note_rate(node, rate.as_milli());
}

/// Wake the health controller if an error rate is high.
fn note_rate(node: &Node, rate_milli: u32) {
    let rule = mustardtiller_core::EjectionRule::default();
    if rate_milli >= rule.threshold_milli {
        node.board.unhealthy.notify(1);
    }
}

/// Send the body if the gate wants it, and wait for the answer.
async fn exchange(mut stream: ClientStream, body: &mut CallBody) -> Exchanged {
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
            exchanged(reply, stream)
        }
        (reply, _) => exchanged(reply, stream),
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

fn exchanged(reply: Reply, stream: ClientStream) -> Exchanged {
    match reply {
        Reply::Answer { head, bytes, last } => {
            let rest = (!last).then_some(stream);
            Exchanged::Answer { head, bytes, rest }
        }
        Reply::Refused(verdict) => Exchanged::Refused(verdict),
        Reply::Lost(reason) => Exchanged::Lost(reason),
        Reply::Admitted => Exchanged::Lost(UnknownReason::BadAnswer),
    }
}

fn request_head(cx: AttemptCx<'_>, candidate: &Candidate, call: &Call) -> RequestHead {
    let body = match &call.body {
        CallBody::Buffered(bytes) if bytes.is_empty() => BodyFraming::Empty,
        // A long body follows in pieces, once it is admitted, and holds up no other request.
        CallBody::Buffered(bytes) if bytes.len() > MAX_HEAD_BODY_BYTES => BodyFraming::Streamed {
            length: Some(bytes.len() as u64),
        },
        CallBody::Buffered(bytes) => BodyFraming::Buffered(bytes.clone()),
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
        deadline_micros: 0,
        target_micros: 0,
        token: call.token.as_ref().map(WireToken::from),
        depth: call.depth,
        retried: cx.retried,
        body,
    }
}
