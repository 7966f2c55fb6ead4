//! Results of the simulation as a table.

use std::fmt::Write as _;

/// The results of one policy in one scenario.
#[derive(Clone, Debug)]
pub struct LabResult {
    /// Name of the policy.
    pub policy: String,
    /// Latency of answered requests, in microseconds, in ascending order.
    pub sorted_micros: Vec<u64>,
    /// Number of requests that failed or were refused.
    pub errors: u64,
    /// Number of load polls.
    pub polls: u64,
    /// Number of requests sent to another data centre.
    pub to_other_data_centres: u64,
    /// Requests sent to the failing upstream, from 100 ms after it began to fail.
    pub to_failing: u64,
    /// Requests sent to any upstream in the same time.
    pub since_failing: u64,
    /// Number of all requests.
    pub requests: u64,
}

impl LabResult {
    /// Return a latency quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let last = self.sorted_micros.len().saturating_sub(1);
        let index = (last as f64 * quantile) as usize;
        self.sorted_micros
            .get(index)
            .map_or(0.0, |micros| *micros as f64 / 1_000.0)
    }
}

/// Format results as a Markdown table.
#[must_use]
pub fn results_table(name: &str, results: &[LabResult]) -> String {
    let mut text = format!("### {name}\n\n");
    text += "| policy | p50 ms | p99 ms | p99.9 ms | errors | probes a request | across places | to the failing |\n";
    text += "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for result in results {
        let all = result.requests.max(1) as f64;
        let _ = writeln!(
            text,
            "| {} | {:.1} | {:.1} | {:.1} | {:.3}% | {:.3} | {:.0}% | {:.1}% |",
            result.policy,
            result.quantile_ms(0.5),
            result.quantile_ms(0.99),
            result.quantile_ms(0.999),
            result.errors as f64 * 100.0 / all,
            result.polls as f64 / all,
            result.to_other_data_centres as f64 * 100.0 / all,
            result.to_failing as f64 * 100.0 / result.since_failing.max(1) as f64,
        );
    }
    text
}
