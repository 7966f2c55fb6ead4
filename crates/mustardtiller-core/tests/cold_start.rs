//! Upstreams that are cold, or become cold at any moment.

use mustardtiller_core::ColdReading;
use mustardtiller_core::ColdStart;
use mustardtiller_core::Instant;
use mustardtiller_core::StartRate;
use mustardtiller_core::StartSchedule;
use mustardtiller_core::Temperature;

const SECOND: u64 = 1_000_000;

/// Requests in one second beyond one and a half times the rate that operators allow.
const ALLOWED_SLACK: f64 = 5.0;

const fn rule(milli: u32) -> ColdStart {
    ColdStart {
        length_ms: 3_000,
        rate: StartRate::from_milli(milli),
    }
}

/// One gate that is offered a request each `step` microseconds.
struct Gate {
    rule: ColdStart,
    reading: ColdReading,
    schedule: StartSchedule,
    started: Vec<u64>,
}

impl Gate {
    fn begin(rule: ColdStart, now: u64) -> Self {
        Self {
            rule,
            reading: ColdReading {
                warm_at: None,
                cold_until: Instant::default(),
                starts_since: 0,
            },
            schedule: StartSchedule::begin(rule.rate, Instant::from_micros(now)),
            started: Vec::new(),
        }
    }

    fn offer(&mut self, now: u64) {
        let at = Instant::from_micros(now);
        let capped = self.reading.temperature(&self.rule, at).is_capped();
        let next = if capped {
            self.schedule.start(at)
        } else {
            Some(self.schedule.started_unlimited(at))
        };
        if let Some(next) = next {
            self.schedule = next;
            self.reading.starts_since += 1;
            self.started.push(now);
        }
    }

    fn hear(&mut self, now: u64, cold_until: u64) {
        if cold_until > now {
            self.reading.cold_until = Instant::from_micros(cold_until);
            self.reading.warm_at = None;
        } else {
            self.reading.warm_at = Some(Instant::from_micros(now));
            self.reading.starts_since = 0;
        }
    }

    /// Return the most starts in any second that begins at `from` or later.
    fn most_in_a_second(&self, from: u64) -> usize {
        let started: Vec<u64> = self
            .started
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |at: u64| {
            let later = started
                .iter()
                .filter(|other| (at..at + SECOND).contains(*other));
            later.count()
        };
        started.iter().map(|at| within(*at)).max().unwrap_or(0)
    }
}

fn allowed(milli: u32) -> f64 {
    1.5 * f64::from(milli) / 1_000.0 + ALLOWED_SLACK
}

/// FAILBACK: the gate hears of it only from the probe after the last that found it warm.
#[test]
fn a_cold_return_under_load_keeps_the_bound() {
    for milli in [1_000, 4_000, 13_000, 40_000] {
        for step in [1_000, 7_000, 19_000, 41_000] {
            for probe_ms in [1, 20, 250, 1_900] {
                let turns_cold = 20 * SECOND + 3_000;
                let cold_until = turns_cold + 3 * SECOND;
                let mut gate = Gate::begin(rule(milli), 0);
                let mut probed = 0;
                for now in (0..30 * SECOND).step_by(step as usize) {
                    let at = Instant::from_micros(now);
                    let due = now >= probed + probe_ms * 1_000;
                    if due && gate.reading.wants_reading(&gate.rule, at) {
                        probed = now;
                        let cold = (turns_cold..cold_until).contains(&now);
                        gate.hear(now, if cold { cold_until } else { 0 });
                    }
                    gate.offer(now);
                }
                gate.started.retain(|at| *at < cold_until);
                let most = gate.most_in_a_second(turns_cold);
                assert!(most > 0, "{milli} at {step}: none started");
                assert!(
                    most as f64 <= allowed(milli),
                    "{milli} at {step}, probes {probe_ms}: {most}"
                );
            }
        }
    }
}

#[test]
fn without_readings_an_upstream_counts_as_cold() {
    let mut gate = Gate::begin(rule(13_000), 0);
    for now in (0..10 * SECOND).step_by(1_000) {
        gate.offer(now);
    }
    assert!(gate.most_in_a_second(0) as f64 <= allowed(13_000));
    assert!(gate.started.len() >= 125, "{}", gate.started.len());
}

#[test]
fn a_gate_that_restarts_saves_nothing_up() {
    let mut before = Gate::begin(rule(13_000), 0);
    for now in (0..5 * SECOND).step_by(1_000) {
        before.offer(now);
    }
    let mut after = Gate::begin(rule(13_000), 5 * SECOND);
    for now in (5 * SECOND..8 * SECOND).step_by(1_000) {
        after.offer(now);
    }
    before.started.extend(after.started);
    assert!(before.most_in_a_second(0) as f64 <= allowed(13_000));
}

#[test]
fn arrivals_that_bunch_after_silence_keep_the_bound() {
    let mut gate = Gate::begin(rule(13_000), 0);
    let turns_cold = 30 * SECOND;
    gate.hear(turns_cold - 1_900_000, 0);
    for now in (turns_cold..turns_cold + SECOND).step_by(100) {
        gate.offer(now);
    }
    assert!(gate.most_in_a_second(turns_cold) as f64 <= allowed(13_000));
}

#[test]
fn a_reading_holds_for_a_time_and_a_few_starts() {
    let rule = rule(13_000);
    let read_at = Instant::from_micros(SECOND);
    let reading = |starts_since| ColdReading {
        warm_at: Some(read_at),
        cold_until: read_at,
        starts_since,
    };
    let soon = read_at.plus_micros(1_000);
    assert_eq!(reading(0).temperature(&rule, soon), Temperature::Warm);
    assert_eq!(reading(8).temperature(&rule, soon), Temperature::Warm);
    assert!(reading(8).wants_reading(&rule, soon));
    assert_eq!(reading(9).temperature(&rule, soon), Temperature::Unknown);
    let later = read_at.plus_micros(2 * SECOND);
    assert_eq!(reading(0).temperature(&rule, later), Temperature::Unknown);
    let cold = ColdReading {
        cold_until: later,
        ..reading(0)
    };
    assert_eq!(cold.temperature(&rule, soon), Temperature::Cold);
    assert!(!cold.wants_reading(&rule, soon), "it said how long");
    assert_eq!(cold.temperature(&rule, later), Temperature::Unknown);
}

#[test]
fn the_lower_of_two_rates_holds() {
    let rate = |milli| Some(StartRate::from_milli(milli));
    assert_eq!(StartRate::lower(rate(2_400), rate(13_000)), rate(2_400));
    assert_eq!(StartRate::lower(rate(13_000), rate(2_400)), rate(2_400));
    assert_eq!(StartRate::lower(None, rate(1_000)), rate(1_000));
    assert_eq!(StartRate::lower(None, None), None);
}
