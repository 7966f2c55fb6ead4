//! Which requests a gate starts, queues and refuses, also at twice its capacity.

use mustardtiller_core::Admission;
use mustardtiller_core::AdmissionRequest;
use mustardtiller_core::Deadline;
use mustardtiller_core::Forecast;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Slowdown;

fn forecast() -> Forecast {
    Forecast {
        now: Instant::from_micros(1_000_000),
        running: 4,
        waiting: 0,
        limit: 8,
        slots: 10,
        service_micros: 100_000,
        mean_micros: 100_000,
        slowdown: Slowdown::NONE,
        starts: None,
    }
}

fn slowed(percent: u32, slow_micros: u64) -> Slowdown {
    Slowdown {
        percent,
        slow_micros,
    }
}

fn request(queue_mode: QueueMode, target_ms: u64, deadline_ms: u64) -> AdmissionRequest {
    let now = forecast().now;
    AdmissionRequest {
        queue_mode,
        target: Deadline::in_millis(now, target_ms),
        deadline: Deadline::in_millis(now, deadline_ms),
    }
}

#[test]
fn request_takes_a_free_slot() {
    let request = request(QueueMode::None, 300, 1_000);
    assert_eq!(forecast().admission(&request, 0), Admission::Start);
}

#[test]
fn hopeless_request_is_refused() {
    let request = request(QueueMode::Queue, 0, 40);
    let refused = Admission::Refuse(NotRunReason::TooLate);
    assert_eq!(forecast().admission(&request, 0), refused);
}

#[test]
fn immediate_offer_is_refused_when_full_or_slow() {
    let request = request(QueueMode::None, 300, 1_000);
    let busy = Admission::Refuse(NotRunReason::Busy);
    let full = Forecast {
        running: 8,
        ..forecast()
    };
    assert_eq!(full.admission(&request, 0), busy);
    let slow = Forecast {
        slowdown: slowed(500, 0),
        ..forecast()
    };
    assert_eq!(slow.admission(&request, 0), busy);
}

#[test]
fn request_is_queued_only_if_answered_in_time() {
    let full = Forecast {
        running: 8,
        waiting: 10,
        ..forecast()
    };
    let request = request(QueueMode::Queue, 250, 1_000);
    assert_eq!(full.admission(&request, 2), Admission::Wait);
    let refused = Admission::Refuse(NotRunReason::QueueFull);
    assert_eq!(full.admission(&request, 20), refused);
}

#[test]
fn short_requests_fill_every_slot_and_may_be_late() {
    let full = Forecast {
        running: 8,
        service_micros: 20_000,
        ..forecast()
    };
    let immediate = request(QueueMode::None, 30, 200);
    assert_eq!(full.admission(&immediate, 0), Admission::Start);
    let all_slots_used = Forecast {
        running: 10,
        ..full
    };
    let queued = request(QueueMode::Queue, 30, 200);
    assert_eq!(all_slots_used.admission(&queued, 3), Admission::Wait);
}

/// Simulate one gate at about twice its capacity in virtual time.
///
/// Requests take 100 ms and have a target of 300 ms and a deadline of 1,000 ms.
/// Returns the share of served requests that meet their target, in percent.
fn in_time_percent(decide: impl Fn(&Forecast, &AdmissionRequest, u32) -> Admission) -> u32 {
    const LIMIT: usize = 8;
    const SERVICE: u64 = 100_000;
    let mut rng = fastrand::Rng::with_seed(11);
    let mut ends: Vec<u64> = Vec::new();
    let mut queue: Vec<(u64, u64)> = Vec::new();
    let (mut in_time, mut served) = (0, 0);
    let mut now = 0;
    while now < 60_000_000 {
        now += rng.u64(2_000..10_500);
        loop {
            ends.sort_unstable();
            let freed = match ends.first() {
                Some(&end) if end <= now => ends.remove(0),
                _ => break,
            };
            if queue.is_empty() {
                continue;
            }
            let (target, deadline) = queue.remove(0);
            if freed < deadline {
                ends.push(freed + SERVICE);
                served += 1;
                in_time += u32::from(freed + SERVICE <= target);
            } else {
                ends.insert(0, freed);
            }
        }
        let at = Instant::from_micros(now);
        let forecast = Forecast {
            now: at,
            running: ends.len() as u32,
            waiting: queue.len() as u32,
            limit: LIMIT as u32,
            slots: LIMIT as u32,
            service_micros: SERVICE,
            mean_micros: SERVICE,
            slowdown: Slowdown::NONE,
            starts: None,
        };
        let request = AdmissionRequest {
            queue_mode: QueueMode::Queue,
            target: Deadline::in_millis(at, 300),
            deadline: Deadline::in_millis(at, 1_000),
        };
        match decide(&forecast, &request, queue.len() as u32) {
            Admission::Refuse(_) => {}
            _ if ends.len() < LIMIT => {
                ends.push(now + SERVICE);
                served += 1;
                in_time += 1;
            }
            _ => queue.push((now + 300_000, now + 1_000_000)),
        }
    }
    in_time * 100 / served
}

#[test]
fn served_requests_are_in_time_at_twice_the_capacity() {
    let naive = in_time_percent(|_, _, _| Admission::Wait);
    assert!(naive < 10, "{naive}% in time without admission control");
    let forecast = in_time_percent(Forecast::admission);
    assert!(forecast > 90, "only {forecast}% in time");
}
