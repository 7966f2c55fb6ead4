//! Dispatch of a call: its route, its deadline and its outcome.

use std::sync::Arc;

use crate::board::RouteMatch;
use crate::daemon::Node;
use crate::entry::attempt::AttemptCx;
use crate::entry::attempt::MIN_ERROR_STATUS;
use crate::entry::bound::run_with_token;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::entry::call::CallTimer;
use crate::entry::call::Outcome;
use crate::entry::offers::run_without_token;
use crate::entry::trace::Trace;
use crate::metrics::CounterId;
use mustardtiller_config::Kind;
use mustardtiller_config::TokenRule;
use mustardtiller_core::Attempt;
use mustardtiller_core::Deadline;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Refusal;
use mustardtiller_core::UnknownReason;

/// Largest accepted depth of a call.
///
/// It is far above the depth of any real tree of calls, and stops forwarding loops.
const MAX_DEPTH: u8 = 64;

/// Run a call and return its outcome.
pub async fn dispatch(node: &Arc<Node>, mut call: Call) -> Outcome {
    node.metrics.count(CounterId::Requests);
    let mut trace = Trace::default();
    let result = route(node, &mut call, &mut trace).await;
    trace.finish(node, &call, &result);
    match result {
        Ok(answer) => {
            node.metrics.count(CounterId::Answered);
            Outcome::Answered(answer)
        }
        Err(refusal) => {
            node.metrics.count_refusal(refusal);
            Outcome::Refused {
                refusal,
                return_time: trace.return_time(),
            }
        }
    }
}

/// Find the route of a call, and run the call at an upstream of its service.
async fn route(node: &Arc<Node>, call: &mut Call, trace: &mut Trace) -> Result<Answer, Refusal> {
    let token_at_arrival = call.token.clone();
    let found = find_route(node, call);
    let RouteMatch {
        service,
        kind,
        elapsed_micros,
    } = match found {
        Ok(found) => found,
        Err(reason) => return Err(refuse_unsent(token_at_arrival.is_some(), reason)),
    };
    let kind_deadline = Deadline::in_millis(call.received_at, kind.deadline_ms);
    let deadline = call
        .deadline
        .map_or(kind_deadline, |deadline| deadline.min(kind_deadline));
    let cx = AttemptCx {
        node,
        kind: &kind,
        deadline,
        target: target_of(call, &kind, elapsed_micros).min(deadline),
        retried: call.outer_retry,
        queue_mode: QueueMode::Queue,
    };
    trace.begin(&kind, &service.service.name, cx.target, cx.deadline);
    node.ensure_links(&service);
    let mut answer = match token_at_arrival {
        Some(token) => run_with_token(cx, &service, &token, call, trace).await?,
        None => run_without_token(cx, &service, call, trace).await?,
    };
    if answer.head.status < MIN_ERROR_STATUS {
        answer.chunks.set_timer(CallTimer {
            node: Arc::clone(node),
            kind_digest: kind.digest(),
            received_at: call.received_at,
        });
    }
    Ok(answer)
}

/// Return the target time of an answer, counted from the caller's first attempt.
fn target_of(call: &Call, kind: &Kind, elapsed_micros: u64) -> Deadline {
    let target_micros = (kind.target_ms * 1_000).saturating_sub(elapsed_micros);
    Deadline::at(call.received_at.plus_micros(target_micros))
}

fn find_route(node: &Node, call: &mut Call) -> Result<RouteMatch, NotRunReason> {
    if node.board.hosts.read().members.is_empty() {
        node.board.hosts_wanted.notify(1);
    }
    if node.board.configuration.read().is_none() {
        return Err(NotRunReason::NoConfiguration);
    }
    if call.depth > MAX_DEPTH {
        return Err(NotRunReason::BadRequest);
    }
    let routes = node.board.routes.read();
    let time_left_micros = call
        .deadline
        .map(|d| d.instant().micros_since(call.received_at));
    let (path, received_at) = (call.path(), call.received_at);
    let found = routes.find(
        &call.host,
        &call.method,
        path,
        time_left_micros,
        received_at,
    );
    let found = found.map_err(|miss| {
        let now = node.clock.now();
        node.board.refuse_miss(&routes, miss, now)
    })?;
    match (found.kind.token, &call.token) {
        (TokenRule::Ignored, _) => call.token = None,
        (TokenRule::Needed, None) => return Err(NotRunReason::TokenNeeded),
        (TokenRule::Accepted | TokenRule::Needed, _) => {}
    }
    Ok(found)
}

/// Refuse a call of which this entry has sent nothing.
///
/// If the call has a token, another entry may have sent a copy of it, so only
/// the token's gate can report "not run"; the outcome is unknown here.
pub fn refuse_unsent(has_token: bool, reason: NotRunReason) -> Refusal {
    if has_token {
        Refusal::Unknown(UnknownReason::GateUnreachable)
    } else {
        Attempt::begin().refuse(reason).into()
    }
}
