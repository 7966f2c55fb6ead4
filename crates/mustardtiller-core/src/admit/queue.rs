//! A bounded wait queue, fair between callers and ordered by deadline.

use std::cmp::Ordering;
use std::collections::HashMap;

use crate::CallerName;
use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;
use crate::ShareFloor;
use crate::WaitRank;

/// Priority of a kind of request among those of the same caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Served before ordinary requests of the same caller.
    Urgent,
    /// Served in order of deadline.
    Ordinary,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiter<T> {
    /// The caller that sent the request.
    pub caller: CallerName,
    /// The caller's share; zero counts as one.
    pub weight: u32,
    /// Its priority among the caller's requests.
    pub urgency: Urgency,
    /// Its rank among the caller's requests of the same urgency.
    pub rank: WaitRank,
    /// The latest start at which it is answered within its latency target.
    pub start_by: Deadline,
    /// When it is given up and removed from the queue.
    pub deadline: Deadline,
    /// Handle through which the waiter is answered; returned when it leaves the queue.
    pub handle: T,
}

/// A waiter that was removed without a slot because the queue was full.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusedWaiter<T> {
    /// The waiter's handle.
    pub handle: T,
    /// Why it was refused.
    pub reason: NotRunReason,
}

/// The result of adding a request to the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Queued<T> {
    /// The request waits, and none was refused.
    Waiting,
    /// The queue was full and a request was refused, perhaps the new one.
    Refused(RefusedWaiter<T>),
}

#[derive(Clone, Debug)]
struct QueueEntry<T> {
    waiter: Waiter<T>,
    late: bool,
    arrival: u64,
}

/// A bounded queue that shares slots between callers by weight.
///
/// The next slot goes to the caller that holds the fewest slots for its weight.
/// Among one caller's requests the urgent go first, then those that can still
/// meet their latency target, by rank and within a rank the earliest first, then the
/// late ones. A rank that got less than a quarter of its share goes before the other
/// ranks. When the queue is full, the caller with the most waiters for its weight loses
/// its last request.
///
/// Answers a burst of one kind of request: kinds of higher rank keep their latency, and
/// those of lower rank wait while they can still be in time.
#[derive(Debug)]
pub struct WaitQueue<T> {
    entries: Vec<QueueEntry<T>>,
    capacity: usize,
    arrivals: u64,
    floor: ShareFloor,
}

impl<T> WaitQueue<T> {
    /// Create a queue of up to `capacity` waiters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: Vec::with_capacity(capacity),
            capacity,
            arrivals: 0,
            floor: ShareFloor::default(),
        }
    }

    /// Return the number of waiters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Report whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Change the capacity; waiters beyond it stay until served or refused.
    pub const fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Add a waiter; if the queue is full, refuse one.
    pub fn push(&mut self, waiter: Waiter<T>) -> Queued<T> {
        let arrival = self.arrivals;
        self.arrivals += 1;
        let newcomer = waiter.caller.clone();
        self.entries.push(QueueEntry {
            waiter,
            late: false,
            arrival,
        });
        if self.entries.len() <= self.capacity {
            return Queued::Waiting;
        }
        let largest = self.largest_caller();
        let last = self.remove_last_of(&largest);
        let reason = if largest != newcomer {
            NotRunReason::ShareExceeded
        } else if last.arrival != arrival {
            NotRunReason::Displaced
        } else {
            NotRunReason::QueueFull
        };
        let handle = last.waiter.handle;
        Queued::Refused(RefusedWaiter { handle, reason })
    }

    /// Remove every waiter whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.remove_if(|waiter| waiter.deadline.has_passed(now))
    }

    /// Count a request that found no free slot, whether or not it will wait.
    pub fn note_offered(&mut self, rank: WaitRank) {
        self.floor.note_offered(rank);
    }

    /// Return how many waiters that are not late go before a new one.
    ///
    /// A rank that got less than its floor has only its own waiters before it.
    #[must_use]
    pub fn ahead_of(&self, rank: WaitRank, start_by: Deadline) -> u32 {
        let owed = self.floor.is_owed(rank);
        let ahead = self.entries.iter().filter(|entry| {
            let waiter = &entry.waiter;
            let precedes = match waiter.rank.cmp(&rank) {
                Ordering::Less => !owed,
                Ordering::Equal => waiter.start_by <= start_by,
                Ordering::Greater => false,
            };
            !entry.late && precedes
        });
        ahead.count() as u32
    }

    /// Move waiters that can no longer meet their latency target behind the others.
    pub fn demote_late(&mut self, now: Instant) {
        for entry in &mut self.entries {
            entry.late = entry.waiter.start_by.has_passed(now);
        }
    }

    /// Remove every waiter.
    pub fn drain(&mut self) -> Vec<T> {
        self.remove_if(|_| true)
    }

    /// Return the waiter that gets the next slot.
    ///
    /// `in_use` returns how many slots a caller holds now.
    pub fn peek(&self, in_use: impl Fn(&CallerName) -> u32) -> Option<&Waiter<T>> {
        let index = self.next_index(in_use)?;
        Some(&self.entries[index].waiter)
    }

    /// Remove the waiter that gets the next slot.
    ///
    /// `in_use` returns how many slots a caller holds now.
    pub fn pop(&mut self, in_use: impl Fn(&CallerName) -> u32) -> Option<T> {
        let next = self.next_index(in_use)?;
        let waiter = self.entries.remove(next).waiter;
        self.floor.note_started(waiter.rank);
        Some(waiter.handle)
    }

    fn next_index(&self, in_use: impl Fn(&CallerName) -> u32) -> Option<usize> {
        let key = |entry: &QueueEntry<T>| (self.order(entry), entry.arrival);
        let entries = self.entries.iter().enumerate();
        let next = entries.min_by(|(_, a), (_, b)| {
            compare_shares(a, b, &in_use).then_with(|| key(a).cmp(&key(b)))
        });
        next.map(|(index, _)| index)
    }

    /// Return the sort key among one caller's requests; the lowest is served first.
    fn order(&self, entry: &QueueEntry<T>) -> (Urgency, bool, bool, WaitRank, Deadline) {
        let waiter = &entry.waiter;
        let due = if entry.late {
            waiter.deadline
        } else {
            waiter.start_by
        };
        let owed = self.floor.is_owed(waiter.rank);
        (waiter.urgency, entry.late, !owed, waiter.rank, due)
    }

    /// Return the earliest deadline of a waiter.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Deadline> {
        self.entries.iter().map(|entry| entry.waiter.deadline).min()
    }

    /// Remove the waiters that match.
    pub fn remove_if(&mut self, matches: impl Fn(&Waiter<T>) -> bool) -> Vec<T> {
        self.entries
            .extract_if(.., |entry| matches(&entry.waiter))
            .map(|entry| entry.waiter.handle)
            .collect()
    }

    /// Return the caller with the most waiters for its weight.
    fn largest_caller(&self) -> CallerName {
        let mut counts: HashMap<&CallerName, (u64, u64)> = HashMap::new();
        for entry in &self.entries {
            let weight = u64::from(entry.waiter.weight.max(1));
            let count = counts.entry(&entry.waiter.caller).or_insert((0, weight));
            count.0 += 1;
        }
        counts
            .into_iter()
            .max_by(|(a, (n, w)), (b, (m, v))| (n * v).cmp(&(m * w)).then_with(|| a.cmp(b)))
            .map(|(caller, _)| caller.clone())
            .expect("a queue over its capacity has a waiter")
    }

    fn remove_last_of(&mut self, caller: &CallerName) -> QueueEntry<T> {
        let index = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.waiter.caller == *caller)
            .max_by_key(|(_, entry)| (self.order(entry), entry.arrival))
            .map(|(index, _)| index)
            .expect("the largest caller has a waiter");
        self.entries.remove(index)
    }
}

/// Compare by slots held for the caller's weight.
fn compare_shares<T>(
    a: &QueueEntry<T>,
    b: &QueueEntry<T>,
    in_use: &impl Fn(&CallerName) -> u32,
) -> Ordering {
    let use_a = u64::from(in_use(&a.waiter.caller)) * u64::from(b.waiter.weight.max(1));
    let use_b = u64::from(in_use(&b.waiter.caller)) * u64::from(a.waiter.weight.max(1));
    use_a.cmp(&use_b)
}
