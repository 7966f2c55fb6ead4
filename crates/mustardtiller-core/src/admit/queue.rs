//! A bounded wait queue, fair between callers and ordered by deadline.

use std::collections::HashMap;

use crate::CallerName;
use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;

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
/// meet their latency target, earliest first, then the late ones. When the
/// queue is full, the caller with the most waiters for its weight loses its
/// last request.
#[derive(Debug)]
pub struct WaitQueue<T> {
    entries: Vec<QueueEntry<T>>,
    capacity: usize,
    arrivals: u64,
}

impl<T> WaitQueue<T> {
    /// Create a queue of up to `capacity` waiters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: Vec::with_capacity(capacity),
            capacity,
            arrivals: 0,
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
        let reason = if largest == newcomer {
            NotRunReason::QueueFull
        } else {
            NotRunReason::ShareExceeded
        };
        let handle = self.remove_last_of(&largest);
        Queued::Refused(RefusedWaiter { handle, reason })
    }

    /// Remove every waiter whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.remove_if(|waiter| waiter.deadline.has_passed(now))
    }

    /// Return how many waiters that are not late must start by `start_by` or earlier.
    #[must_use]
    pub fn ahead_of(&self, start_by: Deadline) -> u32 {
        let ahead = self
            .entries
            .iter()
            .filter(|entry| !entry.late && entry.waiter.start_by <= start_by);
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
        let entry = self.entries.iter().min_by(|a, b| compare(a, b, &in_use))?;
        Some(&entry.waiter)
    }

    /// Remove the waiter that gets the next slot.
    ///
    /// `in_use` returns how many slots a caller holds now.
    pub fn pop(&mut self, in_use: impl Fn(&CallerName) -> u32) -> Option<T> {
        let best = self
            .entries
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| compare(a, b, &in_use))
            .map(|(index, _)| index)?;
        Some(self.entries.remove(best).waiter.handle)
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

    fn remove_last_of(&mut self, caller: &CallerName) -> T {
        let index = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.waiter.caller == *caller)
            .max_by_key(|(_, entry)| rank(entry))
            .map(|(index, _)| index)
            .expect("the largest caller has a waiter");
        self.entries.remove(index).waiter.handle
    }
}

/// Return the sort key among one caller's requests; the lowest is served first.
fn rank<T>(entry: &QueueEntry<T>) -> (Urgency, bool, Deadline, u64) {
    let waiter = &entry.waiter;
    let due = if entry.late {
        waiter.deadline
    } else {
        waiter.start_by
    };
    (waiter.urgency, entry.late, due, entry.arrival)
}

/// Compare by slots held for the caller's weight, then by [`rank`].
fn compare<T>(
    a: &QueueEntry<T>,
    b: &QueueEntry<T>,
    in_use: &impl Fn(&CallerName) -> u32,
) -> std::cmp::Ordering {
    let use_a = u64::from(in_use(&a.waiter.caller)) * u64::from(b.waiter.weight.max(1));
    let use_b = u64::from(in_use(&b.waiter.caller)) * u64::from(a.waiter.weight.max(1));
    use_a.cmp(&use_b).then_with(|| rank(a).cmp(&rank(b)))
}
