//! Starts at an upstream whose host is slow now and then, in given time.

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
    }
}

fn slow_for(slow_micros: u64) -> Slowdown {
    Slowdown {
        percent: 500,
        slow_micros,
    }
}

fn wish(queue_mode: QueueMode) -> AdmissionRequest {
    let now = Instant::from_micros(1_000_000);
    AdmissionRequest {
        queue_mode,
        target: Deadline::in_millis(now, 600),
        deadline: Deadline::in_millis(now, 1_500),
    }
}

#[test]
fn a_start_waits_out_a_spell() {
    let slow = forecast(slow_for(20_000));
    assert_eq!(slow.admission(&wish(QueueMode::Queue), 0), Admission::Wait);
    let busy = Admission::Refuse(NotRunReason::Busy);
    assert_eq!(slow.admission(&wish(QueueMode::None), 0), busy);
}

#[test]
fn lasting_slowness_holds_nothing_back() {
    let slow = forecast(slow_for(2_000_000));
    assert_eq!(slow.admission(&wish(QueueMode::Queue), 0), Admission::Start);
}

#[test]
fn a_short_request_starts_in_a_spell() {
    let slow = Forecast {
        service_micros: 20_000,
        ..forecast(slow_for(20_000))
    };
    assert_eq!(slow.admission(&wish(QueueMode::Queue), 0), Admission::Start);
}

#[test]
fn a_short_request_takes_its_last_useful_start() {
    let slow = Forecast {
        service_micros: 35_000,
        ..forecast(slow_for(20_000))
    };
    let after = |millis| Deadline::in_millis(slow.now, millis);
    // A slow start takes 175 ms.
    assert!(slow.keeps_waiting(after(300)));
    assert!(!slow.keeps_waiting(after(200)));
    let late = AdmissionRequest {
        deadline: after(200),
        ..wish(QueueMode::Queue)
    };
    assert_eq!(slow.admission(&late, 0), Admission::Start);
}

#[test]
fn a_long_request_never_starts_in_a_spell() {
    let slow = forecast(slow_for(20_000));
    for millis in [200, 500, 950, 1_500] {
        assert!(
            slow.keeps_waiting(Deadline::in_millis(slow.now, millis)),
            "{millis}"
        );
    }
}

#[test]
fn a_short_request_may_be_late_beside_others_that_are_short() {
    let packed = Forecast {
        running: 8,
        service_micros: 40_000,
        mean_micros: 45_000,
        ..forecast(Slowdown::NONE)
    };
    let now = packed.now;
    let tight = AdmissionRequest {
        target: Deadline::in_millis(now, 20),
        deadline: Deadline::in_millis(now, 400),
        ..wish(QueueMode::Queue)
    };
    assert_eq!(packed.admission(&tight, 2), Admission::Wait);
}

/// Share of requests answered in 600 ms, in percent, by one upstream of eight
/// slots on a host that is five times slower in one of four spells of 150 ms.
fn in_time_percent(keeps_waiting: bool) -> u32 {
    const SLOTS: usize = 8;
    const SPELL: u64 = 150_000;
    const TARGET: u64 = 600_000;
    let mut rng = fastrand::Rng::with_seed(5);
    let spells: Vec<bool> = (0..1_000).map(|_| rng.u32(0..4) == 0).collect();
    let slow_since = |now: u64| {
        let mut at = (now / SPELL) as usize;
        if !spells[at] {
            return None;
        }
        while at > 0 && spells[at - 1] {
            at -= 1;
        }
        Some(at as u64 * SPELL)
    };
    let (mut ends, mut queue) = (Vec::<u64>::new(), Vec::<u64>::new());
    let (mut in_time, mut asked) = (0, 0);
    let mut next = 0;
    for now in (0..140_000_000_u64).step_by(1_000) {
        ends.retain(|&end| end > now);
        if now >= next {
            next = now + rng.u64(10_000..70_000);
            queue.push(now);
            asked += 1;
        }
        queue.retain(|&came| now < came + 1_500_000);
        let slow = slow_since(now);
        let slowdown = slow.map_or(Slowdown::NONE, |since| slow_for(now - since));
        let held = keeps_waiting && forecast(slowdown).spell_micros() > 0;
        while !held && ends.len() < SLOTS && !queue.is_empty() {
            let came = queue.remove(0);
            let takes = SERVICE_MICROS * u64::from(slowdown.percent) / 100;
            ends.push(now + takes);
            in_time += u32::from(now + takes <= came + TARGET);
        }
    }
    in_time * 100 / asked
}

#[test]
fn waiting_out_spells_serves_more_in_time() {
    let (starts, waits) = (in_time_percent(false), in_time_percent(true));
    assert!(starts < 80, "{starts}% in time when requests start at once");
    assert!(waits > 97, "{waits}% in time when they wait");
}
