//! Callers, which use their connections until the daemon is gone.

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

use mustardtiller_platform_standin::is_whole_answer;
use mustardtiller_platform_standin::request;
use mustardtiller_standin::HttpAnswer;
use mustardtiller_standin::call_on;
use mustardtiller_standin::open_connection;

use crate::Call;
use crate::Ending;

/// How long a caller waits for an answer, in milliseconds.
const WAIT_MS: u64 = 1_500;

/// How much longer it looks whether one comes, in milliseconds.
const LOOK_ON_MS: u64 = 3_000;

/// Pause after a connection that was not to be had, in milliseconds.
const PAUSE_MS: u64 = 30;

/// Time for a connection, in milliseconds: what the users' callers allow.
const CONNECT_MS: u64 = 1_000;

/// Calls on one connection before it is closed, at most.
const MAX_CALLS: u32 = 200;

/// Statuses that promise that a call has not run.
const PROMISES: &[u16] = &[408, 421, 429, 503];

/// What callers share.
#[derive(Debug)]
pub struct Book {
    /// When the run began.
    pub began: Instant,
    /// The calls so far.
    pub calls: Mutex<Vec<Call>>,
    /// Start of the paths of one more route, once it must be in force.
    pub more: Mutex<Option<String>>,
    /// Callers begin nothing more.
    pub over: AtomicBool,
    /// Callers that have not ended.
    pub active: AtomicUsize,
}

impl Book {
    /// Return milliseconds since the run began.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// One caller.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Its number.
    pub number: usize,
    /// The host whose daemon it calls.
    pub host: usize,
    /// Where that daemon takes callers.
    pub entry: SocketAddr,
    /// Mean time between two calls, in milliseconds.
    pub gap_ms: u64,
    /// The seed of what it sends.
    pub seed: u64,
}

/// What is sent in one call.
struct Letter {
    id: String,
    method: &'static str,
    path: String,
    body: Bytes,
    idempotent: bool,
}

/// Return a digest of a body.
#[must_use]
pub fn digest(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}

/// Call until the run is over.
pub async fn run_caller(executor: Arc<Executor<'static>>, book: Arc<Book>, caller: Caller) {
    call_until_over(&executor, &book, caller).await;
    book.active.fetch_sub(1, Ordering::SeqCst);
}

async fn call_until_over(executor: &Executor<'static>, book: &Book, caller: Caller) {
    let mut rng = fastrand::Rng::with_seed(caller.seed);
    let mut number = 0;
    while !book.over.load(Ordering::SeqCst) {
        let connecting = async { open_connection(executor, caller.entry).await };
        let late = async {
            Timer::after(Duration::from_millis(CONNECT_MS)).await;
            None
        };
        let Some(mut sender) = future::or(connecting, late).await else {
            Timer::after(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        for _ in 0..MAX_CALLS {
            let gap = rng.u64(0..=caller.gap_ms * 2);
            Timer::after(Duration::from_millis(gap)).await;
            if book.over.load(Ordering::SeqCst) || sender.ready().await.is_err() {
                break;
            }
            number += 1;
            let id = format!("c{}-{number}", caller.number);
            let letter = write(book, &mut rng, id);
            let call = request(letter.method, &letter.path, &letter.id, WAIT_MS);
            let call = call.body(letter.body.clone());
            let sent_ms = book.now_ms();
            let calling = async { Some(call_on(&mut sender, &call).await) };
            let late = async {
                Timer::after(Duration::from_millis(WAIT_MS + LOOK_ON_MS)).await;
                None
            };
            let answer = future::or(calling, late).await;
            let ending = ending_of(answer.as_ref(), &letter.id);
            let record = Call {
                target: format!("{} {}", letter.method, letter.path),
                body_digest: digest(&letter.body),
                id: letter.id,
                host: caller.host,
                idempotent: letter.idempotent,
                sent_ms,
                ended_ms: book.now_ms(),
                wait_ms: WAIT_MS,
                ending,
            };
            book.calls
                .lock()
                .expect("no thread panics here")
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

fn write(book: &Book, rng: &mut fastrand::Rng, id: String) -> Letter {
    let more = book.more.lock().expect("no thread panics here").clone();
    let (method, start, bytes) = match rng.u32(0..100) {
        0..60 => ("GET", "/read/".to_owned(), 0),
        60..85 => ("POST", "/order/".to_owned(), rng.usize(0..2_000)),
        85..92 => ("POST", "/load/".to_owned(), rng.usize(1_000..300_000)),
        _ => ("GET", more.unwrap_or_else(|| "/read/".to_owned()), 0),
    };
    let filling = rng.u8(..);
    Letter {
        path: format!("{start}{id}"),
        method,
        body: Bytes::from(vec![filling; bytes]),
        idempotent: method == "GET",
        id,
    }
}

fn ending_of(answer: Option<&HttpAnswer>, id: &str) -> Ending {
    match answer {
        None => Ending::Silence,
        // An answer that visibly breaks off is none.
        Some(answer) if answer.status == 0 || !answer.whole => Ending::Closed,
        Some(answer) if answer.status < 300 => Ending::Success {
            whole: is_whole_answer(answer, id),
        },
        Some(answer) if PROMISES.contains(&answer.status) => Ending::NotRun(answer.status),
        Some(answer) => Ending::Other(answer.status),
    }
}
