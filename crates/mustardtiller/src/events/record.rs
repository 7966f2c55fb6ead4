//! What is logged of a request's way, field by field.

use serde::Serialize;

use crate::events::Event;

/// One offer of a call to a gate.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct OfferRecord {
    /// The upstream.
    pub upstream: String,
    /// Whether the gate might queue the call.
    pub may_wait: bool,
    /// Requests at the upstream, as last reported.
    pub reported: u32,
    /// Age of that report, in milliseconds.
    pub report_age_ms: u64,
    /// Smoothed time of an answer, in milliseconds.
    pub latency_ms: u32,
    /// Smoothed share of errors, in thousandths.
    pub error_milli: u32,
    /// How the offer ended: `answered`, or the reason why not.
    pub result: &'static str,
}

/// A call at the entry, once it has ended.
#[derive(Debug)]
#[derive(Serialize)]
pub struct CallRecord<'a> {
    /// The caller's name for this attempt.
    pub id: &'a str,
    /// The route or kind; empty if none was found.
    pub kind: &'a str,
    /// The service; empty if none was found.
    pub service: &'a str,
    /// The configuration's revision.
    pub revision: u64,
    /// `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Why it was not answered; empty if it was.
    pub reason: &'static str,
    /// The status of the upstream's answer; zero if there is none.
    pub status: u16,
    /// Time since the daemon got the call, in milliseconds.
    pub elapsed_ms: u64,
    /// Time that was left of the target, in milliseconds; negative if it was missed.
    pub target_left_ms: i64,
    /// Time that was left of the deadline, in milliseconds.
    pub left_ms: u64,
    /// The offers, in order.
    pub offers: &'a [OfferRecord],
}

/// A request at the gate that was refused, or sent without a good end.
#[derive(Debug)]
#[derive(Serialize)]
pub struct GateRecord<'a> {
    /// The caller's name for this attempt.
    pub id: &'a str,
    /// The upstream that the gate serves.
    pub upstream: &'a str,
    /// Whether the upstream was sent the request.
    pub sent: bool,
    /// `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
    /// Requests that ran, of those that might.
    pub running: u32,
    /// Requests that might run at once.
    pub limit: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Usual time of such a request at the upstream, in milliseconds.
    pub service_ms: u64,
    /// Time that work took there at that moment, in percent.
    pub work_percent: u32,
    /// Time since the gate got the request, in milliseconds.
    pub elapsed_ms: u64,
    /// Time that was left of the deadline, in milliseconds.
    pub left_ms: u64,
}

/// Lines about requests that were left out.
#[derive(Debug)]
#[derive(Serialize)]
pub struct LeftOutRecord {
    /// How many.
    pub lines: u64,
}

impl Event {
    /// Log the event with its fields.
    pub fn record(self, fields: &impl Serialize) {
        let level = self.level().filter();
        if !log::log_enabled!(level) {
            return;
        }
        match serde_json::to_string(fields) {
            // The fields become those of the line's own object.
            Ok(object) => {
                let inner = object.trim_start_matches('{').trim_end_matches('}');
                self.write(format_args!(",{inner}"));
            }
            Err(e) => self.log(e),
        }
    }
}
