//! Runs a load: calls start at their instants, whatever the answers do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::unbounded;
use data_encoding::HEXLOWER;
use smol::Executor;
use smol::Timer;

use super::plan::LoadPlan;
use super::plan::LoadReport;
use crate::HttpCall;
use crate::call_on;
use crate::content;
use crate::http_call;
use crate::open_connection;
use mustardtiller::config::digest_of;

/// Calls under way at once, each on a connection of its own.
const WORKERS: usize = 256;

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
    let (tx, rx) = unbounded();
    let workers: Vec<_> = (0..WORKERS)
        .map(|_| {
            let work = work(Arc::clone(executor), Arc::clone(&plan), rx.clone());
            executor.spawn(work)
        })
        .collect();
    drop(rx);
    schedule(&plan, tx).await;
    let mut report = LoadReport::new();
    for worker in workers {
        report.add(worker.await);
    }
    report
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

type Connection = (
    SocketAddr,
    hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>,
);

async fn work(
    executor: Arc<Executor<'static>>,
    plan: Arc<LoadPlan>,
    jobs: Receiver<Job>,
) -> LoadReport {
    let mut report = LoadReport::new();
    let mut kept: Option<Connection> = None;
    while let Ok(job) = jobs.recv().await {
        run_job(&executor, &plan, &job, &mut kept, &mut report).await;
    }
    report
}

async fn run_job(
    executor: &Arc<Executor<'static>>,
    plan: &LoadPlan,
    job: &Job,
    kept: &mut Option<Connection>,
    report: &mut LoadReport,
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
        call_kept(executor, job.entry, &call, kept).await
    } else {
        http_call(executor, job.entry, &call).await
    };
    let micros = job.due.elapsed().as_micros() as u64;
    let writes = !matches!(job.kind, Kind::Browse);
    match (answer.status, answer.outcome()) {
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
                let _ = report.latency.record(micros.max(1));
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

/// Call on the kept connection if it leads to the entry and still works.
async fn call_kept(
    executor: &Arc<Executor<'static>>,
    entry: SocketAddr,
    call: &HttpCall,
    kept: &mut Option<Connection>,
) -> crate::HttpAnswer {
    let usable = kept
        .take()
        .filter(|(address, sender)| *address == entry && sender.is_ready());
    let sender = match usable {
        Some((_, sender)) => Some(sender),
        None => open_connection(executor, entry).await,
    };
    let Some(mut sender) = sender else {
        return http_call(executor, entry, call).await;
    };
    let answer = call_on(&mut sender, call).await;
    if answer.whole {
        *kept = Some((entry, sender));
    }
    answer
}
