//! The path of one request through the gate, from token check to answer.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use bytes::Bytes;

use crate::board::HeldGuard;
use crate::board::Holder;
use crate::body::hold;
use crate::daemon::Node;
use crate::events::Event;
use crate::events::GateRecord;
use crate::events::MISSING_ID;
use crate::gate::GateAnswer;
use crate::gate::GateBody;
use crate::gate::GateRequest;
use crate::gate::KeptAnswer;
use crate::metrics::CounterId;
use crate::upstream::exchange;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Presented;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Token;
use mustardtiller_core::Unsent;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// Largest answer body that is stored for repeats, in bytes.
const MAX_KEPT_ANSWER_BYTES: usize = 8 * 1024;

/// Run a request at the upstream unless it is refused.
pub async fn run_request(node: &Arc<Node>, req: GateRequest) -> GateAnswer {
    match req.token.clone() {
        Some(token) => run_once(node, &token, req).await,
        None => run(node, Attempt::begin(), req).await,
    }
}

/// Run a request with a token, at most once.
///
/// If the request ran before, the stored answer is repeated.
async fn run_once(node: &Arc<Node>, token: &Token, req: GateRequest) -> GateAnswer {
    let digest = digest_of(&req);
    match node.ledger.present(token.clone(), digest).await {
        Presented::Run => {
            let answer = run(node, Attempt::begin(), req).await;
            record_outcome(node, token, &answer);
            answer
        }
        Presented::AlreadyRan(kept) => {
            node.metrics.count(CounterId::AnswersRepeated);
            let KeptAnswer { head, bytes } = KeptAnswer::clone(&kept);
            GateAnswer::Buffered { head, bytes }
        }
        Presented::Refuse(verdict) => GateAnswer::Refused(verdict),
    }
}

/// Record a request's outcome in the token ledger.
fn record_outcome(node: &Node, token: &Token, answer: &GateAnswer) {
    match answer {
        GateAnswer::Refused(Verdict::NotRun(_)) => node.ledger.void(token.id),
        GateAnswer::Refused(Verdict::Unknown(reason)) => {
            node.ledger.mark_unknown(token.id, *reason);
        }
        GateAnswer::Buffered { head, bytes } if bytes.len() <= MAX_KEPT_ANSWER_BYTES => {
            let kept = keep_answer(node, head, bytes);
            node.ledger.finish(token.id, kept.map(Arc::new));
        }
        GateAnswer::Buffered { .. } | GateAnswer::Streamed { .. } => {
            node.ledger.finish(token.id, None);
        }
    }
}

/// Copy an answer for repeats of its request, if there is room for it.
fn keep_answer(node: &Node, head: &AnswerHead, bytes: &Bytes) -> Option<KeptAnswer> {
    let account = &node.board.held;
    let own = account.held_by(Holder::Ledger);
    let mut guard = HeldGuard::new(Arc::clone(account), Holder::Ledger);
    let admitted = guard.try_grow_beside(own, head_bytes(head) + bytes.len() as u64);
    admitted.then(|| KeptAnswer {
        head: head.clone(),
        bytes: hold(Bytes::copy_from_slice(bytes), guard),
    })
}

/// Return what an answer's head takes in memory, in bytes.
fn head_bytes(head: &AnswerHead) -> u64 {
    let header_bytes = |header: &Header| {
        let text = header.name.len() + header.value.len();
        (size_of::<Header>() + text) as u64
    };
    head.headers.iter().map(header_bytes).sum()
}

/// Admit a request and exchange it with the upstream.
async fn run(node: &Arc<Node>, unsent: Unsent, mut req: GateRequest) -> GateAnswer {
    let received_at = node.clock.now();
    let id = req.header(node.dialect.request_id).cloned();
    let (kind_digest, deadline, queue_mode) = (req.kind_digest, req.deadline, req.queue_mode);
    if deadline.has_passed(received_at) {
        return GateAnswer::refused(unsent.refuse(NotRunReason::DeadlinePassed));
    }
    if lacks_configuration(node) {
        return GateAnswer::refused(unsent.refuse(NotRunReason::NoConfiguration));
    }
    if let Err(reason) = deadline_in_force(node, &req) {
        return GateAnswer::refused(unsent.refuse(reason));
    }
    if node.settings.discovery.is_some() {
        let sources = &node.board.gate.sources;
        sources.count(req.kind_digest, &req.caller, req.from_idle_host);
    }
    let admitted = node.admission.admit(node, &req).await.and_then(|permit| {
        // A stop may have begun, or come closer to its end, while the request waited.
        req.deadline = deadline_in_force(node, &req)?;
        Ok(permit)
    });
    node.metrics
        .record_queue_time(node.clock.now().micros_since(received_at));
    let sent = admitted.is_ok();
    let answer = match admitted {
        Ok(permit) => exchange(node, unsent, req, permit).await,
        Err(reason) => GateAnswer::refused(unsent.refuse(reason)),
    };
    // If the request may not wait, its entry offers it to another gate at once and
    // logs the refusal itself.
    let logged_here = sent || queue_mode == QueueMode::Queue;
    if let GateAnswer::Refused(verdict) = &answer
        && logged_here
    {
        let id = id.as_deref().unwrap_or(MISSING_ID.as_bytes());
        if node.may_log(id) {
            log_refusal(node, id, sent, *verdict, kind_digest, received_at, deadline);
        }
    }
    answer
}

/// Return the deadline with which a request may start, or why it may not.
fn deadline_in_force(node: &Node, req: &GateRequest) -> Result<Deadline, NotRunReason> {
    let times = &node.board.gate.longest;
    node.work_deadline(req.deadline, req.idempotent, req.kind_digest, times)
}

/// Report whether the gate can't know yet which limits its upstream's service has.
///
/// After a restart it might send a cold upstream more than it bears.
fn lacks_configuration(node: &Node) -> bool {
    node.settings.discovery.is_some() && node.board.configuration.read().is_none()
}

fn log_refusal(
    node: &Node,
    id: &[u8],
    sent: bool,
    verdict: Verdict,
    kind_digest: u32,
    received_at: Instant,
    deadline: Deadline,
) {
    let now = node.clock.now();
    let forecast = node.board.gate.forecast(kind_digest, now);
    let local = node.own_upstream();
    let (event, outcome, reason) = match verdict {
        Verdict::NotRun(reason) => (Event::GateRefused, "not-run", reason.as_str()),
        Verdict::Unknown(reason) => (Event::GateOutcomeUnknown, "unknown", reason.as_str()),
    };
    event.record(&GateRecord {
        id: &String::from_utf8_lossy(id),
        upstream: local.as_ref().map_or("", |local| local.name.as_str()),
        sent,
        outcome,
        reason,
        running: forecast.running,
        limit: forecast.limit(),
        waiting: forecast.waiting,
        service_ms: forecast.service_micros / 1_000,
        work_percent: forecast.slowdown.percent,
        elapsed_ms: now.micros_since(received_at) / 1_000,
        left_ms: deadline.remaining(now).as_millis() as u64,
    });
}

/// Return a digest that distinguishes requests with the same token.
///
/// A streamed body is not covered.
fn digest_of(req: &GateRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    req.method.hash(&mut hasher);
    req.uri.hash(&mut hasher);
    if let GateBody::Buffered(bytes) = &req.body {
        bytes.hash(&mut hasher);
    }
    hasher.finish()
}
