//! One request to the upstream and its answer.

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
use super::headers::DEADLINE_HEADER;
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
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::Sent;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Unsent;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Header;

/// Answers up to this size are read whole before they are passed on, in bytes.
const WHOLE_BYTES: u64 = 16 * 1024;

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
    let began = node.clock.now();
    let head_only = req.method == "HEAD";
    let cut = Arc::new(AtomicBool::new(false));
    let pooled = req.token.is_none() && is_safe(&req.method);
    let http = match http_request(node, req, &cut) {
        Ok(http) => http,
        Err(reason) => return GateAnswer::refused(unsent.refuse(reason)),
    };
    let sending = send(node, unsent, http, deadline, pooled);
    let (sent, answered) = match sending.await {
        Ok(sent) => sent,
        Err(refusal) => return GateAnswer::refused(refusal),
    };
    let Some((sender, answered)) = answered else {
        return GateAnswer::refused(sent.unknown(UnknownReason::DeadlinePassed));
    };
    let Ok(response) = answered else {
        let reason = if cut.load(Ordering::SeqCst) {
            UnknownReason::BodyCut
        } else {
            UnknownReason::AnswerCut
        };
        return GateAnswer::refused(sent.unknown(reason));
    };
    note_state(node, response.headers());
    let head = answer_head(&response, head_only);
    let shed = SHED_STATUSES.contains(&head.status);
    let body = UpstreamBody {
        node: Arc::clone(node),
        incoming: response.into_body(),
        sender: Some(sender),
        deadline,
        began,
        permit: Some(permit),
    };
    if shed {
        node.board.gate.completed(0, true);
    }
    match body.incoming.size_hint().exact() {
        Some(length) if length <= WHOLE_BYTES => whole(sent, head, body).await,
        _ => GateAnswer::Streamed { head, body },
    }
}

type Answered = Option<(SendRequest<RequestBody>, Result<Response<Incoming>, ()>)>;

/// Send on an idle connection, or a new one if that proves to be closed.
async fn send(
    node: &Arc<Node>,
    mut unsent: Unsent,
    mut http: Request<RequestBody>,
    deadline: Deadline,
    mut pooled: bool,
) -> Result<(Sent, Answered), Refusal> {
    let address = node.own_upstream().map(|upstream| upstream.address);
    let Some(address) = address else {
        return Err(unsent.refuse(NotRunReason::NoConfiguration).into());
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
            None => match connect(node, address, deadline).await {
                Ok(sender) => sender,
                Err(_) => return Err(unsent.refuse(NotRunReason::UpstreamDown).into()),
            },
        };
        if deadline.has_passed(node.clock.now()) {
            return Err(unsent.refuse(NotRunReason::DeadlinePassed).into());
        }
        let sent = unsent.send();
        let answer = node
            .clock
            .within(deadline, sender.try_send_request(http))
            .await;
        match answer {
            None => return Ok((sent, None)),
            Some(Ok(response)) => return Ok((sent, Some((sender, Ok(response))))),
            Some(Err(mut e)) => match e.take_message() {
                // The library gives the request back only if no byte of it left.
                Some(message) => {
                    let (again, message) = sent.unsent(message);
                    if !pooled {
                        return Err(again.refuse(NotRunReason::UpstreamDown).into());
                    }
                    unsent = again;
                    http = message;
                }
                None => return Ok((sent, Some((sender, Err(()))))),
            },
        }
    }
}

/// Read a short answer whole, so that a cut in it can still be told as one.
async fn whole(sent: Sent, head: AnswerHead, mut body: UpstreamBody) -> GateAnswer {
    let mut bytes = Vec::new();
    loop {
        match body.next().await {
            Some(Ok(piece)) => bytes.extend_from_slice(&piece),
            Some(Err(_)) => return GateAnswer::refused(sent.unknown(UnknownReason::AnswerCut)),
            None => {
                return GateAnswer::Whole {
                    head,
                    bytes: Bytes::from(bytes),
                };
            }
        }
    }
}

fn is_safe(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

fn http_request(
    node: &Node,
    req: GateRequest,
    cut: &Arc<AtomicBool>,
) -> Result<Request<RequestBody>, NotRunReason> {
    let remaining = req.deadline.remaining(node.clock.now()).as_millis() as u64;
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let deadline_ms = unix.as_millis() as u64 + remaining;
    let mut builder = Request::builder()
        .method(req.method.as_str())
        .uri(req.uri.as_str())
        .header(DEADLINE_HEADER, deadline_ms)
        .header(DEPTH_HEADER, u64::from(req.depth) + 1);
    if req.retried {
        builder = builder.header(RETRIED_HEADER, "yes");
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
