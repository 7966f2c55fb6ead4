//! A call whose token allows one gate only.

use std::sync::Arc;

use crate::board::ServiceRoutes;
use crate::entry::attempt::AttemptCx;
use crate::entry::attempt::AttemptError;
use crate::entry::attempt::attempt;
use crate::entry::call::Answer;
use crate::entry::call::Call;
use crate::entry::link_wait::wait_for_link;
use crate::entry::offers::run_without_token;
use crate::entry::trace::Trace;
use mustardtiller_core::Attempt;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Refusal;
use mustardtiller_core::Token;
use mustardtiller_core::UnknownReason;

/// Run a call at the only gate that its token allows.
///
/// If the call's kind ignores tokens, any upstream may run it.
pub async fn run_with_token(
    mut cx: AttemptCx<'_>,
    service: &Arc<ServiceRoutes>,
    token: &Token,
    call: &mut Call,
    trace: &mut Trace,
) -> Result<Answer, Refusal> {
    if call.token.is_none() {
        return run_without_token(cx, service, call, trace).await;
    }
    let unreachable = Refusal::Unknown(UnknownReason::GateUnreachable);
    // Another entry may have sent a copy, so this one can't say that the call has not run.
    cx.deadline = cx.work_deadline().map_err(|_| unreachable)?;
    let candidate = service.find(&token.upstream).ok_or(unreachable)?;
    let link = wait_for_link(cx, candidate).await.ok_or(unreachable)?;
    if link.gate_incarnation() != token.gate {
        return Err(Refusal::Unknown(UnknownReason::IncarnationGone));
    }
    let result = attempt(cx, Attempt::begin(), candidate, call).await;
    result.map_err(|e| match e {
        AttemptError::Refused(refusal) if checked_token(refusal) => refusal,
        AttemptError::Lost(refusal) => refusal,
        AttemptError::Refused(_) | AttemptError::Unsent(_) => unreachable,
    })
}

/// Report whether the gate checked the token before it refused.
///
/// A full link and a gate of another upstream refuse before that check, and a request
/// that was lost with its link never reached it.
const fn checked_token(refusal: Refusal) -> bool {
    match refusal {
        Refusal::Unknown(_) => true,
        Refusal::NotRun(not_run) => !matches!(
            not_run.reason(),
            NotRunReason::LinkFull | NotRunReason::WrongUpstream | NotRunReason::Unreachable
        ),
    }
}
