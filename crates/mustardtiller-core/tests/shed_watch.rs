//! Upstreams that shed although they have room: how many requests they cost a service.

use mustardtiller_core::Instant;
use mustardtiller_core::ShedWatch;

const SECOND_MS: u64 = 1_000;

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * SECOND_MS)
}

/// Play requests every 60 ms on an upstream that sheds eight of ten until `healed_ms`.
///
/// Entries send nothing while the gate says to avoid it. Returns the sheds, and when the
/// upstream took its first request after it healed.
fn play(healed_ms: u64, until_ms: u64) -> (u32, u64) {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut watch = ShedWatch::default();
    let mut sheds = 0;
    let mut back_at = 0;
    for now_ms in (0..until_ms).step_by(60) {
        if watch.is_avoided(at(now_ms)) {
            continue;
        }
        let shed = now_ms < healed_ms && rng.u8(0..10) < 8;
        sheds += u32::from(shed);
        if now_ms >= healed_ms && back_at == 0 {
            back_at = now_ms;
        }
        watch = watch.after(shed, at(now_ms));
    }
    (sheds, back_at)
}

#[test]
fn few_requests_are_shed_in_a_long_fault() {
    // Untouched, 8,500 ms of this load lose 113 requests.
    let (sheds, back_at) = play(8_500, 20_000);
    assert!(sheds <= 15, "{sheds}");
    assert!(back_at < 8_500 + 8_000, "{back_at}");
}

#[test]
fn a_few_sheds_do_not_pause_a_busy_upstream() {
    let mut watch = ShedWatch::default();
    for request in 0..1_000 {
        watch = watch.after(request % 20 == 0, at(request * 60));
    }
    assert_eq!(watch.avoid_until, None);
}

#[test]
fn pauses_grow_until_the_upstream_recovers() {
    let pause_of = |watch: ShedWatch, now: u64| watch.avoid_until.unwrap().remaining(at(now));
    let mut watch = ShedWatch::default();
    let mut last = std::time::Duration::ZERO;
    let mut now = 0;
    for _ in 0..4 {
        while !watch.is_avoided(at(now)) {
            now += 60;
            watch = watch.after(true, at(now));
        }
        let pause = pause_of(watch, now);
        assert!(pause > last);
        last = pause;
        now += pause.as_millis() as u64 + 1;
    }
    for _ in 0..40 {
        watch = watch.after(false, at(now));
    }
    assert_eq!(watch.pauses, 0);
}
