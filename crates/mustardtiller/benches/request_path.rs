//! Costs of the decisions on the path of a request.

use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use criterion::BenchmarkId;
use criterion::Criterion;

use mustardtiller::CounterId;
use mustardtiller::Metrics;
use mustardtiller::Signals;
use mustardtiller::Snapshot;
use mustardtiller::core::Instant;
use mustardtiller::core::Policy;
use mustardtiller::core::Sample;
use mustardtiller::core::choose;
use mustardtiller::wire::LoadReport;

/// Read the signals of all candidates and choose an upstream.
fn choice(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose");
    for count in [4, 25, 200] {
        let signals: Vec<Signals> = (0..count).map(|_| Signals::new(12)).collect();
        for (index, candidate) in signals.iter().enumerate() {
            let load = LoadReport {
                in_flight: index as u32 % 9,
                limit: 12,
                ramp_milli: 1_000,
                work_percent: 100,
                leaving: false,
                announced_leaving: false,
                start_milli: 0,
                start_wait_ms: 0,
                shed_wait_ms: 0,
                queue_wait_ms: 0,
                nested_kinds: 0,
            };
            candidate.record_load(load, Instant::from_micros(100));
        }
        let mut rng = fastrand::Rng::with_seed(1);
        let mut samples: Vec<Sample> = Vec::with_capacity(count);
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                let now = Instant::from_micros(900);
                samples.clear();
                samples.extend(
                    signals
                        .iter()
                        .map(|candidate| candidate.sample(true, 0, now)),
                );
                black_box(choose(&samples, &Policy::default(), &mut rng))
            });
        });
    }
    group.finish();
}

/// Read a snapshot while another thread replaces it.
fn snapshot(c: &mut Criterion) {
    let section = Arc::new(Snapshot::new(vec![0_u64; 64]));
    let ended = Arc::new(AtomicBool::new(false));
    let (replaced, stop) = (Arc::clone(&section), Arc::clone(&ended));
    let writer = thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            replaced.publish(Arc::new(vec![1; 64]));
        }
    });
    c.bench_function("snapshot read under swaps", |b| {
        b.iter(|| black_box(section.read()[7]));
    });
    ended.store(true, Ordering::Relaxed);
    writer.join().expect("the writer thread does not panic");
}

/// Increment one counter.
fn counter(c: &mut Criterion) {
    let metrics = Metrics::new();
    c.bench_function("count", |b| {
        b.iter(|| metrics.count(black_box(CounterId::Requests)));
    });
}

fn main() {
    let mut c = Criterion::default().configure_from_args();
    choice(&mut c);
    snapshot(&mut c);
    counter(&mut c);
    c.final_summary();
}
