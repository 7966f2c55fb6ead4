//! Plays a plan against a fleet.

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
use crate::callers::Book;
use crate::callers::Caller;
use crate::callers::digest;
use crate::callers::run_caller;
use crate::daemons::ENTRY_PORT;
use crate::world::World;

/// Threads that run the store, the upstreams, the pipes and the callers.
const THREADS: usize = 3;

/// Callers of each daemon.
const CALLERS_A_HOST: usize = 6;

/// Time for the fleet to serve before the first fault, in milliseconds.
const WARM_UP_MS: u64 = 1_500;

/// Time from a leaving upstream's notice until another takes its place, in
/// milliseconds: the users' bound of a drain, and half as much again.
const REPLACE_MS: u64 = 3_000;

/// Time until a daemon that ended is started again, in milliseconds.
const RESTART_MS: u64 = 200;

/// Time within which what fell silent for good is found, in milliseconds: a
/// caller's whole wait.
const FIND_SILENCE_MS: u64 = 1_500;

/// Time until a new version must be in force, in milliseconds: the users' bound.
const APPLY_MS: u64 = 2_000;

/// Time between two looks at what is due, in milliseconds.
const LOOK_MS: u64 = 5;

/// Time for the last calls to end, in milliseconds.
const END_MS: u64 = 5_000;

/// Something that is due at a time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Due {
    Strike(usize),
    Relent(usize),
    Replace(usize),
    Restart(usize),
}

/// Play a plan with the daemon at `program`; settings and logs go to `folder`.
///
/// # Panics
///
/// Panics if the fleet can't be started.
#[must_use]
pub fn play(plan: &Plan, program: &Path, folder: &Path) -> History {
    let runner = Runner::start(THREADS);
    let mut world = World::start(&runner, program, folder, plan.scale.hosts);
    let book = Arc::new(Book {
        began: Instant::now(),
        calls: Mutex::new(Vec::new()),
        more: Mutex::new(None),
        over: AtomicBool::new(false),
        active: AtomicUsize::new(0),
    });
    start_callers(&runner, &world, &book, plan);
    let mut history = History::default();
    drive(plan, &mut world, &book, &mut history);
    book.over.store(true, Ordering::SeqCst);
    let until = Instant::now() + Duration::from_millis(END_MS);
    while Instant::now() < until && book.active.load(Ordering::SeqCst) > 0 {
        smol::block_on(Timer::after(Duration::from_millis(LOOK_MS)));
    }
    history.own_ends = world.daemons.own_ends();
    history.strange_lines = world.daemons.strange_lines();
    history.calls = take_calls(&book);
    let seen = world.seen.lock().expect("no thread panics here");
    history.runs = seen
        .iter()
        .map(|seen| Run {
            id: seen.id.clone(),
            upstream: seen.upstream.clone(),
            caller: seen.caller.clone(),
            target: seen.target.clone(),
            body_digest: digest(&seen.body),
            left_ms: seen.left_ms,
            at_ms: seen.at.duration_since(book.began).as_millis() as u64,
        })
        .collect();
    drop(seen);
    history
}

fn start_callers(runner: &Runner, world: &World, book: &Arc<Book>, plan: &Plan) {
    let callers = plan.scale.hosts * CALLERS_A_HOST;
    let gap_ms = callers as u64 * 1_000 / plan.scale.calls_per_s.max(1);
    for number in 0..callers {
        let host = number % plan.scale.hosts;
        let caller = Caller {
            number,
            host,
            entry: world.block.own(host, ENTRY_PORT),
            gap_ms,
            seed: plan.seed ^ ((number as u64 + 1) << 32),
        };
        let executor = Arc::clone(runner.executor());
        book.active.fetch_add(1, Ordering::SeqCst);
        runner.spawn(run_caller(executor, Arc::clone(book), caller));
    }
}

/// Strike, relent and restart as it falls due, until the run is over.
fn drive(plan: &Plan, world: &mut World, book: &Book, history: &mut History) {
    let mut due: BinaryHeap<Reverse<(u64, Due)>> = BinaryHeap::new();
    for (index, fault) in plan.faults.iter().enumerate() {
        due.push(Reverse((WARM_UP_MS + fault.at_ms, Due::Strike(index))));
    }
    let end_ms = WARM_UP_MS + plan.scale.millis;
    let mut stopped = vec![false; plan.scale.hosts];
    while book.now_ms() < end_ms {
        let now = book.now_ms();
        while let Some(Reverse((at, what))) = due.peek().copied()
            && at <= now
        {
            due.pop();
            match what {
                Due::Strike(index) => {
                    let fault = plan.faults[index];
                    if let Some(name) = world.strike(fault.host, fault.kind) {
                        history.leavings.push((name, book.now_ms()));
                        due.push(Reverse((now + REPLACE_MS, Due::Replace(fault.host))));
                    }
                    note_trouble(history, fault.kind, now, now + fault.lasts_ms);
                    due.push(Reverse((now + fault.lasts_ms, Due::Relent(index))));
                    history.calm_from_ms = history.calm_from_ms.max(now + fault.lasts_ms);
                }
                Due::Relent(index) => {
                    let fault = plan.faults[index];
                    world.relent(fault.host, fault.kind);
                }
                Due::Replace(host) => {
                    world.replace(host);
                    history.calm_from_ms = history.calm_from_ms.max(now);
                }
                Due::Restart(host) => {
                    stopped[host] = false;
                    world.daemons.start(host);
                    history.calm_from_ms = history.calm_from_ms.max(now);
                }
            }
        }
        for host in world.daemons.reap() {
            if !stopped[host] {
                stopped[host] = true;
                due.push(Reverse((book.now_ms() + RESTART_MS, Due::Restart(host))));
            }
        }
        if book.now_ms() > history.calm_from_ms + APPLY_MS && due.is_empty() {
            let more = world.newest_route.clone();
            *book.more.lock().expect("no thread panics here") = more;
        }
        smol::block_on(Timer::after(Duration::from_millis(LOOK_MS)));
    }
}

fn note_trouble(history: &mut History, kind: FaultKind, from_ms: u64, until_ms: u64) {
    let span = |until_ms| Span { from_ms, until_ms };
    match kind {
        kind if kind.is_planned() => {}
        FaultKind::StoreBusy
        | FaultKind::StoreSilent
        | FaultKind::StoreSlow
        | FaultKind::StoreForgets
        | FaultKind::StoreCut => history.store_troubles.push(span(until_ms)),
        FaultKind::LinksSilent | FaultKind::UpstreamSilent => {
            history.troubles.push(span(until_ms + FIND_SILENCE_MS));
        }
        FaultKind::DaemonDies | FaultKind::AllDie => {
            history
                .troubles
                .push(span(from_ms + RESTART_MS + FIND_SILENCE_MS));
        }
        _ => history.troubles.push(span(until_ms)),
    }
}

fn take_calls(book: &Book) -> Vec<Call> {
    let mut calls = std::mem::take(&mut *book.calls.lock().expect("no thread panics here"));
    calls.sort_by_key(|call| call.sent_ms);
    calls
}
