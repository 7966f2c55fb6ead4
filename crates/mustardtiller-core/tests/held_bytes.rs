//! A crowd of large bodies that stop short of their end, replayed against the rule.

use mustardtiller_core::HeldRule;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::StalledBody;

/// Length of each body of the crowd, just inside the users' limit.
const BODY_BYTES: u64 = 990_000;

/// Bytes that arrive at once.
const CHUNK_BYTES: u64 = 16_384;

/// What a stream may hold while its receiver is busy.
const STREAM_WINDOW_BYTES: u64 = 256 * 1024;

/// A daemon's account, with what each body of a crowd holds.
struct Account {
    rule: HeldRule,
    bodies: Vec<Option<u64>>,
}

impl Account {
    fn new(crowd: usize) -> Self {
        Self {
            rule: HeldRule::for_host(160),
            bodies: vec![Some(0); crowd],
        }
    }

    fn total(&self) -> u64 {
        self.bodies.iter().flatten().sum()
    }

    /// Let one body grow; it is refused, and holds nothing more, if there is no room.
    fn grow(&mut self, index: usize, more: u64) {
        let total = self.total();
        let Some(own) = self.bodies[index] else {
            return;
        };
        let admitted = self.rule.for_requests().admits(total, own, more);
        self.bodies[index] = admitted.then_some(own + more);
    }

    fn held(&self) -> usize {
        self.bodies.iter().flatten().count()
    }
}

#[test]
fn whole_bodies_leave_room_for_short_requests() {
    let mut account = Account::new(2_048);
    for index in 0..account.bodies.len() {
        account.grow(index, BODY_BYTES);
    }
    let total = account.total();
    assert!(total <= account.rule.capacity_bytes(), "{total} held");
    assert!(account.held() >= 30, "only {} admitted", account.held());
    assert!(account.rule.admits(total, 0, 4_096), "a short body waits");
}

#[test]
fn bodies_that_grow_together_stay_within_the_capacity() {
    let mut account = Account::new(2_048);
    let mut peak = 0;
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        for index in 0..account.bodies.len() {
            account.grow(index, CHUNK_BYTES);
            peak = peak.max(account.total());
        }
    }
    assert!(peak <= account.rule.capacity_bytes(), "{peak} held");
    assert!(account.held() > 0, "the crowd refused itself whole");
    let total = account.total();
    assert!(account.rule.admits(total, 0, 4_096), "a short body waits");
}

#[test]
fn a_crowd_of_bodies_cuts_no_stream() {
    let mut account = Account::new(4_096);
    for index in 0..account.bodies.len() {
        account.grow(index, CHUNK_BYTES);
    }
    let total = account.total();
    let rule = account.rule;
    assert!(!rule.for_requests().admits(total, 0, CHUNK_BYTES));
    assert!(
        rule.admits(total, STREAM_WINDOW_BYTES, CHUNK_BYTES),
        "a stream with a full window is cut at {total} bytes"
    );
}

#[test]
fn a_lone_body_is_always_admitted() {
    for memory_mb in [64, 160, 260, 512] {
        assert!(
            HeldRule::for_host(memory_mb)
                .for_requests()
                .admits(0, 0, 1_000_000)
        );
    }
}

#[test]
fn stalled_bodies_are_given_up_only_where_they_are_in_the_way() {
    let calm = StalledBody {
        stalled_micros: 5_000_000,
        is_dismissed: false,
        is_stopping: false,
        under_pressure: false,
    };
    assert_eq!(calm.refusal(), None);
    let pressed = StalledBody {
        under_pressure: true,
        ..calm
    };
    assert_eq!(pressed.refusal(), Some(NotRunReason::MemoryFull));
    let dismissed = StalledBody {
        is_dismissed: true,
        ..pressed
    };
    assert_eq!(dismissed.refusal(), Some(NotRunReason::EntryFull));
    let stopping = StalledBody {
        is_stopping: true,
        ..dismissed
    };
    assert_eq!(stopping.refusal(), Some(NotRunReason::Leaving));
    let moving = StalledBody {
        stalled_micros: 200_000,
        ..stopping
    };
    assert_eq!(moving.refusal(), None);
}
