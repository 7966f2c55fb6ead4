//! Twice the load that an upstream can serve: how many starts end late.

use mustardtiller_core::Admission;
use mustardtiller_core::AdmissionRequest;
use mustardtiller_core::CallerName;
use mustardtiller_core::Deadline;
use mustardtiller_core::Forecast;
use mustardtiller_core::Instant;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Slowdown;
use mustardtiller_core::Urgency;
use mustardtiller_core::WaitQueue;
use mustardtiller_core::WaitRank;
use mustardtiller_core::Waiter;

const SLOTS: usize = 4;
const USUAL_MS: u64 = 100;
const TARGET_MS: u64 = 300;
const DEADLINE_MS: u64 = 1_000;

/// Interval between two requests: twice as many as the slots serve.
const INTERVAL_MS: usize = 12;

const RUN_MS: u64 = 20_000;

const RANK: WaitRank = WaitRank::Root(1);

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn forecast(now_ms: u64, running: usize, waiting: usize, spread_ms: u64) -> Forecast {
    Forecast {
        now: at(now_ms),
        running: running as u32,
        waiting: waiting as u32,
        limit: SLOTS as u32,
        slots: SLOTS as u32,
        service_micros: USUAL_MS * 1_000,
        spread_micros: spread_ms * 1_000,
        mean_micros: USUAL_MS * 1_000,
        slowdown: Slowdown::NONE,
        starts: None,
    }
}

/// Play the overload; returns the answers in time and those that came late.
fn play(spread_ms: u64) -> (u64, u64) {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut queue: WaitQueue<u64> = WaitQueue::new(SLOTS * 2);
    let mut busy_until = [0_u64; SLOTS];
    let (mut in_time, mut late) = (0, 0);
    for now_ms in 0..RUN_MS {
        let now = at(now_ms);
        queue.expire(now);
        queue.demote_late(now);
        for slot in &mut busy_until {
            if *slot > now_ms {
                continue;
            }
            let Some(asked_ms) = queue.pop(|_| 0) else {
                continue;
            };
            // Usual times of 40 to 160 ms.
            *slot = now_ms + rng.u64(USUAL_MS * 2 / 5..=USUAL_MS * 8 / 5);
            if *slot - asked_ms <= TARGET_MS {
                in_time += 1;
            } else {
                late += 1;
            }
        }
        if !(now_ms as usize).is_multiple_of(INTERVAL_MS) {
            continue;
        }
        let running = busy_until.iter().filter(|&&until| until > now_ms).count();
        let forecast = forecast(now_ms, running, queue.len(), spread_ms);
        let request = AdmissionRequest {
            queue_mode: QueueMode::Queue,
            target: Deadline::at(at(now_ms + TARGET_MS)),
            deadline: Deadline::at(at(now_ms + DEADLINE_MS)),
        };
        let start_by = Deadline::at(at(now_ms + TARGET_MS - USUAL_MS - spread_ms));
        let ahead = queue.ahead_of(RANK, start_by);
        if !matches!(forecast.admission(&request, ahead), Admission::Refuse(_)) {
            queue.push(Waiter {
                caller: CallerName::new("all"),
                weight: 1,
                urgency: Urgency::Ordinary,
                rank: RANK,
                start_by,
                deadline: Deadline::at(at(now_ms + DEADLINE_MS - USUAL_MS / 2)),
                handle: now_ms,
            });
        }
    }
    (in_time, late)
}

#[test]
fn margin_saves_slots_for_answers_in_time() {
    let (in_time_before, late_before) = play(0);
    let (in_time, late) = play(30);
    assert!(in_time > in_time_before, "{in_time} {in_time_before}");
    assert!(late * 2 <= late_before, "{late} {late_before}");
}

#[test]
fn free_slot_needs_no_margin() {
    let request = AdmissionRequest {
        queue_mode: QueueMode::Queue,
        target: Deadline::at(at(USUAL_MS + 10)),
        deadline: Deadline::at(at(DEADLINE_MS)),
    };
    let free = forecast(0, SLOTS - 1, 0, 90);
    assert_eq!(free.admission(&request, 0), Admission::Start);
}
