//! What a gate takes, lets wait and refuses, and what that does at high load.

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
    }
}

fn spell(percent: u32, slow_micros: u64) -> Slowdown {
    Slowdown {
        percent,
        slow_micros,
    }
}

fn wish(queue_mode: QueueMode, target_ms: u64, deadline_ms: u64) -> AdmissionRequest {
    let now = forecast().now;
    AdmissionRequest {
        queue_mode,
        target: Deadline::in_millis(now, target_ms),
        deadline: Deadline::in_millis(now, deadline_ms),
    }
}

#[test]
fn a_free_slot_is_taken() {
    let wish = wish(QueueMode::None, 300, 1_000);
    assert_eq!(forecast().admission(&wish, 0), Admission::Start);
}

#[test]
fn what_can_not_be_answered_is_refused_at_once() {
    let wish = wish(QueueMode::Queue, 0, 40);
    let refused = Admission::Refuse(NotRunReason::TooLate);
    assert_eq!(forecast().admission(&wish, 0), refused);
}

#[test]
fn one_that_may_not_wait_goes_elsewhere() {
    let wish = wish(QueueMode::None, 300, 1_000);
    let busy = Admission::Refuse(NotRunReason::Busy);
    let full = Forecast {
        running: 8,
        ..forecast()
    };
    assert_eq!(full.admission(&wish, 0), busy);
    let slow = Forecast {
        slowdown: spell(500, 0),
        ..forecast()
    };
    assert_eq!(slow.admission(&wish, 0), busy);
}

#[test]
fn one_waits_only_if_it_is_answered_in_time() {
    let full = Forecast {
        running: 8,
        waiting: 10,
        ..forecast()
    };
    let wish = wish(QueueMode::Queue, 250, 1_000);
    assert_eq!(full.admission(&wish, 2), Admission::Wait);
    let refused = Admission::Refuse(NotRunReason::QueueFull);
    assert_eq!(full.admission(&wish, 20), refused);
}

#[test]
fn short_requests_fill_every_slot_and_may_be_late() {
    let full = Forecast {
        running: 8,
        service_micros: 20_000,
        ..forecast()
    };
    let tight = wish(QueueMode::None, 30, 200);
    assert_eq!(full.admission(&tight, 0), Admission::Start);
    let packed = Forecast {
        running: 10,
        ..full
    };
    let tight = wish(QueueMode::Queue, 30, 200);
    assert_eq!(packed.admission(&tight, 3), Admission::Wait);
}

/// One gate at twice its capacity: requests of 100 ms with a target of 300 and
/// a deadline of 1,000 ms, in given time.
fn in_time_percent(decides: impl Fn(&Forecast, &AdmissionRequest, u32) -> Admission) -> u32 {
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
        };
        let wish = AdmissionRequest {
            queue_mode: QueueMode::Queue,
            target: Deadline::in_millis(at, 300),
            deadline: Deadline::in_millis(at, 1_000),
        };
        match decides(&forecast, &wish, queue.len() as u32) {
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
fn at_twice_the_capacity_what_is_served_is_in_time() {
    let naive = in_time_percent(|_, _, _| Admission::Wait);
    assert!(naive < 10, "everybody waits, and {naive}% are in time");
    let ours = in_time_percent(Forecast::admission);
    assert!(ours > 90, "only {ours}% are in time");
}
