//! Runs a plan against a fleet.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use smol::Timer;

use mustardtiller_standin::Runner;

use crate::Call;
use crate::FaultKind;
use crate::History;
use crate::Plan;
use crate::Run;
use crate::Span;
use crate::callers::Caller;
use crate::callers::SharedState;
use crate::callers::digest;
use crate::callers::run_caller;
use crate::daemons::ENTRY_PORT;
use crate::fleet::Fleet;
use crate::hostile::run_hostile_client;

/// Threads that run the store, the upstreams, the pipes and the callers.
const THREADS: usize = 3;

/// Number of callers of each daemon.
const CALLERS_PER_HOST: usize = 6;

/// Time for the fleet to start serving before the first fault, in milliseconds.
const WARM_UP_MS: u64 = 1_500;

/// Time from an upstream's withdrawal to its replacement, in milliseconds.
///
/// This is the platform's bound for a drain, and half as much again.
const REPLACE_DELAY_MS: u64 = 3_000;

/// Time until a daemon that has exited is restarted, in milliseconds.
const RESTART_DELAY_MS: u64 = 200;

/// Time within which a daemon detects a silent connection, in milliseconds.
///
/// This is as long as a caller's deadline.
const SILENCE_DETECTION_MS: u64 = 1_500;

/// Time until a new configuration must be applied, in milliseconds.
///
/// This is the platform's bound.
const APPLY_MS: u64 = 2_000;

/// Time for which the store is away before it comes back from a copy, in milliseconds.
const STORE_AWAY_MS: u64 = 500;

/// Time after its return in which what it lost is written again, in milliseconds.
const WRITE_AGAIN_MS: u64 = 1_000;

/// Time in which daemons may not have read yet what an upstream has written, in milliseconds.
const READ_LAG_MS: u64 = 1_000;

/// Interval at which the schedule is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;

/// Time allowed for the last calls to end, in milliseconds.
const LAST_CALLS_MS: u64 = 5_000;

/// A scheduled action on a fault, by its index, or on a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Action {
    InjectFault(usize),
    ClearFault(usize),
    ReplaceUpstream(usize),
    RestartDaemon(usize),
    ReturnStore,
    WriteAgain,
}

/// Run a plan with the daemon at `program`; settings and logs go to `folder`.
///
/// # Panics
///
/// Panics if the fleet can't be started.
#[must_use]
pub fn run_plan(plan: &Plan, program: &Path, folder: &Path) -> History {
    let runner = Runner::start(THREADS);
    let mut fleet = Fleet::start(&runner, program, folder, plan);
    let state = Arc::new(SharedState {
        started: Instant::now(),
        calls: Mutex::new(Vec::new()),
        extra_prefix: Mutex::new(None),
        stopping: AtomicBool::new(false),
        active: AtomicUsize::new(0),
    });
    start_callers(&runner, &fleet, &state, plan);
    let mut history = History::default();
    run_schedule(plan, &mut fleet, &state, &mut history);
    state.stopping.store(true, Ordering::SeqCst);
    let until = Instant::now() + Duration::from_millis(LAST_CALLS_MS);
    while Instant::now() < until && state.active.load(Ordering::SeqCst) > 0 {
        smol::block_on(Timer::after(Duration::from_millis(POLL_INTERVAL_MS)));
    }
    history.own_ends = fleet.daemons.unexpected_exits();
    history.over_memory = fleet.daemons.over_memory();
    history.strange_lines = fleet.daemons.invalid_log_lines();
    history.calls = take_calls(&state);
    let recorded = fleet.recorded.lock().expect("the lock is not poisoned");
    history.runs = recorded
        .iter()
        .map(|request| Run {
            id: request.id.clone(),
            upstream: request.upstream.clone(),
            caller: request.caller.clone(),
            target: request.target.clone(),
            body_digest: digest(&request.body),
            left_ms: request.left_ms,
            at_ms: request.received.duration_since(state.started).as_millis() as u64,
        })
        .collect();
    drop(recorded);
    history
}

fn start_callers(runner: &Runner, fleet: &Fleet, state: &Arc<SharedState>, plan: &Plan) {
    let callers = plan.scale.hosts * CALLERS_PER_HOST;
    let gap_ms = callers as u64 * 1_000 / plan.scale.calls_per_s.max(1);
    for number in 0..callers {
        let host = number % plan.scale.hosts;
        let caller = Caller {
            number,
            host,
            entry: fleet.block.private(host, ENTRY_PORT),
            gap_ms,
            seed: plan.seed ^ ((number as u64 + 1) << 32),
        };
        let executor = Arc::clone(runner.executor());
        state.active.fetch_add(1, Ordering::SeqCst);
        runner.spawn(run_caller(executor, Arc::clone(state), caller));
    }
    for host in 0..plan.scale.hosts {
        let entry = fleet.block.private(host, ENTRY_PORT);
        let seed = plan.seed ^ (host as u64 + 1);
        runner.spawn(run_hostile_client(Arc::clone(state), entry, seed));
    }
}

/// Inject and clear faults, replace upstreams and restart daemons until the run ends.
fn run_schedule(plan: &Plan, fleet: &mut Fleet, state: &SharedState, history: &mut History) {
    let mut schedule: BinaryHeap<Reverse<(u64, Action)>> = BinaryHeap::new();
    for (index, fault) in plan.faults.iter().enumerate() {
        schedule.push(Reverse((
            WARM_UP_MS + fault.at_ms,
            Action::InjectFault(index),
        )));
    }
    let end_ms = WARM_UP_MS + plan.scale.millis;
    let mut restart_scheduled = vec![false; plan.scale.hosts];
    while state.now_ms() < end_ms {
        let now = state.now_ms();
        while let Some(Reverse((at, action))) = schedule.peek().copied()
            && at <= now
        {
            schedule.pop();
            match action {
                Action::InjectFault(index) => {
                    let fault = plan.faults[index];
                    if let Some(name) = fleet.inject_fault(fault.host, fault.kind) {
                        history.leavings.push((name, state.now_ms()));
                        schedule.push(Reverse((
                            now + REPLACE_DELAY_MS,
                            Action::ReplaceUpstream(fault.host),
                        )));
                    }
                    record_trouble(history, fault.kind, now, now + fault.lasts_ms);
                    schedule.push(Reverse((now + fault.lasts_ms, Action::ClearFault(index))));
                    history.calm_from_ms = history.calm_from_ms.max(now + fault.lasts_ms);
                }
                Action::ClearFault(index) => {
                    let fault = plan.faults[index];
                    fleet.clear_fault(fault.host, fault.kind);
                    if fault.kind == FaultKind::StoreReturns {
                        schedule.push(Reverse((now + STORE_AWAY_MS, Action::ReturnStore)));
                    }
                }
                Action::ReturnStore => {
                    fleet.return_store();
                    schedule.push(Reverse((now + WRITE_AGAIN_MS, Action::WriteAgain)));
                }
                Action::WriteAgain => {
                    fleet.write_again();
                    history.calm_from_ms = history.calm_from_ms.max(now);
                    confirm_again(history, now);
                }
                Action::ReplaceUpstream(host) => {
                    fleet.replace_upstream(host);
                    history.calm_from_ms = history.calm_from_ms.max(now);
                }
                Action::RestartDaemon(host) => {
                    restart_scheduled[host] = false;
                    fleet.daemons.start(host);
                    history.calm_from_ms = history.calm_from_ms.max(now);
                }
            }
        }
        for host in fleet.daemons.reap() {
            if !restart_scheduled[host] {
                restart_scheduled[host] = true;
                schedule.push(Reverse((
                    state.now_ms() + RESTART_DELAY_MS,
                    Action::RestartDaemon(host),
                )));
            }
        }
        if state.now_ms() > history.calm_from_ms + APPLY_MS && schedule.is_empty() {
            let extra_prefix = fleet.newest_prefix.clone();
            *state.extra_prefix.lock().expect("the lock is not poisoned") = extra_prefix;
        }
        smol::block_on(Timer::after(Duration::from_millis(POLL_INTERVAL_MS)));
    }
}

/// Let departures count from `now` that the store may have lost before daemons read them.
fn confirm_again(history: &mut History, now: u64) {
    let unread_from = now.saturating_sub(WRITE_AGAIN_MS + STORE_AWAY_MS + READ_LAG_MS);
    for (_, announced_ms) in &mut history.leavings {
        if *announced_ms >= unread_from {
            *announced_ms = now;
        }
    }
}

/// Record the span in which an unplanned fault may have effects.
///
/// It extends past the end of faults that daemons take time to detect.
fn record_trouble(history: &mut History, kind: FaultKind, from_ms: u64, until_ms: u64) {
    let span = |until_ms| Span { from_ms, until_ms };
    match kind {
        kind if kind.is_planned() => {}
        FaultKind::StoreBusy
        | FaultKind::StoreSilent
        | FaultKind::StoreSlow
        | FaultKind::StoreEndless
        | FaultKind::StoreForgets
        | FaultKind::StoreCut => history.store_troubles.push(span(until_ms)),
        FaultKind::LinksSilent | FaultKind::UpstreamSilent => {
            history.troubles.push(span(until_ms + SILENCE_DETECTION_MS));
        }
        FaultKind::DaemonDies | FaultKind::AllDie => {
            history
                .troubles
                .push(span(from_ms + RESTART_DELAY_MS + SILENCE_DETECTION_MS));
        }
        _ => history.troubles.push(span(until_ms)),
    }
}

fn take_calls(state: &SharedState) -> Vec<Call> {
    let mut calls = std::mem::take(&mut *state.calls.lock().expect("the lock is not poisoned"));
    calls.sort_by_key(|call| call.sent_ms);
    calls
}
