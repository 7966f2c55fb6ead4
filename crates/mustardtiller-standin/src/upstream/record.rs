//! Record of the requests that a stand-in upstream received.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

/// The record of one upstream, or of several that share it.
#[derive(Debug, Default)]
pub struct UpstreamRecord {
    runs: Mutex<HashMap<String, u32>>,
    uploads: Mutex<HashMap<String, Vec<u8>>>,
    measurements: Mutex<Vec<(SocketAddr, Instant)>>,
    requests: AtomicU64,
    cut_uploads: AtomicU64,
    late_requests: AtomicU64,
    in_flight: AtomicU64,
    peak_in_flight: AtomicU64,
    prints_runs: AtomicBool,
}

impl UpstreamRecord {
    /// Return how many times the request with this key ran.
    #[must_use]
    pub fn runs(&self, key: &str) -> u32 {
        *lock(&self.runs).get(key).unwrap_or(&0)
    }

    /// Return every key with the number of times it ran.
    #[must_use]
    pub fn all_runs(&self) -> HashMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Return the stored body of the upload with this key.
    #[must_use]
    pub fn upload(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.uploads).get(key).cloned()
    }

    /// Return when load measurements of the upstream at `address` were answered.
    #[must_use]
    pub fn measurements(&self, address: SocketAddr) -> Vec<Instant> {
        let measurements = lock(&self.measurements);
        let at_address = measurements
            .iter()
            .filter(|(upstream, _)| *upstream == address);
        at_address.map(|(_, at)| *at).collect()
    }

    /// Return the number of requests received, without those for `/load`.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::SeqCst)
    }

    /// Return the number of uploads that ended before their body was complete.
    #[must_use]
    pub fn cut_uploads(&self) -> u64 {
        self.cut_uploads.load(Ordering::SeqCst)
    }

    /// Return the number of requests that arrived after their deadline.
    #[must_use]
    pub fn late_requests(&self) -> u64 {
        self.late_requests.load(Ordering::SeqCst)
    }

    /// Return the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Return the highest number of requests in flight at once.
    #[must_use]
    pub fn peak_in_flight(&self) -> u64 {
        self.peak_in_flight.load(Ordering::SeqCst)
    }

    /// Print `run KEY` at each run from now on.
    ///
    /// Unlike the record in memory, the output survives a kill of the process.
    pub fn print_runs(&self) {
        self.prints_runs.store(true, Ordering::SeqCst);
    }

    pub(super) fn count_run(&self, key: &str) {
        if self.prints_runs.load(Ordering::SeqCst) {
            println!("run {key}");
        }
        *lock(&self.runs).entry(key.to_owned()).or_insert(0) += 1;
    }

    pub(super) fn store_upload(&self, key: &str, bytes: Vec<u8>) {
        lock(&self.uploads).insert(key.to_owned(), bytes);
    }

    pub(super) fn count_measurement(&self, upstream: SocketAddr) {
        lock(&self.measurements).push((upstream, Instant::now()));
    }

    pub(super) fn count_cut_upload(&self) {
        self.cut_uploads.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn count_late(&self) {
        self.late_requests.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn request_started(&self) {
        self.requests.fetch_add(1, Ordering::SeqCst);
        let now = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.peak_in_flight.fetch_max(now, Ordering::SeqCst);
    }

    pub(super) fn request_ended(&self) {
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().expect("the record is not poisoned")
}
