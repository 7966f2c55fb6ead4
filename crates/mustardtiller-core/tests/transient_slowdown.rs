//! Admission during transient slowdowns of the upstream's host.

use mustardtiller_core::Admission;
use mustardtiller_core::AdmissionRequest;
use mustardtiller_core::Deadline;
use mustardtiller_core::Forecast;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Slowdown;

const SERVICE_MICROS: u64 = 180_000;

fn forecast(slowdown: Slowdown) -> Forecast {
    Forecast {
        now: Instant::from_micros(1_000_000),
        running: 0,
        waiting: 0,
        limit: 8,
        slots: 8,
        service_micros: SERVICE_MICROS,
        mean_micros: SERVICE_MICROS,
        slowdown,
        starts: None,
    }
}

fn slow_for(slow_micros: u64) -> Slowdown {
    Slowdown {
        percent: 500,
        slow_micros,
    }
}

fn request(queue_mode: QueueMode) -> AdmissionRequest {
    let now = Instant::from_micros(1_000_000);
    AdmissionRequest {
        queue_mode,
        target: Deadline::in_millis(now, 600),
        deadline: Deadline::in_millis(now, 1_500),
    }
}

#[test]
fn long_request_waits_during_a_transient_slowdown() {
    let slow = forecast(slow_for(20_000));
    assert_eq!(
        slow.admission(&request(QueueMode::Queue), 0),
        Admission::Wait
    );
    let busy = Admission::Refuse(NotRunReason::Busy);
    assert_eq!(slow.admission(&request(QueueMode::None), 0), busy);
}

#[test]
fn lasting_slowdown_delays_nothing() {
    let slow = forecast(slow_for(2_000_000));
    assert_eq!(
        slow.admission(&request(QueueMode::Queue), 0),
        Admission::Start
    );
}

#[test]
fn short_request_starts_during_a_slowdown() {
    let slow = Forecast {
        service_micros: 20_000,
        ..forecast(slow_for(20_000))
    };
    assert_eq!(
        slow.admission(&request(QueueMode::Queue), 0),
        Admission::Start
    );
}

#[test]
fn short_request_takes_its_last_useful_start() {
    let slow = Forecast {
        service_micros: 35_000,
        ..forecast(slow_for(20_000))
    };
    let after = |millis| Deadline::in_millis(slow.now, millis);
    // Started during the slowdown, it takes 175 ms.
    assert!(slow.keeps_waiting(after(300)));
    assert!(!slow.keeps_waiting(after(200)));
    let late = AdmissionRequest {
        deadline: after(200),
        ..request(QueueMode::Queue)
    };
    assert_eq!(slow.admission(&late, 0), Admission::Start);
}

#[test]
fn long_request_never_starts_during_a_transient_slowdown() {
    let slow = forecast(slow_for(20_000));
    for millis in [200, 500, 950, 1_500] {
        assert!(
            slow.keeps_waiting(Deadline::in_millis(slow.now, millis)),
            "{millis}"
        );
    }
}

#[test]
fn short_request_is_queued_although_it_will_be_late() {
    let full = Forecast {
        running: 8,
        service_micros: 40_000,
        mean_micros: 45_000,
        ..forecast(Slowdown::NONE)
    };
    let now = full.now;
    let tight = AdmissionRequest {
        target: Deadline::in_millis(now, 20),
        deadline: Deadline::in_millis(now, 400),
        ..request(QueueMode::Queue)
    };
    assert_eq!(full.admission(&tight, 2), Admission::Wait);
}

/// Return the share of requests answered within 600 ms, in percent.
///
/// Simulates one upstream of eight slots in virtual time. Its host is five
/// times slower in a quarter of all periods of 150 ms.
fn in_time_percent(keeps_waiting: bool) -> u32 {
    const SLOTS: usize = 8;
    const PERIOD: u64 = 150_000;
    const TARGET: u64 = 600_000;
    let mut rng = fastrand::Rng::with_seed(5);
    let slow_periods: Vec<bool> = (0..1_000).map(|_| rng.u32(0..4) == 0).collect();
    let slow_since = |now: u64| {
        let mut period = (now / PERIOD) as usize;
        if !slow_periods[period] {
            return None;
        }
        while period > 0 && slow_periods[period - 1] {
            period -= 1;
        }
        Some(period as u64 * PERIOD)
    };
    let (mut ends, mut queue) = (Vec::<u64>::new(), Vec::<u64>::new());
    let (mut in_time, mut requests) = (0, 0);
    let mut next = 0;
    for now in (0..140_000_000_u64).step_by(1_000) {
        ends.retain(|&end| end > now);
        if now >= next {
            next = now + rng.u64(10_000..70_000);
            queue.push(now);
            requests += 1;
        }
        queue.retain(|&arrived| now < arrived + 1_500_000);
        let slow = slow_since(now);
        let slowdown = slow.map_or(Slowdown::NONE, |since| slow_for(now - since));
        let waits = keeps_waiting && forecast(slowdown).slowdown_wait_micros() > 0;
        while !waits && ends.len() < SLOTS && !queue.is_empty() {
            let arrived = queue.remove(0);
            let service = SERVICE_MICROS * u64::from(slowdown.percent) / 100;
            ends.push(now + service);
            in_time += u32::from(now + service <= arrived + TARGET);
        }
    }
    in_time * 100 / requests
}

#[test]
fn waiting_for_the_end_of_slowdowns_serves_more_in_time() {
    let (starting, waiting) = (in_time_percent(false), in_time_percent(true));
    assert!(
        starting < 80,
        "{starting}% in time when requests start at once"
    );
    assert!(waiting > 97, "{waiting}% in time when requests wait");
}
