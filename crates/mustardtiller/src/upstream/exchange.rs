//! One request to the upstream and its answer.

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
use hyper::client::conn::http1::SendRequest;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use super::body::RequestBody;
use super::body::UpstreamBody;
use super::check::AnswerCheck;
use super::check::check_answer;
use super::headers::DEPTH_HEADER;
use super::headers::RETRIED_HEADER;
use super::headers::STATE_HEADER;
use super::headers::is_hop_by_hop;
use super::headers::named_by_connection;
use super::pool::connect;
use crate::daemon::Node;
use crate::gate::GateAnswer;
use crate::gate::GateRequest;
use crate::gate::Permit;
use crate::http::DeadlineForm;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::Sent;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Unsent;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// Answers up to this size are read whole before they are passed on, in bytes.
const WHOLE_BYTES: u64 = 64 * 1024;

/// Time within which a connection that the upstream has forgotten fails, in
/// milliseconds: the upstream is on the same host, so it says so at once.
const FORGOTTEN_MS: u64 = 5;

/// Statuses by which an upstream says that it sheds load.
const SHED_STATUSES: &[u16] = &[429, 503];

/// Statuses that carry no body.
const BODILESS_STATUSES: &[u16] = &[204, 304];

/// Send a request to the upstream and take its answer.
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
    let began = node.clock.now();
    let start = node.board.gate.start(began);
    let head_only = req.method == "HEAD";
    let request_id = req.header(node.dialect.request_id).cloned();
    let cut = Arc::new(AtomicBool::new(false));
    let Delivery {
        sent,
        earlier,
        answered,
    } = match send(node, unsent, req, &cut).await {
        Ok(delivery) => delivery,
        Err(refusal) => return GateAnswer::refused(refusal),
    };
    let Some((sender, answered)) = answered else {
        node.board.recheck_local.notify(1);
        return GateAnswer::refused(sent.unknown(UnknownReason::DeadlinePassed));
    };
    let Ok(response) = answered else {
        let reason = if cut.load(Ordering::SeqCst) {
            UnknownReason::BodyCut
        } else {
            node.board.recheck_local.notify(1);
            UnknownReason::AnswerCut
        };
        return GateAnswer::refused(sent.unknown(reason));
    };
    note_state(node, response.headers());
    let head = answer_head(&response, head_only);
    if SHED_STATUSES.contains(&head.status) {
        node.board.gate.completed(0, true);
    }
    let id = request_id.as_deref();
    let check = check_answer(&node.dialect, id, head.status, response.headers());
    let verdict = match check {
        AnswerCheck::Own => None,
        AnswerCheck::Refused => Some(Verdict::NotRun(NotRunReason::UpstreamShed)),
        AnswerCheck::Misdirected => {
            node.board.recheck_local.notify(1);
            Some(Verdict::NotRun(NotRunReason::UpstreamShed))
        }
        AnswerCheck::Foreign => Some(Verdict::Unknown(UnknownReason::BadAnswer)),
    };
    if let Some(verdict) = verdict {
        // The connection is dropped: what follows on it may belong to nobody.
        return GateAnswer::refused(sent.verdict(verdict).after(earlier));
    }
    let body = UpstreamBody {
        node: Arc::clone(node),
        incoming: response.into_body(),
        sender: Some(sender),
        deadline,
        began,
        kind_digest,
        start,
        permit: Some(permit),
    };
    match body.incoming.size_hint().exact() {
        Some(length) if length > WHOLE_BYTES => GateAnswer::Streamed {
            head,
            first: Bytes::new(),
            body,
        },
        _ => whole(sent, head, body).await,
    }
}

type Answered = Option<(SendRequest<RequestBody>, Result<Response<Incoming>, ()>)>;

/// A request that was sent, and what came back.
struct Delivery {
    sent: Sent,
    /// Why an earlier sending of it may have run, if there was one.
    earlier: Option<UnknownReason>,
    answered: Answered,
}

impl Delivery {
    const fn once(sent: Sent, answered: Answered) -> Self {
        Self {
            sent,
            earlier: None,
            answered,
        }
    }
}

/// Send on an idle connection, or a new one if that proves to be closed.
///
/// An idempotent request whose idle connection fails at once goes once more on
/// a new one: upstreams forget idle connections without notice. One that fails
/// later is likely to have run; whether it runs again is for the entry to say,
/// within the fleet's bound of retries.
async fn send(
    node: &Arc<Node>,
    mut unsent: Unsent,
    req: GateRequest,
    cut: &Arc<AtomicBool>,
) -> Result<Delivery, Refusal> {
    let deadline = req.deadline;
    let Some(upstream) = node.own_upstream() else {
        return Err(unsent.refuse(NotRunReason::NoConfiguration).into());
    };
    let mut pooled = req.token.is_none() && req.idempotent;
    let mut copy = if pooled { req.copy() } else { None };
    let expected = upstream.name.as_str();
    let mut http = match http_request(node, req, expected, cut) {
        Ok(http) => http,
        Err(reason) => return Err(unsent.refuse(reason).into()),
    };
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
                    node.board.recheck_local.notify(1);
                    return Err(unsent.refuse(NotRunReason::UpstreamDown).into());
                }
            },
        };
        if deadline.has_passed(node.clock.now()) {
            return Err(unsent.refuse(NotRunReason::DeadlinePassed).into());
        }
        let sent = unsent.send();
        let forgotten_by = Deadline::in_millis(node.clock.now(), FORGOTTEN_MS);
        let answer = node
            .clock
            .within(deadline, sender.try_send_request(http))
            .await;
        match answer {
            None => return Ok(Delivery::once(sent, None)),
            Some(Ok(response)) => {
                return Ok(Delivery::once(sent, Some((sender, Ok(response)))));
            }
            Some(Err(mut e)) => match (e.take_message(), copy.take()) {
                // The library gives the request back only if no byte of it left.
                (Some(message), kept) => {
                    let (again, message) = sent.unsent(message);
                    if !pooled {
                        return Err(again.refuse(NotRunReason::UpstreamDown).into());
                    }
                    unsent = again;
                    http = message;
                    copy = kept;
                }
                (None, Some(kept)) if pooled && !forgotten_by.has_passed(node.clock.now()) => {
                    let Ok(again) = http_request(node, kept, expected, cut) else {
                        return Ok(Delivery::once(sent, Some((sender, Err(())))));
                    };
                    http = again;
                    return send_again(node, sent, http, upstream.address, deadline).await;
                }
                (None, _) => return Ok(Delivery::once(sent, Some((sender, Err(()))))),
            },
        }
    }
}

/// Send an idempotent request once more, on a new connection.
async fn send_again(
    node: &Arc<Node>,
    sent: Sent,
    http: Request<RequestBody>,
    address: SocketAddr,
    deadline: Deadline,
) -> Result<Delivery, Refusal> {
    let Ok(mut sender) = connect(node, address, deadline).await else {
        return Err(sent.unknown(UnknownReason::AnswerCut));
    };
    let sending = sender.try_send_request(http);
    let answer = node.clock.within(deadline, sending).await;
    Ok(Delivery {
        sent,
        earlier: Some(UnknownReason::AnswerCut),
        answered: answer.map(|answer| (sender, answer.map_err(|_| ()))),
    })
}

/// Read a short answer whole, so that a cut in it can still be told as one.
async fn whole(sent: Sent, head: AnswerHead, mut body: UpstreamBody) -> GateAnswer {
    let mut bytes = Vec::new();
    loop {
        match body.next().await {
            Some(Ok(piece)) => bytes.extend_from_slice(&piece),
            Some(Err(_)) => return GateAnswer::refused(sent.unknown(UnknownReason::AnswerCut)),
            None => {
                return GateAnswer::Buffered {
                    head,
                    bytes: Bytes::from(bytes),
                };
            }
        }
        if bytes.len() as u64 > WHOLE_BYTES {
            return GateAnswer::Streamed {
                head,
                first: Bytes::from(bytes),
                body,
            };
        }
    }
}

fn http_request(
    node: &Node,
    req: GateRequest,
    expected: &str,
    cut: &Arc<AtomicBool>,
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
    if dialect.forwards_depth {
        builder = builder.header(DEPTH_HEADER, u64::from(req.depth) + 1);
        if req.retried {
            builder = builder.header(RETRIED_HEADER, "yes");
        }
    }
    for header in &req.headers {
        builder = builder.header(header.name.as_str(), header.value.as_ref());
    }
    let body = RequestBody::new(req.body, Arc::clone(cut));
    builder.body(body).map_err(|_| NotRunReason::BadRequest)
}

/// Note what the upstream says of itself on an answer.
fn note_state(node: &Node, headers: &HeaderMap) {
    if headers
        .get(STATE_HEADER)
        .is_some_and(|state| state == "draining")
    {
        node.note_leaving(true, "an answer says so");
    }
    let load = headers.get(node.dialect.load);
    let load = load.and_then(|load| load.to_str().ok());
    if let Some(load) = load.and_then(node.dialect.read_load) {
        node.board
            .gate
            .slowdown
            .set(load.work_percent, node.clock.now());
    }
}

fn answer_head(response: &Response<Incoming>, head_only: bool) -> AnswerHead {
    let status = response.status().as_u16();
    let bodiless = head_only || BODILESS_STATUSES.contains(&status);
    let length = if bodiless {
        let length = response.headers().get(hyper::header::CONTENT_LENGTH);
        length.and_then(|value| value.to_str().ok()?.parse().ok())
    } else {
        response.body().size_hint().exact()
    };
    let headers = end_to_end(response.headers());
    AnswerHead {
        status,
        headers,
        length,
    }
}

/// Copy the headers that are not of one connection only.
pub fn end_to_end(headers: &HeaderMap) -> Vec<Header> {
    let connection: Vec<&str> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .collect();
    let passes = |name: &HeaderName| {
        !is_hop_by_hop(name.as_str()) && !named_by_connection(&connection, name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| passes(name))
        .map(|(name, value): (&HeaderName, &HeaderValue)| Header {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}
