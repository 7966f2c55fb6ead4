//! Exchange of one request and answer with the upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use smol::future;

use super::body::RequestBody;
use super::body::UpstreamBody;
use super::check::AnswerCheck;
use super::check::ExchangeIdentity;
use super::check::check_answer;
use super::check::repeats_identity;
use super::headers::DEPTH_HEADER;
use super::headers::RETRIED_HEADER;
use super::headers::is_hop_by_hop;
use super::headers::named_by_connection;
use super::interim::InterimAnswers;
use super::pool::connect;
use super::temperature::doubt_temperature;
use crate::board::HeldGuard;
use crate::board::Holder;
use crate::body::HeldBuffer;
use crate::daemon::Node;
use crate::events::Event;
use crate::gate::GateAnswer;
use crate::gate::GateRequest;
use crate::gate::Permit;
use crate::http::DeadlineForm;
use crate::http::Dialect;
use crate::http::Proof;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::RetryReason;
use mustardtiller_core::Sent;
use mustardtiller_core::StartRate;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Unsent;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// Largest answer that is read into memory before it is passed on, in bytes.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 * 1024;

/// Time within which a stale idle connection fails, in milliseconds.
///
/// The upstream is on the same host, so the error of a closed connection arrives
/// at once.
const STALE_CONNECTION_ERROR_MS: u64 = 5;

/// Age up to which a start is good for sending, in microseconds.
///
/// Far above the usual time of a connection on the same host.
const MAX_START_AGE_MICROS: u64 = 50_000;

/// Statuses by which an upstream reports load shedding.
const SHED_STATUSES: &[u16] = &[429, 503];

/// Statuses whose answers have no body.
const BODILESS_STATUSES: &[u16] = &[204, 304];

/// Send a request to the upstream and receive its answer.
///
/// The deadline is checked last, when a connection is ready for the first byte.
pub async fn exchange(
    node: &Arc<Node>,
    unsent: Unsent,
    req: GateRequest,
    permit: Permit,
) -> GateAnswer {
    let deadline = req.deadline;
    let kind_digest = req.kind_digest;
    let started_at = node.clock.now();
    let start = node.board.gate.start_conditions(started_at);
    let head_only = req.method == "HEAD";
    let request_id = req.header(node.dialect.request_id).cloned();
    let body_cut = Arc::new(AtomicBool::new(false));
    let number = node.next_exchange();
    let SendOutcome {
        sent,
        earlier_unknown,
        reused,
        response,
    } = match send(node, unsent, req, number, &body_cut).await {
        Ok(outcome) => outcome,
        Err(refusal) => return GateAnswer::refused(refusal),
    };
    let Some((sender, response)) = response else {
        doubt_upstream(node);
        return GateAnswer::refused(sent.unknown(UnknownReason::DeadlinePassed));
    };
    let Ok(response) = response else {
        let reason = if body_cut.load(Ordering::SeqCst) {
            UnknownReason::BodyCut
        } else {
            doubt_upstream(node);
            UnknownReason::AnswerCut
        };
        return GateAnswer::refused(sent.unknown(reason));
    };
    record_load(node, response.headers());
    let head = answer_head(&node.dialect, &response, head_only);
    if SHED_STATUSES.contains(&head.status) {
        node.board.gate.record_completion(0, true);
    }
    let identity = ExchangeIdentity {
        request_id: request_id.as_deref(),
        number,
        reused,
    };
    let check = check_answer(&node.dialect, identity, head.status, response.headers());
    let reusable = repeats_identity(&node.dialect, identity, response.headers());
    if matches!(check, AnswerCheck::Genuine | AnswerCheck::Refused) {
        node.note_start_rate(named_start_rate(&node.dialect, response.headers()));
        if announces_leaving(&node.dialect, response.headers()) {
            node.note_announced_leaving("an answer announces it");
        }
    }
    note_shed(node, check);
    let verdict = match check {
        AnswerCheck::Genuine => None,
        AnswerCheck::Refused => Some(Verdict::NotRun(NotRunReason::UpstreamShed)),
        AnswerCheck::Misdirected => {
            node.board.recheck_local.notify(1);
            Some(Verdict::NotRun(NotRunReason::UpstreamShed))
        }
        AnswerCheck::Unverified => Some(Verdict::Unknown(UnknownReason::BadAnswer)),
    };
    if let Some(verdict) = verdict {
        // The connection is closed, since later bytes on it can't be matched to a
        // request.
        return GateAnswer::refused(sent.verdict(verdict).after(earlier_unknown));
    }
    let body = UpstreamBody {
        node: Arc::clone(node),
        incoming: response.into_body(),
        sender: Some(sender),
        reusable,
        deadline,
        started_at,
        kind_digest,
        start,
        permit: Some(permit),
    };
    match body.incoming.size_hint().exact() {
        Some(length) if length > MAX_BUFFERED_ANSWER_BYTES => GateAnswer::Streamed {
            head,
            first: Bytes::new(),
            body,
        },
        _ => read_buffered(sent, head, body).await,
    }
}

/// Record whether the upstream ran or shed a request, and tell entries if it is to be
/// avoided.
///
/// An answer of another upstream, or of an unknown one, says nothing about this one.
fn note_shed(node: &Node, check: AnswerCheck) {
    let shed = match check {
        AnswerCheck::Genuine => false,
        AnswerCheck::Refused => true,
        AnswerCheck::Misdirected | AnswerCheck::Unverified => return,
    };
    if node.settings.discovery.is_none() {
        return;
    }
    let gate = &node.board.gate;
    if let Some(share_milli) = gate.shedding.record(shed, node.clock.now()) {
        node.metrics.count(CounterId::ShedPauses);
        Event::UpstreamSheds.log(format_args!("{share_milli} of 1000"));
        gate.slowdown.slow_changed.notify(usize::MAX);
    }
}

/// Connection and response; `None` if the deadline passed before the response came.
///
/// The inner error means that the exchange on the connection failed.
type SentResponse = Option<(SendRequest<RequestBody>, Result<Response<Incoming>, ()>)>;

/// State of a request that was sent, and the response.
struct SendOutcome {
    sent: Sent,
    /// Why an earlier transmission may have run, if the request was sent twice.
    earlier_unknown: Option<UnknownReason>,
    /// Whether the connection carried an earlier exchange.
    reused: bool,
    response: SentResponse,
}

impl SendOutcome {
    const fn without_resend(sent: Sent, reused: bool, response: SentResponse) -> Self {
        Self {
            sent,
            earlier_unknown: None,
            reused,
            response,
        }
    }
}

/// Send on an idle connection, or on a new one if no idle one is usable.
///
/// Only idempotent requests without a token use idle connections.
///
/// If the idle connection fails at once, an idempotent request is sent again on a
/// new connection, since upstreams close idle connections without notice. A request
/// that fails later has probably run; the entry decides whether to retry it. Either way
/// it is within the fleet's retry budget.
async fn send(
    node: &Arc<Node>,
    mut unsent: Unsent,
    req: GateRequest,
    number: u64,
    body_cut: &Arc<AtomicBool>,
) -> Result<SendOutcome, Refusal> {
    let deadline = req.deadline;
    let kind_digest = req.kind_digest;
    let Some(upstream) = node.own_upstream() else {
        return Err(unsent.refuse(NotRunReason::NoConfiguration).into());
    };
    let mut pooled = req.token.is_none() && req.idempotent;
    let mut copy = if pooled { req.try_clone() } else { None };
    let expected = upstream.name.as_str();
    let mut http = match http_request(node, req, expected, number, body_cut) {
        Ok(http) => http,
        Err(reason) => return Err(unsent.refuse(reason).into()),
    };
    let granted_at = node.clock.now();
    loop {
        let idle = if pooled {
            node.pool.take(node.clock.now())
        } else {
            None
        };
        pooled = idle.is_some();
        let mut sender = match idle {
            Some(sender) => sender,
            None => match connect(node, upstream.address, deadline).await {
                Ok(sender) => sender,
                Err(_) => {
                    doubt_upstream(node);
                    return Err(unsent.refuse(NotRunReason::UpstreamDown).into());
                }
            },
        };
        // A connection may take so long that the upstream leaves meanwhile.
        if let Some(reason) = node.start_refusal(kind_digest) {
            return Err(unsent.refuse(reason).into());
        }
        if !keeps_start(node, granted_at) {
            return Err(unsent.refuse(NotRunReason::RateLimited).into());
        }
        if deadline.has_passed(node.clock.now()) {
            return Err(unsent.refuse(NotRunReason::DeadlinePassed).into());
        }
        let sent = unsent.send();
        let stale_until = Deadline::in_millis(node.clock.now(), STALE_CONNECTION_ERROR_MS);
        let answer = wait_for_head(node, &mut sender, http, deadline).await;
        match answer {
            HeadWait::Late => return Ok(SendOutcome::without_resend(sent, pooled, None)),
            HeadWait::Flooded => {
                let failed = Some((sender, Err(())));
                return Ok(SendOutcome::without_resend(sent, pooled, failed));
            }
            HeadWait::Ended(Ok(response)) => {
                let response = Some((sender, Ok(response)));
                return Ok(SendOutcome::without_resend(sent, pooled, response));
            }
            HeadWait::Ended(Err(mut e)) => match (e.take_message(), copy.take()) {
                // Hyper returns the request only if none of its bytes were sent.
                (Some(message), unused_copy) => {
                    let (still_unsent, message) = sent.unsent(message);
                    if !pooled {
                        doubt_temperature(node);
                        return Err(still_unsent.refuse(NotRunReason::UpstreamDown).into());
                    }
                    unsent = still_unsent;
                    http = message;
                    copy = unused_copy;
                }
                (None, Some(copy))
                    if pooled && !stale_until.has_passed(node.clock.now()) && may_repeat(node) =>
                {
                    let second = http_request(node, copy, expected, number, body_cut);
                    let Ok(second) = second else {
                        let failed = Some((sender, Err(())));
                        return Ok(SendOutcome::without_resend(sent, pooled, failed));
                    };
                    http = second;
                    return resend(node, sent, http, kind_digest, upstream.address, deadline).await;
                }
                (None, _) => {
                    let failed = Some((sender, Err(())));
                    return Ok(SendOutcome::without_resend(sent, pooled, failed));
                }
            },
        }
    }
}

/// Take a start and a retry of this daemon's share of the fleet's budget.
///
/// The entry that sent the request may retry it too, from its own share.
fn may_repeat(node: &Node) -> bool {
    let Some(service) = node.own_service() else {
        return false;
    };
    // A retry that may not start would be spent for nothing.
    if !node.board.gate.try_start(node.clock.now()) {
        return false;
    }
    let routes = node.board.routes.read();
    let routes = routes.services.get(&service);
    let spent = routes.is_some_and(|routes| routes.retries.try_spend());
    if spent {
        node.metrics.count_retry(RetryReason::Lost);
    }
    spent
}

/// Note that an exchange failed in a way that a restart of the upstream explains.
fn doubt_upstream(node: &Node) {
    node.board.recheck_local.notify(1);
    doubt_temperature(node);
}

/// Report whether the start granted at `granted_at` is still good for sending now.
///
/// Where starts are limited, one whose connection took long is asked for again:
/// requests that waited for an unreachable upstream would all arrive at its return.
fn keeps_start(node: &Node, granted_at: Instant) -> bool {
    let now = node.clock.now();
    let gate = &node.board.gate;
    gate.cold.rule().is_none()
        || now.micros_since(granted_at) < MAX_START_AGE_MICROS
        || gate.try_start(now)
}

/// Send an idempotent request a second time, on a new connection.
async fn resend(
    node: &Arc<Node>,
    sent: Sent,
    http: Request<RequestBody>,
    kind_digest: u32,
    address: SocketAddr,
    deadline: Deadline,
) -> Result<SendOutcome, Refusal> {
    let granted_at = node.clock.now();
    let connected = connect(node, address, deadline).await;
    if connected.is_ok() && node.start_refusal(kind_digest).is_some() {
        return Err(sent.unknown(UnknownReason::AnswerCut));
    }
    let Some(mut sender) = connected.ok().filter(|_| keeps_start(node, granted_at)) else {
        doubt_temperature(node);
        return Err(sent.unknown(UnknownReason::AnswerCut));
    };
    let response = match wait_for_head(node, &mut sender, http, deadline).await {
        HeadWait::Late => None,
        HeadWait::Flooded => Some((sender, Err(()))),
        HeadWait::Ended(answer) => Some((sender, answer.map_err(|_| ()))),
    };
    Ok(SendOutcome {
        sent,
        earlier_unknown: Some(UnknownReason::AnswerCut),
        reused: false,
        response,
    })
}

/// How the wait for an answer's head ended.
#[expect(
    clippy::large_enum_variant,
    reason = "it is returned and matched at once, never stored"
)]
enum HeadWait {
    /// The head arrived, or the connection failed.
    Ended(Result<Response<Incoming>, TrySendError<Request<RequestBody>>>),
    /// The upstream sent more interim answers than an exchange may have.
    Flooded,
    /// The deadline passed.
    Late,
}

/// Send a request, and wait for the head of its answer.
async fn wait_for_head(
    node: &Node,
    sender: &mut SendRequest<RequestBody>,
    mut http: Request<RequestBody>,
    deadline: Deadline,
) -> HeadWait {
    let interim = InterimAnswers::count_for(&mut http);
    let answered = async { HeadWait::Ended(sender.try_send_request(http).await) };
    let flooded = async {
        interim.exceeded().await;
        HeadWait::Flooded
    };
    let waiting = future::or(answered, flooded);
    let ended = node.clock.within(deadline, waiting).await;
    ended.unwrap_or(HeadWait::Late)
}

/// Read a short answer into memory before it is passed on.
///
/// A truncated answer can then still be refused. An answer that exceeds the limit is
/// streamed from there on.
async fn read_buffered(sent: Sent, head: AnswerHead, mut body: UpstreamBody) -> GateAnswer {
    let guard = HeldGuard::new(Arc::clone(&body.node.board.held), Holder::Answers);
    let length = body.incoming.size_hint().exact();
    let mut held = HeldBuffer::new(guard, length.map(|length| length as usize));
    loop {
        match body.next().await {
            Some(Ok(chunk)) => held.push(&chunk),
            Some(Err(_)) => return GateAnswer::refused(sent.unknown(UnknownReason::AnswerCut)),
            None => {
                return GateAnswer::Buffered {
                    head,
                    bytes: held.freeze(),
                };
            }
        }
        if held.len() as u64 > MAX_BUFFERED_ANSWER_BYTES {
            return GateAnswer::Streamed {
                head,
                first: held.freeze(),
                body,
            };
        }
    }
}

fn http_request(
    node: &Node,
    req: GateRequest,
    expected: &str,
    number: u64,
    body_cut: &Arc<AtomicBool>,
) -> Result<Request<RequestBody>, NotRunReason> {
    let dialect = &node.dialect;
    let remaining = req.deadline.remaining(node.clock.now()).as_millis() as u64;
    let deadline_ms = match dialect.deadline_form {
        DeadlineForm::RemainingMs => remaining,
        DeadlineForm::UnixMs => {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            unix.as_millis() as u64 + remaining
        }
    };
    let mut builder = Request::builder()
        .method(req.method.as_str())
        .uri(req.uri.as_str())
        .header(dialect.deadline, deadline_ms)
        .header(dialect.caller, req.caller.as_str())
        .header(dialect.expect_upstream, expected);
    if let Proof::Connection { exchange } = dialect.proof {
        builder = builder.header(exchange, number);
    }
    if dialect.forwards_depth {
        builder = builder.header(DEPTH_HEADER, u64::from(req.depth) + 1);
        if req.retried {
            builder = builder.header(RETRIED_HEADER, "yes");
        }
    }
    for header in &req.headers {
        builder = builder.header(header.name.as_str(), header.value.as_ref());
    }
    let body = RequestBody::new(req.body, Arc::clone(body_cut));
    builder.body(body).map_err(|_| NotRunReason::BadRequest)
}

/// Record the load that the upstream reports on an answer.
fn record_load(node: &Node, headers: &HeaderMap) {
    let load = headers.get(node.dialect.load);
    let load = load.and_then(|load| load.to_str().ok());
    if let Some(load) = load.and_then(node.dialect.read_load) {
        node.board
            .gate
            .slowdown
            .set(load.work_percent, node.clock.now());
    }
}

/// Report whether an answer announces that the upstream is leaving.
fn announces_leaving(dialect: &Dialect, headers: &HeaderMap) -> bool {
    let (name, value) = dialect.leaving;
    headers.get(name).is_some_and(|found| found == value)
}

/// Return the rate of requests that an answer names.
fn named_start_rate(dialect: &Dialect, headers: &HeaderMap) -> Option<StartRate> {
    StartRate::parse(headers.get(dialect.start_rate)?.to_str().ok()?)
}

fn answer_head(dialect: &Dialect, response: &Response<Incoming>, head_only: bool) -> AnswerHead {
    let status = response.status().as_u16();
    let bodiless = head_only || BODILESS_STATUSES.contains(&status);
    let length = if bodiless {
        let length = response.headers().get(hyper::header::CONTENT_LENGTH);
        length.and_then(|value| value.to_str().ok()?.parse().ok())
    } else {
        response.body().size_hint().exact()
    };
    let mut headers = end_to_end_headers(response.headers());
    if let Proof::Connection { exchange } = dialect.proof {
        headers.retain(|header| header.name != exchange);
    }
    AnswerHead {
        status,
        headers,
        length,
    }
}

/// Copy the end-to-end headers.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<Header> {
    let connection: Vec<&str> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .collect();
    let is_end_to_end = |name: &HeaderName| {
        !is_hop_by_hop(name.as_str()) && !named_by_connection(&connection, name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| is_end_to_end(name))
        .map(|(name, value): (&HeaderName, &HeaderValue)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
