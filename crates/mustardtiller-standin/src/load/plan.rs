//! Parameters and results of a load run.

use std::fmt;
use std::net::SocketAddr;

use hdrhistogram::Histogram;

/// The parameters of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The entries; each call goes to a random one.
    pub entries: Vec<SocketAddr>,
    /// The `host` header of browses.
    pub browse_host: String,
    /// The `host` header of orders.
    pub order_host: String,
    /// The `host` header of uploads.
    pub upload_host: String,
    /// Calls per second, of all kinds together.
    pub rate: u64,
    /// Length of the run, in milliseconds.
    pub millis: u64,
    /// Share of orders, in percent of the calls.
    pub order_percent: u8,
    /// Share of uploads, in percent of the calls.
    pub upload_percent: u8,
    /// Size of an upload's body, in bytes.
    pub upload_bytes: usize,
    /// Seed of the random choices; also the prefix of every key.
    pub seed: u64,
}

/// The results of a load run.
#[derive(Debug)]
pub struct LoadReport {
    /// Calls made.
    pub asked: u64,
    /// Calls answered: a complete body with the right content, or an error status.
    pub answered: u64,
    /// Calls refused as "not run", and orders for which no token was issued.
    pub not_run: u64,
    /// Calls whose outcome is unknown, or whose answer was incomplete.
    pub unknown: u64,
    /// Calls that got no answer at all.
    pub no_answer: u64,
    /// Complete answers with wrong content.
    pub wrong: u64,
    /// Keys of orders and uploads that were answered as done.
    pub done: Vec<String>,
    /// Keys of the orders and uploads in `not_run`.
    pub refused: Vec<String>,
    /// Latency of successful calls from their scheduled start, in microseconds.
    pub latency: Histogram<u64>,
}

/// The results of one worker, or of several added up.
#[derive(Debug, Default)]
pub struct WorkerResults {
    pub(super) asked: u64,
    pub(super) answered: u64,
    pub(super) not_run: u64,
    pub(super) unknown: u64,
    pub(super) no_answer: u64,
    pub(super) wrong: u64,
    pub(super) done: Vec<String>,
    pub(super) refused: Vec<String>,
    pub(super) latencies_micros: Vec<u64>,
}

impl WorkerResults {
    pub(super) fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.no_answer += other.no_answer;
        self.wrong += other.wrong;
        self.done.extend(other.done);
        self.refused.extend(other.refused);
        self.latencies_micros.extend(other.latencies_micros);
    }

    pub(super) fn report(self) -> LoadReport {
        let latency = Histogram::new_with_bounds(1, 120_000_000, 3);
        let mut latency = latency.expect("the histogram bounds are valid");
        for micros in self.latencies_micros {
            latency.saturating_record(micros.max(1));
        }
        LoadReport {
            asked: self.asked,
            answered: self.answered,
            not_run: self.not_run,
            unknown: self.unknown,
            no_answer: self.no_answer,
            wrong: self.wrong,
            done: self.done,
            refused: self.refused,
            latency,
        }
    }
}

impl LoadReport {
    /// Return a latency quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "asked      {:>8}", self.asked)?;
        writeln!(f, "answered   {:>8}", self.answered)?;
        writeln!(f, "not run    {:>8}", self.not_run)?;
        writeln!(f, "unknown    {:>8}", self.unknown)?;
        writeln!(f, "no answer  {:>8}", self.no_answer)?;
        writeln!(f, "wrong      {:>8}", self.wrong)?;
        write!(
            f,
            "latency ms   p50 {:.2}  p99 {:.2}  p99.9 {:.2}  max {:.2}",
            self.quantile_ms(0.5),
            self.quantile_ms(0.99),
            self.quantile_ms(0.999),
            self.quantile_ms(1.0)
        )
    }
}
