//! Links that their entries disown, and what the gate had read of them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;

use super::write_queue::WriteQueue;
use mustardtiller_core::Incarnation;
use mustardtiller_wire::ReadStreams;

/// Streams read out of order that are remembered of one link.
const MAX_OUT_OF_ORDER: usize = 4_096;

/// The name of a link: its entry's incarnation and a random number.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct LinkName {
    /// The incarnation of the entry that opened it.
    pub entry: Incarnation,
    /// The random number that the entry drew.
    pub id: u64,
}

type Links = Mutex<HashMap<LinkName, Sender<WriteQueue>>>;

/// The links that a gate serves, by name.
///
/// It is used when a link begins, ends or is disowned, never on the path of a request.
#[derive(Clone, Debug, Default)]
pub struct LinkDirectory {
    links: Arc<Links>,
}

impl LinkDirectory {
    /// Enter a link, until the entry is dropped.
    pub(super) fn enter(&self, name: LinkName) -> DirectoryEntry {
        let (tx, disowned) = bounded(1);
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.insert(name, tx);
        DirectoryEntry {
            directory: self.clone(),
            name,
            disowned,
        }
    }

    /// Tell a link that its entry disowns it; report whether it is there.
    ///
    /// The link states on `reply` what it has read.
    pub(super) fn disown(&self, name: LinkName, reply: WriteQueue) -> bool {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links
            .get(&name)
            .is_some_and(|link| link.try_send(reply).is_ok())
    }
}

/// The place of one link in the directory.
#[derive(Debug)]
pub(super) struct DirectoryEntry {
    directory: LinkDirectory,
    pub name: LinkName,
    /// Receives the queue on which to state what was read.
    pub disowned: Receiver<WriteQueue>,
}

impl Drop for DirectoryEntry {
    fn drop(&mut self) {
        let links = &self.directory.links;
        let mut links = links.lock().unwrap_or_else(PoisonError::into_inner);
        links.remove(&self.name);
    }
}

/// The streams whose heads a gate has read from one link.
#[derive(Debug)]
pub(super) struct SeenStreams {
    /// All streams below this number.
    below: u32,
    out_of_order: BTreeSet<u32>,
    is_complete: bool,
}

impl Default for SeenStreams {
    fn default() -> Self {
        Self {
            below: 1,
            out_of_order: BTreeSet::new(),
            is_complete: true,
        }
    }
}

impl SeenStreams {
    /// Record that a stream's head was read.
    pub fn insert(&mut self, stream: u32) {
        self.out_of_order.insert(stream);
        while self.out_of_order.remove(&self.below) {
            self.below = self.below.saturating_add(1);
        }
        if self.out_of_order.len() > MAX_OUT_OF_ORDER {
            self.is_complete = false;
            self.out_of_order.clear();
        }
    }

    /// Return the streams; `None` if they were too many to remember.
    pub fn read(&self) -> Option<ReadStreams> {
        self.is_complete.then(|| ReadStreams {
            below: self.below,
            others: self.out_of_order.iter().copied().collect(),
        })
    }
}
