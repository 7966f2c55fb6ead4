//! Runs an open-loop load: calls start on schedule, however slow the answers are.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use bytes::Bytes;
use data_encoding::HEXLOWER;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use smol::Executor;
use smol::Timer;

use super::plan::LoadPlan;
use super::plan::LoadReport;
use super::plan::WorkerResults;
use crate::HttpAnswer;
use crate::HttpCall;
use crate::call_on;
use crate::content;
use crate::http_call;
use crate::open_connection;
use mustardtiller::config::digest_of;

/// Most calls in flight at once, each on its own connection.
const WORKERS: usize = 256;

/// Time that the workers get to start before the first call, in milliseconds.
const WORKER_START_MS: u64 = 100;

#[derive(Clone, Copy, Debug)]
enum CallKind {
    Browse,
    Order,
    Upload,
}

/// A scheduled call.
#[derive(Debug)]
struct Job {
    number: u64,
    kind: CallKind,
    entry: SocketAddr,
    start_at: Instant,
}

/// Run a load until every call has ended.
pub async fn run_load(executor: &Arc<Executor<'static>>, plan: &LoadPlan) -> LoadReport {
    let plan = Arc::new(plan.clone());
    let pool = Arc::new(Pool::default());
    let (tx, rx) = unbounded();
    let workers: Vec<_> = (0..WORKERS)
        .map(|_| {
            let worker = run_worker(
                Arc::clone(executor),
                Arc::clone(&plan),
                Arc::clone(&pool),
                rx.clone(),
            );
            executor.spawn(worker)
        })
        .collect();
    drop(rx);
    Timer::after(Duration::from_millis(WORKER_START_MS)).await;
    schedule(&plan, tx).await;
    let mut results = WorkerResults::default();
    for worker in workers {
        results.add(worker.await);
    }
    results.report()
}

/// Queue each call at its scheduled instant.
async fn schedule(plan: &LoadPlan, jobs: Sender<Job>) {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let start = Instant::now();
    let total = plan.rate * plan.millis / 1_000;
    for number in 0..total {
        let start_at = start + Duration::from_micros(number * 1_000_000 / plan.rate);
        let draw = rng.u8(0..100);
        let kind = if draw < plan.order_percent {
            CallKind::Order
        } else if draw < plan.order_percent + plan.upload_percent {
            CallKind::Upload
        } else {
            CallKind::Browse
        };
        let entry = plan.entries[rng.usize(..plan.entries.len())];
        if start_at > Instant::now() {
            Timer::at(start_at).await;
        }
        let _ = jobs.try_send(Job {
            number,
            kind,
            entry,
            start_at,
        });
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// Idle connections by entry; the most recently used is taken first.
#[derive(Debug, Default)]
struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    fn take(&self, entry: SocketAddr) -> Option<Connection> {
        let mut idle = self.0.lock().expect("the pool is not poisoned");
        let idle = idle.get_mut(&entry)?;
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, entry: SocketAddr, connection: Connection) {
        let mut idle = self.0.lock().expect("the pool is not poisoned");
        idle.entry(entry).or_default().push(connection);
    }
}

async fn run_worker(
    executor: Arc<Executor<'static>>,
    plan: Arc<LoadPlan>,
    pool: Arc<Pool>,
    jobs: Receiver<Job>,
) -> WorkerResults {
    let mut results = WorkerResults::default();
    while let Ok(job) = jobs.recv().await {
        run_job(&executor, &plan, &job, &pool, &mut results).await;
    }
    results
}

async fn run_job(
    executor: &Arc<Executor<'static>>,
    plan: &LoadPlan,
    job: &Job,
    pool: &Pool,
    results: &mut WorkerResults,
) {
    results.asked += 1;
    let key = format!("{}-{}", plan.seed, job.number);
    let (call, expected) = match job.kind {
        CallKind::Browse => {
            let path = format!("/item/{key}");
            let expected = format!("echo {path}\n");
            (HttpCall::new("GET", &plan.browse_host, &path), expected)
        }
        CallKind::Order => {
            let Some(call) = order_call(executor, plan, job, &key).await else {
                results.not_run += 1;
                results.refused.push(key);
                return;
            };
            (call, format!("ran {key} with 5 bytes\n"))
        }
        CallKind::Upload => {
            let bytes = content(job.number, plan.upload_bytes);
            let expected = format!("stored {key} {}\n", HEXLOWER.encode(&digest_of(&bytes).0));
            let call = HttpCall::new("POST", &plan.upload_host, "/upload");
            (call.header("x-key", key.clone()).body(bytes), expected)
        }
    };
    let pooled = matches!(job.kind, CallKind::Browse);
    let answer = if pooled {
        call_pooled(executor, job.entry, &call, pool).await
    } else {
        http_call(executor, job.entry, &call).await
    };
    let micros = job.start_at.elapsed().as_micros() as u64;
    let is_write = !matches!(job.kind, CallKind::Browse);
    // An upstream that is called directly sends no outcome header.
    let outcome = match answer.outcome() {
        "none" => "answered",
        outcome => outcome,
    };
    match (answer.status, outcome) {
        (0, _) => results.no_answer += 1,
        (_, "not-run") => {
            results.not_run += 1;
            if is_write {
                results.refused.push(key);
            }
        }
        (200..300, "answered") => {
            if answer.body_complete && answer.body == expected.as_bytes() {
                results.answered += 1;
                results.latencies_micros.push(micros);
                if is_write {
                    results.done.push(key);
                }
            } else if answer.body_complete {
                results.wrong += 1;
            } else {
                results.unknown += 1;
            }
        }
        (_, "answered") => results.answered += 1,
        _ => results.unknown += 1,
    }
}

/// Get a token from the entry and build an order that carries it.
///
/// Returns `None` if the entry issues no token.
async fn order_call(
    executor: &Arc<Executor<'static>>,
    plan: &LoadPlan,
    job: &Job,
    key: &str,
) -> Option<HttpCall> {
    let token_call = HttpCall::new("GET", &plan.order_host, "/.well-known/mustardtiller/token");
    let answer = http_call(executor, job.entry, &token_call).await;
    let token = answer.header("mustardtiller-token")?;
    let call = HttpCall::new("POST", &plan.order_host, "/order").body("order");
    Some(
        call.header("x-key", key)
            .header("mustardtiller-token", token),
    )
}

/// Make a call on an idle connection of the pool, or on a new one.
async fn call_pooled(
    executor: &Arc<Executor<'static>>,
    entry: SocketAddr,
    call: &HttpCall,
    pool: &Pool,
) -> HttpAnswer {
    let connection = match pool.take(entry) {
        Some(connection) => Some(connection),
        None => open_connection(executor, entry).await,
    };
    let Some(mut connection) = connection else {
        return http_call(executor, entry, call).await;
    };
    let answer = call_on(&mut connection, call).await;
    if answer.body_complete {
        pool.put(entry, connection);
    }
    answer
}
