//! A burst of one kind at a full upstream: who waits, who starts and who loses its place.

use mustardtiller_core::CallerName;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Queued;
use mustardtiller_core::Urgency;
use mustardtiller_core::WaitQueue;
use mustardtiller_core::WaitRank;
use mustardtiller_core::Waiter;

/// Service time of every request.
const SERVICE_MS: u64 = 100;

/// Slots of the upstream; together they serve 40 requests a second.
const SLOTS: usize = 4;

const SECOND_MS: u64 = 1_000;

/// One kind of request in the replayed load.
#[derive(Clone, Copy)]
struct LoadKind {
    rank: WaitRank,
    per_second: u64,
    target_ms: u64,
    deadline_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Served {
    asked: u64,
    in_time: u64,
    wait_ms: u64,
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

fn waiter(kind: usize, load: LoadKind, now_ms: u64) -> Waiter<(usize, u64)> {
    Waiter {
        caller: CallerName::new("all"),
        weight: 1,
        urgency: Urgency::Ordinary,
        rank: load.rank,
        start_by: Deadline::at(at(now_ms + load.target_ms - SERVICE_MS)),
        deadline: Deadline::at(at(now_ms + load.deadline_ms - SERVICE_MS)),
        handle: (kind, now_ms),
    }
}

/// Play ten seconds of the load on one upstream.
fn play(kinds: &[LoadKind]) -> Vec<Served> {
    let mut queue = WaitQueue::new(SLOTS * 2);
    let mut served = vec![Served::default(); kinds.len()];
    let mut free_at = [0_u64; SLOTS];
    for now_ms in 0..10 * SECOND_MS {
        queue.expire(at(now_ms));
        queue.demote_late(at(now_ms));
        for (index, load) in kinds.iter().enumerate() {
            let due = now_ms * load.per_second / SECOND_MS;
            if due == (now_ms + 1) * load.per_second / SECOND_MS {
                continue;
            }
            served[index].asked += 1;
            queue.note_offered(load.rank);
            queue.push(waiter(index, *load, now_ms));
        }
        for slot in &mut free_at {
            if *slot <= now_ms
                && let Some((kind, asked_ms)) = queue.pop(|_| 0)
            {
                *slot = now_ms + SERVICE_MS;
                served[kind].wait_ms += now_ms - asked_ms;
                let end_ms = now_ms + SERVICE_MS - asked_ms;
                served[kind].in_time += u64::from(end_ms <= kinds[kind].target_ms);
            }
        }
    }
    served
}

fn percent(served: Served) -> u64 {
    served.in_time * 100 / served.asked
}

const GRANTS: LoadKind = LoadKind {
    rank: WaitRank::Root(1),
    per_second: 15,
    target_ms: 400,
    deadline_ms: 1_000,
};

const EXPORTS: LoadKind = LoadKind {
    rank: WaitRank::Root(2),
    per_second: 60,
    target_ms: 800,
    deadline_ms: 3_000,
};

const LOOKUPS: LoadKind = LoadKind {
    rank: WaitRank::Nested,
    per_second: 10,
    target_ms: 150,
    deadline_ms: 200,
};

#[test]
fn higher_ranks_keep_their_latency() {
    let served = play(&[GRANTS, EXPORTS, LOOKUPS]);
    assert!(percent(served[0]) >= 95, "{served:?}");
    assert!(percent(served[2]) >= 95, "{served:?}");
    // The patient kind gets what the others leave: 15 of 60 starts a second.
    assert!(served[1].in_time >= 120, "{served:?}");
}

#[test]
fn no_rank_is_starved() {
    let burst = LoadKind {
        per_second: 90,
        ..GRANTS
    };
    let patient = LoadKind {
        per_second: 30,
        ..EXPORTS
    };
    let served = play(&[burst, patient]);
    // A quarter of the requests is patient; a quarter of that share is a sixteenth.
    let starts = served[0].in_time + served[1].in_time;
    assert!(served[1].in_time * 16 >= starts * 9 / 10, "{served:?}");
    assert!(percent(served[0]) > percent(served[1]), "{served:?}");
}

#[test]
fn lowest_rank_loses_its_place() {
    let mut queue = WaitQueue::new(2);
    queue.push(waiter(0, GRANTS, 0));
    queue.push(waiter(1, EXPORTS, 1));
    let Queued::Refused(refused) = queue.push(waiter(0, GRANTS, 2)) else {
        panic!("a queue of capacity two took a third waiter");
    };
    assert_eq!(refused.handle, (1, 1));
    assert_eq!(refused.reason, NotRunReason::Displaced);
    let Queued::Refused(refused) = queue.push(waiter(1, EXPORTS, 3)) else {
        panic!("a queue of capacity two took a third waiter");
    };
    assert_eq!(refused.handle, (1, 3));
    assert_eq!(refused.reason, NotRunReason::QueueFull);
}

#[test]
fn forecast_counts_only_higher_ranks() {
    let mut queue = WaitQueue::new(8);
    for now_ms in 0..4 {
        queue.push(waiter(1, EXPORTS, now_ms));
    }
    let start_by = Deadline::at(at(5_000));
    assert_eq!(queue.ahead_of(WaitRank::Root(1), start_by), 0);
    assert_eq!(queue.ahead_of(WaitRank::Root(2), start_by), 4);
    assert_eq!(queue.ahead_of(WaitRank::Root(3), start_by), 4);
}

/// Where upstreams don't hand on the depth of calls, any caller could claim one.
#[test]
fn claimed_depth_gives_no_rank() {
    assert_eq!(WaitRank::of(None, false, 3), WaitRank::Root(3));
    assert_eq!(WaitRank::of(None, true, 3), WaitRank::Nested);
    assert_eq!(WaitRank::of(Some(0), false, 3), WaitRank::Root(3));
    assert_eq!(WaitRank::of(Some(1), false, 3), WaitRank::Nested);
}
