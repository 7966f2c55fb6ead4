//! A short queue that is fair between callers and ordered by deadline.

use std::collections::HashMap;

use crate::CallerName;
use crate::Deadline;
use crate::Instant;
use crate::NotRunReason;

/// How a kind of request stands towards others of the same caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Urgency {
    /// Served before ordinary requests of the same caller.
    Urgent,
    /// Served by deadline.
    Ordinary,
}

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiter<T> {
    /// Whose request it is.
    pub caller: CallerName,
    /// The caller's share, at least one.
    pub weight: u32,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Until when it must start for its answer to have its full worth.
    pub start_by: Deadline,
    /// When it stops being wanted.
    pub deadline: Deadline,
    /// What the waiter is to be told through.
    pub ticket: T,
}

/// A waiter that leaves the queue without a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueueFull<T> {
    /// The waiter's ticket.
    pub ticket: T,
    /// Why it was refused.
    pub reason: NotRunReason,
}

/// What became of a request put into the queue.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Queued<T> {
    /// It waits, and nobody had to leave.
    Waiting,
    /// Somebody had to leave, perhaps the newcomer.
    Refused(QueueFull<T>),
}

#[derive(Clone, Debug)]
struct Place<T> {
    waiter: Waiter<T>,
    late: bool,
    arrival: u64,
}

/// A bounded queue that shares slots between callers by weight.
///
/// The next slot goes to the caller with the least use of the upstream for
/// its weight; among one caller's requests the urgent go first, then those
/// that can still be answered in time, the earliest first, then the late. When the queue is full, the caller with the most waiting
/// for its weight gives up its last request.
#[derive(Debug)]
pub struct WaitQueue<T> {
    places: Vec<Place<T>>,
    capacity: usize,
    arrivals: u64,
}

impl<T> WaitQueue<T> {
    /// Create a queue of up to `capacity` waiters.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            places: Vec::with_capacity(capacity),
            capacity,
            arrivals: 0,
        }
    }

    /// Return how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Report whether nobody waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Change the capacity; waiters beyond it stay until served or refused.
    pub const fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Add a waiter, refusing somebody if the queue is full.
    pub fn push(&mut self, waiter: Waiter<T>) -> Queued<T> {
        let arrival = self.arrivals;
        self.arrivals += 1;
        let newcomer = waiter.caller.clone();
        self.places.push(Place {
            waiter,
            late: false,
            arrival,
        });
        if self.places.len() <= self.capacity {
            return Queued::Waiting;
        }
        let loser = self.largest_caller();
        let reason = if loser == newcomer {
            NotRunReason::QueueFull
        } else {
            NotRunReason::ShareExceeded
        };
        let ticket = self.take_last_of(&loser);
        Queued::Refused(QueueFull { ticket, reason })
    }

    /// Take out every waiter whose deadline has passed.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.take_if(|waiter| waiter.deadline.has_passed(now))
    }

    /// Return how many wait that must start before `start_by`.
    #[must_use]
    pub fn ahead_of(&self, start_by: Deadline) -> u32 {
        let ahead = self
            .places
            .iter()
            .filter(|place| !place.late && place.waiter.start_by <= start_by);
        ahead.count() as u32
    }

    /// Put those behind that can't be answered in time any more.
    pub fn demote_late(&mut self, now: Instant) {
        for place in &mut self.places {
            place.late = place.waiter.start_by.has_passed(now);
        }
    }

    /// Take out everybody.
    pub fn drain(&mut self) -> Vec<T> {
        self.take_if(|_| true)
    }

    /// Return the waiter that is next in fairness.
    pub fn peek(&self, in_use: impl Fn(&CallerName) -> u32) -> Option<&Waiter<T>> {
        let place = self.places.iter().min_by(|a, b| order(a, b, &in_use))?;
        Some(&place.waiter)
    }

    /// Take out the waiter that is next in fairness.
    ///
    /// `in_use` tells how many slots a caller holds now.
    pub fn pop(&mut self, in_use: impl Fn(&CallerName) -> u32) -> Option<T> {
        let best = self
            .places
            .iter()
            .enumerate()
            .min_by(|(_, a), (_, b)| order(a, b, &in_use))
            .map(|(index, _)| index)?;
        Some(self.places.remove(best).waiter.ticket)
    }

    /// Return the earliest deadline of a waiter.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Deadline> {
        self.places.iter().map(|place| place.waiter.deadline).min()
    }

    fn take_if(&mut self, wanted: impl Fn(&Waiter<T>) -> bool) -> Vec<T> {
        self.places
            .extract_if(.., |place| wanted(&place.waiter))
            .map(|place| place.waiter.ticket)
            .collect()
    }

    /// Return the caller with the most waiters for its weight.
    fn largest_caller(&self) -> CallerName {
        let mut counts: HashMap<&CallerName, (u64, u64)> = HashMap::new();
        for place in &self.places {
            let weight = u64::from(place.waiter.weight.max(1));
            let count = counts.entry(&place.waiter.caller).or_insert((0, weight));
            count.0 += 1;
        }
        counts
            .into_iter()
            .max_by(|(a, (n, w)), (b, (m, v))| (n * v).cmp(&(m * w)).then_with(|| a.cmp(b)))
            .map(|(caller, _)| caller.clone())
            .expect("a queue over its capacity has a waiter")
    }

    fn take_last_of(&mut self, caller: &CallerName) -> T {
        let index = self
            .places
            .iter()
            .enumerate()
            .filter(|(_, place)| place.waiter.caller == *caller)
            .max_by_key(|(_, place)| rank(place))
            .map(|(index, _)| index)
            .expect("the largest caller has a waiter");
        self.places.remove(index).waiter.ticket
    }
}

fn rank<T>(place: &Place<T>) -> (Urgency, bool, Deadline, u64) {
    let waiter = &place.waiter;
    let due = if place.late {
        waiter.deadline
    } else {
        waiter.start_by
    };
    (waiter.urgency, place.late, due, place.arrival)
}

fn order<T>(
    a: &Place<T>,
    b: &Place<T>,
    in_use: &impl Fn(&CallerName) -> u32,
) -> std::cmp::Ordering {
    let use_a = u64::from(in_use(&a.waiter.caller)) * u64::from(b.waiter.weight.max(1));
    let use_b = u64::from(in_use(&b.waiter.caller)) * u64::from(a.waiter.weight.max(1));
    use_a.cmp(&use_b).then_with(|| rank(a).cmp(&rank(b)))
}
