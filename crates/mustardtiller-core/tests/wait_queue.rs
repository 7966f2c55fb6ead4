//! The gate's wait queue against a simple model.

use std::collections::HashMap;

use mustardtiller_core::CallerName;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Queued;
use mustardtiller_core::Urgency;
use mustardtiller_core::WaitQueue;
use mustardtiller_core::WaitRank;
use mustardtiller_core::Waiter;

const CALLERS: [(&str, u32); 3] = [("a", 1), ("b", 2), ("c", 3)];

fn waiter(rng: &mut fastrand::Rng, handle: u64) -> Waiter<u64> {
    let (caller, weight) = CALLERS[rng.usize(..CALLERS.len())];
    let deadline = Deadline::at(Instant::from_micros(rng.u64(0..1_000)));
    Waiter {
        caller: CallerName::new(caller),
        weight,
        urgency: if rng.u8(0..4) == 0 {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        },
        rank: WaitRank::Root(0),
        start_by: deadline,
        deadline,
        handle,
    }
}

/// The model: fewest slots held for the weight, then urgency, deadline and arrival.
fn model_next(waiting: &[Waiter<u64>], in_use: &HashMap<&str, u32>) -> Option<u64> {
    let key = |w: &Waiter<u64>| {
        let per_weight = u64::from(in_use[w.caller.as_str()]) * 6 / u64::from(w.weight);
        (per_weight, w.urgency, w.deadline, w.handle)
    };
    waiting.iter().min_by_key(|w| key(w)).map(|w| w.handle)
}

#[test]
fn pop_agrees_with_the_model() {
    for seed in 0..300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut queue = WaitQueue::new(64);
        let mut model: Vec<Waiter<u64>> = Vec::new();
        for handle in 0..200 {
            // All weights divide six, so the model's shares are exact.
            let in_use: HashMap<&str, u32> = CALLERS
                .iter()
                .map(|(name, _)| (*name, rng.u32(0..10)))
                .collect();
            if rng.bool() && model.len() < 60 {
                let new = waiter(&mut rng, handle);
                model.push(new.clone());
                assert_eq!(queue.push(new), Queued::Waiting);
            } else {
                let expected = model_next(&model, &in_use);
                let next = queue.pop(|caller| in_use[caller.as_str()]);
                assert_eq!(next, expected, "seed {seed}");
                model.retain(|w| Some(w.handle) != expected);
            }
            if rng.u8(0..20) == 0 {
                let now = Instant::from_micros(rng.u64(0..300));
                let mut expired = queue.expire(now);
                let (past, kept) = model.into_iter().partition(|w| w.deadline.has_passed(now));
                model = kept;
                let past: Vec<Waiter<u64>> = past;
                let mut expected: Vec<u64> = past.iter().map(|w| w.handle).collect();
                expired.sort_unstable();
                expected.sort_unstable();
                assert_eq!(expired, expected);
            }
            assert_eq!(queue.len(), model.len());
            assert_eq!(
                queue.next_deadline(),
                model.iter().map(|w| w.deadline).min()
            );
        }
    }
}

#[test]
fn full_queue_refuses_the_largest_caller() {
    let mut queue = WaitQueue::new(4);
    let deadline = Deadline::at(Instant::from_micros(10));
    let new = |caller: &str, handle| Waiter {
        caller: CallerName::new(caller),
        weight: 1,
        urgency: Urgency::Ordinary,
        rank: WaitRank::Root(0),
        start_by: deadline,
        deadline,
        handle,
    };
    for handle in 0..4 {
        queue.push(new("noisy", handle));
    }
    let Queued::Refused(refused) = queue.push(new("quiet", 9)) else {
        panic!("a queue of capacity four took a fifth waiter");
    };
    assert_eq!(refused.handle, 3, "the last of the noisy caller's waiters");
    assert_eq!(
        queue.pop(|caller| u32::from(caller.as_str() == "noisy")),
        Some(9)
    );
}

/// A caller that sends ten times as much takes none of the other's share.
#[test]
fn noisy_caller_gets_only_its_share() {
    let mut queue = WaitQueue::new(24);
    let mut rng = fastrand::Rng::with_seed(5);
    let mut served: HashMap<String, u32> = HashMap::new();
    let mut in_use: Vec<String> = Vec::new();
    for handle in 0..20_000_u64 {
        let name = if rng.u8(0..11) < 10 { "noisy" } else { "quiet" };
        queue.push(Waiter {
            caller: CallerName::new(name),
            weight: 1,
            urgency: Urgency::Ordinary,
            rank: WaitRank::Root(0),
            start_by: Deadline::at(Instant::from_micros(handle + 500)),
            deadline: Deadline::at(Instant::from_micros(handle + 500)),
            handle: name.to_owned(),
        });
        for _ in 0..queue.expire(Instant::from_micros(handle)).len() {}
        // At every fifth arrival, one of the four slots becomes free.
        if handle % 5 == 0 {
            if in_use.len() == 4 {
                in_use.remove(0);
            }
            let slots_of = |caller: &CallerName| {
                in_use
                    .iter()
                    .filter(|held| **held == caller.as_str())
                    .count() as u32
            };
            if let Some(name) = queue.pop(slots_of) {
                *served.entry(name.clone()).or_default() += 1;
                in_use.push(name);
            }
        }
    }
    // The quiet caller sends an eleventh of 20,000 requests, and 4,000 slots
    // become free: all of its requests fit into its half.
    assert!(served["quiet"] >= 1_700, "{served:?}");
}
