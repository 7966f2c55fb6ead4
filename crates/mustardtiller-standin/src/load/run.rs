//! Runs a load: calls start at their instants, whatever the answers do.

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
use super::plan::Tally;
use crate::HttpAnswer;
use crate::HttpCall;
use crate::call_on;
use crate::content;
use crate::http_call;
use crate::open_connection;
use mustardtiller::config::digest_of;

/// Calls under way at once, each on a connection of its own.
const WORKERS: usize = 256;

/// Time for the workers to start before the first call, in milliseconds.
const SETTLE_MS: u64 = 100;

#[derive(Clone, Copy, Debug)]
enum Kind {
    Browse,
    Order,
    Upload,
}

#[derive(Debug)]
struct Job {
    number: u64,
    kind: Kind,
    entry: SocketAddr,
    due: Instant,
}

/// Run a load to its end.
pub async fn run_load(executor: &Arc<Executor<'static>>, plan: &LoadPlan) -> LoadReport {
    let plan = Arc::new(plan.clone());
    let pool = Arc::new(Pool::default());
    let (tx, rx) = unbounded();
    let workers: Vec<_> = (0..WORKERS)
        .map(|_| {
            let work = work(
                Arc::clone(executor),
                Arc::clone(&plan),
                Arc::clone(&pool),
                rx.clone(),
            );
            executor.spawn(work)
        })
        .collect();
    drop(rx);
    Timer::after(Duration::from_millis(SETTLE_MS)).await;
    schedule(&plan, tx).await;
    let mut tally = Tally::default();
    for worker in workers {
        tally.add(worker.await);
    }
    tally.report()
}

async fn schedule(plan: &LoadPlan, jobs: Sender<Job>) {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let start = Instant::now();
    let total = plan.rate * plan.millis / 1_000;
    for number in 0..total {
        let due = start + Duration::from_micros(number * 1_000_000 / plan.rate);
        let draw = rng.u8(0..100);
        let kind = if draw < plan.order_percent {
            Kind::Order
        } else if draw < plan.order_percent + plan.upload_percent {
            Kind::Upload
        } else {
            Kind::Browse
        };
        let entry = plan.entries[rng.usize(..plan.entries.len())];
        if due > Instant::now() {
            Timer::at(due).await;
        }
        let _ = jobs.try_send(Job {
            number,
            kind,
            entry,
            due,
        });
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// Idle connections to the entries, the last used first.
#[derive(Debug, Default)]
struct Pool(Mutex<HashMap<SocketAddr, Vec<Connection>>>);

impl Pool {
    fn take(&self, entry: SocketAddr) -> Option<Connection> {
        let mut idle = self.0.lock().expect("no thread panics here");
        let idle = idle.get_mut(&entry)?;
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn put(&self, entry: SocketAddr, connection: Connection) {
        let mut idle = self.0.lock().expect("no thread panics here");
        idle.entry(entry).or_default().push(connection);
    }
}

async fn work(
    executor: Arc<Executor<'static>>,
    plan: Arc<LoadPlan>,
    pool: Arc<Pool>,
    jobs: Receiver<Job>,
) -> Tally {
    let mut report = Tally::default();
    while let Ok(job) = jobs.recv().await {
        run_job(&executor, &plan, &job, &pool, &mut report).await;
    }
    report
}

async fn run_job(
    executor: &Arc<Executor<'static>>,
    plan: &LoadPlan,
    job: &Job,
    pool: &Pool,
    report: &mut Tally,
) {
    report.asked += 1;
    let key = format!("{}-{}", plan.seed, job.number);
    let (call, expected) = match job.kind {
        Kind::Browse => {
            let path = format!("/item/{key}");
            let expected = format!("echo {path}\n");
            (HttpCall::new("GET", &plan.browse_host, &path), expected)
        }
        Kind::Order => {
            let Some(call) = order_call(executor, plan, job, &key).await else {
                report.not_run += 1;
                report.refused.push(key);
                return;
            };
            (call, format!("ran {key} with 5 bytes\n"))
        }
        Kind::Upload => {
            let bytes = content(job.number, plan.upload_bytes);
            let expected = format!("stored {key} {}\n", HEXLOWER.encode(&digest_of(&bytes).0));
            let call = HttpCall::new("POST", &plan.upload_host, "/upload");
            (call.header("x-key", key.clone()).body(bytes), expected)
        }
    };
    let keep = matches!(job.kind, Kind::Browse);
    let answer = if keep {
        call_kept(executor, job.entry, &call, pool).await
    } else {
        http_call(executor, job.entry, &call).await
    };
    let micros = job.due.elapsed().as_micros() as u64;
    let writes = !matches!(job.kind, Kind::Browse);
    // An upstream that is called without a daemon states no outcome.
    let outcome = match answer.outcome() {
        "none" => "answered",
        outcome => outcome,
    };
    match (answer.status, outcome) {
        (0, _) => report.no_answer += 1,
        (_, "not-run") => {
            report.not_run += 1;
            if writes {
                report.refused.push(key);
            }
        }
        (200..300, "answered") => {
            if answer.whole && answer.body == expected.as_bytes() {
                report.answered += 1;
                report.times.push(micros);
                if writes {
                    report.done.push(key);
                }
            } else if answer.whole {
                report.wrong += 1;
            } else {
                report.unknown += 1;
            }
        }
        (_, "answered") => report.answered += 1,
        _ => report.unknown += 1,
    }
}

/// Get a token and make an order with it.
async fn order_call(
    executor: &Arc<Executor<'static>>,
    plan: &LoadPlan,
    job: &Job,
    key: &str,
) -> Option<HttpCall> {
    let ask = HttpCall::new("GET", &plan.order_host, "/.well-known/mustardtiller/token");
    let answer = http_call(executor, job.entry, &ask).await;
    let token = answer.header("mustardtiller-token")?;
    let call = HttpCall::new("POST", &plan.order_host, "/order").body("order");
    Some(
        call.header("x-key", key)
            .header("mustardtiller-token", token),
    )
}

/// Call on an idle connection, or a new one.
async fn call_kept(
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
    if answer.whole {
        pool.put(entry, connection);
    }
    answer
}
