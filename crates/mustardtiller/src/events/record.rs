//! The fields of log lines about requests.

use serde::Serialize;

use crate::events::Event;

/// Text that stands for the identifier of a request that has none.
pub const MISSING_ID: &str = "-";

/// One offer of a call to an upstream's gate.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct OfferRecord {
    /// The upstream's name.
    pub upstream: String,
    /// Whether the gate was allowed to queue the call.
    pub may_wait: bool,
    /// Requests at the upstream according to its last load report.
    pub reported: u32,
    /// Age of that load report, in milliseconds.
    pub report_age_ms: u64,
    /// Smoothed latency of the upstream's answers, in milliseconds.
    pub latency_ms: u32,
    /// Smoothed error rate, in thousandths.
    pub error_milli: u32,
    /// The result of the offer: `answered`, or the reason of the refusal.
    pub result: &'static str,
}

/// A configuration that was accepted.
#[derive(Debug)]
#[derive(Serialize)]
pub struct AcceptedRecord<'a> {
    /// The version.
    pub detail: &'a str,
    /// Time for which the daemon has known of a newer version than it had, in milliseconds.
    pub behind_ms: u64,
}

/// A call that ended at the entry.
#[derive(Debug)]
#[derive(Serialize)]
pub struct CallRecord<'a> {
    /// The identifier that the caller gave this attempt.
    pub id: &'a str,
    /// The route or kind; empty if none was found.
    pub kind: &'a str,
    /// The service; empty if none was found.
    pub service: &'a str,
    /// The operators' number of the document in force; zero if the revision is their number.
    pub serial: u64,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// The reason of a refusal; empty if the call was answered.
    pub reason: &'static str,
    /// The status of the upstream's answer; zero without an answer.
    pub status: u16,
    /// Time since the daemon received the call, in milliseconds.
    pub elapsed_ms: u64,
    /// Time remaining to the latency target, in milliseconds; negative if it was missed.
    pub target_left_ms: i64,
    /// Time remaining to the deadline, in milliseconds.
    pub left_ms: u64,
    /// The offers, in order.
    pub offers: &'a [OfferRecord],
}

/// A request that the gate refused, or sent with an unknown outcome.
#[derive(Debug)]
#[derive(Serialize)]
pub struct GateRecord<'a> {
    /// The identifier that the caller gave this attempt.
    pub id: &'a str,
    /// The upstream that the gate serves.
    pub upstream: &'a str,
    /// Whether the request was sent to the upstream.
    pub sent: bool,
    /// `not-run` or `unknown`.
    pub outcome: &'static str,
    /// The reason of the refusal or of the unknown outcome.
    pub reason: &'static str,
    /// Requests in flight at the upstream.
    pub running: u32,
    /// Concurrency limit that applies to the request.
    pub limit: u32,
    /// Requests in the wait queue.
    pub waiting: u32,
    /// Estimated service time of the request's kind, in milliseconds.
    pub service_ms: u64,
    /// The upstream's current service time, in percent of the usual.
    pub work_percent: u32,
    /// Time since the gate received the request, in milliseconds.
    pub elapsed_ms: u64,
    /// Time remaining to the deadline, in milliseconds.
    pub left_ms: u64,
}

/// A request that the entry rejected before it looked for a route.
#[derive(Debug)]
#[derive(Serialize)]
pub struct RejectionRecord<'a> {
    /// The identifier that the caller gave this attempt.
    pub id: &'a str,
    /// The reason of the refusal.
    pub reason: &'static str,
    /// What was wrong with the request.
    pub detail: &'static str,
    /// The caller's timeout as it was sent; empty if there was none.
    pub timeout: &'a str,
    /// Time since the head arrived, in milliseconds.
    pub elapsed_ms: u64,
}

/// A call that no route or kind matches.
#[derive(Debug)]
#[derive(Serialize)]
pub struct MissRecord<'a> {
    /// The identifier that the caller gave this attempt.
    pub id: &'a str,
    /// The start of the request's host.
    pub host: &'a str,
    /// The start of the request's path, without the query.
    pub path: &'a str,
    /// The operators' number of the document in force; zero if the revision is their number.
    pub serial: u64,
    /// The revision of the configuration in force.
    pub revision: u64,
}

/// The number of dropped log lines about requests.
#[derive(Debug)]
#[derive(Serialize)]
pub struct LinesDroppedRecord {
    /// The number of lines.
    pub lines: u64,
}

impl Event {
    /// Log the event with the fields of a record.
    pub fn record(self, fields: &impl Serialize) {
        let level = self.level().filter();
        if !log::log_enabled!(level) {
            return;
        }
        match serde_json::to_string(fields) {
            // The braces are stripped, since the fields join the object of the line.
            Ok(object) => {
                let inner = object.trim_start_matches('{').trim_end_matches('}');
                self.write(format_args!(",{inner}"));
            }
            Err(e) => self.log(e),
        }
    }
}
