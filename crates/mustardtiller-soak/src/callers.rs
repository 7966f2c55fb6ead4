//! Callers that send requests over keep-alive connections until the run ends.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use smol::Executor;
use smol::Timer;
use smol::future;

use mustardtiller_platform_standin::is_complete_answer;
use mustardtiller_platform_standin::request;
use mustardtiller_standin::HttpAnswer;
use mustardtiller_standin::call_on;
use mustardtiller_standin::open_connection;

use crate::Call;
use crate::Ending;

/// Deadline that a caller gives each request, in milliseconds.
const WAIT_MS: u64 = 1_500;

/// Time past the deadline in which a late answer is still recorded, in milliseconds.
const EXTRA_WAIT_MS: u64 = 3_000;

/// Delay after a failed connection attempt, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 30;

/// Connect timeout in milliseconds, the same as that of the platform's callers.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Calls on one connection before the caller closes it.
const MAX_CALLS_PER_CONNECTION: u32 = 200;

/// Statuses that guarantee that a call has not run.
const NOT_RUN_STATUSES: &[u16] = &[408, 421, 429, 503];

/// State shared by all callers of a run.
#[derive(Debug)]
pub struct SharedState {
    /// When the run started.
    pub started: Instant,
    /// Calls that have ended so far.
    pub calls: Mutex<Vec<Call>>,
    /// Path prefix of the newest route, once it must have been applied everywhere.
    pub extra_prefix: Mutex<Option<String>>,
    /// Whether callers stop sending new calls.
    pub stopping: AtomicBool,
    /// Number of callers that have not ended.
    pub active: AtomicUsize,
}

impl SharedState {
    /// Return the time since the run started, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Settings of one caller.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Number of the caller, unique in the run.
    pub number: usize,
    /// Host whose daemon the caller sends to.
    pub host: usize,
    /// Entry address of that daemon.
    pub entry: SocketAddr,
    /// Mean pause before each call, in milliseconds.
    pub gap_ms: u64,
    /// Seed of the calls it draws.
    pub seed: u64,
}

/// A call about to be sent.
struct OutgoingCall {
    id: String,
    method: &'static str,
    path: String,
    body: Bytes,
    idempotent: bool,
}

/// Return a digest of a body, to compare what was sent and received.
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// Send calls until the run stops.
pub async fn run_caller(executor: Arc<Executor<'static>>, state: Arc<SharedState>, caller: Caller) {
    call_until_stopped(&executor, &state, caller).await;
    state.active.fetch_sub(1, Ordering::SeqCst);
}

async fn call_until_stopped(executor: &Executor<'static>, state: &SharedState, caller: Caller) {
    let mut rng = fastrand::Rng::with_seed(caller.seed);
    let mut number = 0;
    while !state.stopping.load(Ordering::SeqCst) {
        let connecting = async { open_connection(executor, caller.entry).await };
        let timeout = async {
            Timer::after(Duration::from_millis(CONNECT_TIMEOUT_MS)).await;
            None
        };
        let Some(mut sender) = future::or(connecting, timeout).await else {
            Timer::after(Duration::from_millis(RECONNECT_DELAY_MS)).await;
            continue;
        };
        for _ in 0..MAX_CALLS_PER_CONNECTION {
            let gap = rng.u64(0..=caller.gap_ms * 2);
            Timer::after(Duration::from_millis(gap)).await;
            if state.stopping.load(Ordering::SeqCst) || sender.ready().await.is_err() {
                break;
            }
            number += 1;
            let id = format!("c{}-{number}", caller.number);
            let outgoing = draw_call(state, &mut rng, id);
            let call = request(outgoing.method, &outgoing.path, &outgoing.id, WAIT_MS);
            let call = call.body(outgoing.body.clone());
            let sent_ms = state.now_ms();
            let calling = async { Some(call_on(&mut sender, &call).await) };
            let timeout = async {
                Timer::after(Duration::from_millis(WAIT_MS + EXTRA_WAIT_MS)).await;
                None
            };
            let answer = future::or(calling, timeout).await;
            let ending = ending_of(answer.as_ref(), &outgoing.id);
            let record = Call {
                target: format!("{} {}", outgoing.method, outgoing.path),
                body_digest: digest(&outgoing.body),
                id: outgoing.id,
                host: caller.host,
                idempotent: outgoing.idempotent,
                sent_ms,
                ended_ms: state.now_ms(),
                wait_ms: WAIT_MS,
                ending,
            };
            state
                .calls
                .lock()
                .expect("the lock is not poisoned")
                .push(record);
            if !matches!(
                ending,
                Ending::Success { .. } | Ending::NotRun(_) | Ending::Other(_)
            ) {
                break;
            }
        }
    }
}

fn draw_call(state: &SharedState, rng: &mut fastrand::Rng, id: String) -> OutgoingCall {
    let extra_prefix = state
        .extra_prefix
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    let (method, start, bytes) = match rng.u32(0..100) {
        0..60 => ("GET", "/read/".to_owned(), 0),
        60..85 => ("POST", "/order/".to_owned(), rng.usize(0..2_000)),
        85..92 => ("POST", "/load/".to_owned(), rng.usize(1_000..300_000)),
        _ => (
            "GET",
            extra_prefix.unwrap_or_else(|| "/read/".to_owned()),
            0,
        ),
    };
    let fill_byte = rng.u8(..);
    OutgoingCall {
        path: format!("{start}{id}"),
        method,
        body: Bytes::from(vec![fill_byte; bytes]),
        idempotent: method == "GET",
        id,
    }
}

fn ending_of(answer: Option<&HttpAnswer>, id: &str) -> Ending {
    match answer {
        None => Ending::Silence,
        // A caller can detect a truncated answer, so it counts as no answer.
        Some(answer) if answer.status == 0 || !answer.body_complete => Ending::Closed,
        Some(answer) if answer.status < 300 => Ending::Success {
            whole: is_complete_answer(answer, id),
        },
        Some(answer) if NOT_RUN_STATUSES.contains(&answer.status) => Ending::NotRun(answer.status),
        Some(answer) => Ending::Other(answer.status),
    }
}
