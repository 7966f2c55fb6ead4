//! Account of the bytes that this daemon holds for others.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::events::Event;
use mustardtiller_core::HeldRule;

/// What holds bytes for others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// Request bodies that are held in memory.
    Requests,
    /// Frames of a stream that nobody has taken yet.
    Streams,
    /// Chunks of bodies that wait for a link.
    Links,
    /// Answers of the upstream that are held in memory.
    Answers,
    /// Answers that are kept for repeats of their requests.
    Ledger,
}

impl Holder {
    /// Every holder.
    pub const ALL: &'static [Self] = &[
        Self::Requests,
        Self::Streams,
        Self::Links,
        Self::Answers,
        Self::Ledger,
    ];

    /// Return the text used in metric labels.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Streams => "streams",
            Self::Links => "links",
            Self::Answers => "answers",
            Self::Ledger => "ledger",
        }
    }
}

/// Number of holders.
const HOLDERS: usize = Holder::ALL.len();

/// Account of the bytes that this daemon holds for others.
///
/// Written by every request, through guards that release on drop.
#[derive(Debug)]
pub struct HeldBytes {
    rule: HeldRule,
    total: AtomicU64,
    by_holder: [AtomicU64; HOLDERS],
    /// Whether bytes were refused since the account was last under no pressure.
    is_full: AtomicBool,
}

impl HeldBytes {
    /// Create an empty account.
    #[must_use]
    pub const fn new(rule: HeldRule) -> Self {
        Self {
            rule,
            total: AtomicU64::new(0),
            by_holder: [const { AtomicU64::new(0) }; HOLDERS],
            is_full: AtomicBool::new(false),
        }
    }

    /// Return the bytes of one kind of holder.
    #[must_use]
    pub fn held_by(&self, holder: Holder) -> u64 {
        self.by_holder[holder as usize].load(Ordering::Relaxed)
    }

    /// Return the bytes that all holders may take together.
    #[must_use]
    pub const fn capacity_bytes(&self) -> u64 {
        self.rule.capacity_bytes()
    }

    /// Report whether stalled bodies have to give up what they hold.
    #[must_use]
    pub fn is_under_pressure(&self) -> bool {
        self.rule
            .is_under_pressure(self.total.load(Ordering::Relaxed))
    }

    /// Return the rule by which a kind of holder is judged.
    const fn rule_for(&self, holder: Holder) -> HeldRule {
        match holder {
            Holder::Requests => self.rule.for_requests(),
            Holder::Streams | Holder::Links | Holder::Answers | Holder::Ledger => self.rule,
        }
    }

    /// Report whether a new request could take `bytes`, without taking them.
    #[must_use]
    pub fn has_room(&self, bytes: u64) -> bool {
        let total = self.total.load(Ordering::Relaxed);
        self.rule_for(Holder::Requests).admits(total, 0, bytes) || self.note_full()
    }

    /// Charge bytes that can't be refused any more.
    pub fn charge(&self, holder: Holder, bytes: u64) {
        self.total.fetch_add(bytes, Ordering::Relaxed);
        self.by_holder[holder as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Charge bytes for a holder that has `own` bytes, if the rule admits them.
    pub fn try_charge(&self, holder: Holder, own: u64, bytes: u64) -> bool {
        let total = self.total.fetch_add(bytes, Ordering::Relaxed);
        if !self.rule_for(holder).admits(total, own, bytes) {
            self.total.fetch_sub(bytes, Ordering::Relaxed);
            return self.note_full();
        }
        self.by_holder[holder as usize].fetch_add(bytes, Ordering::Relaxed);
        true
    }

    /// Release bytes that were charged.
    pub fn release(&self, holder: Holder, bytes: u64) {
        self.total.fetch_sub(bytes, Ordering::Relaxed);
        self.by_holder[holder as usize].fetch_sub(bytes, Ordering::Relaxed);
        if self.is_full.load(Ordering::Relaxed) && !self.is_under_pressure() {
            self.is_full.store(false, Ordering::Relaxed);
        }
    }

    /// Log the first refusal since the account was last under no pressure.
    #[cold]
    fn note_full(&self) -> bool {
        let was_full = self.is_full.swap(true, Ordering::Relaxed);
        if !was_full {
            let total = self.total.load(Ordering::Relaxed);
            Event::MemoryFull.log(format_args!(
                "{total} of {} bytes held",
                self.capacity_bytes()
            ));
        }
        false
    }
}

/// Bytes that one holder has taken; released on drop.
#[derive(Debug)]
pub struct HeldGuard {
    account: Arc<HeldBytes>,
    holder: Holder,
    bytes: u64,
}

impl HeldGuard {
    /// Create a guard that holds no bytes.
    #[must_use]
    pub const fn new(account: Arc<HeldBytes>, holder: Holder) -> Self {
        Self {
            account,
            holder,
            bytes: 0,
        }
    }

    /// Take more bytes if the rule admits them.
    pub fn try_grow(&mut self, more: u64) -> bool {
        self.try_grow_beside(0, more)
    }

    /// Take more bytes if the rule admits them to a holder that has `own` bytes elsewhere.
    pub fn try_grow_beside(&mut self, own: u64, more: u64) -> bool {
        let admitted = self.account.try_charge(self.holder, own + self.bytes, more);
        if admitted {
            self.bytes += more;
        }
        admitted
    }

    /// Take more bytes that can't be refused any more.
    pub fn grow(&mut self, more: u64) {
        self.account.charge(self.holder, more);
        self.bytes += more;
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.account.release(self.holder, self.bytes);
    }
}
