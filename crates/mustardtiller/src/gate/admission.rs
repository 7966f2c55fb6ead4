//! Admission to the upstream's slots.
//!
//! Requests that find a free slot take a fast path on atomics. A controller
//! owns the wait queue for all others.

use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;
use async_channel::unbounded;
use event_listener::Event;
use smol::future;

use crate::board::CallerUsage;
use crate::daemon::Node;
use crate::gate::GateRequest;
use crate::metrics::CounterId;
use mustardtiller_core::Admission;
use mustardtiller_core::AdmissionRequest;
use mustardtiller_core::CallerName;
use mustardtiller_core::Deadline;
use mustardtiller_core::Forecast;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Queued;
use mustardtiller_core::Urgency;
use mustardtiller_core::WaitQueue;
use mustardtiller_core::WaitRank;
use mustardtiller_core::Waiter;

/// Capacity of the wait queue for each slot.
const WAITERS_PER_SLOT: u32 = 2;

/// Lower bound of the wait queue's capacity.
const MIN_QUEUE_CAPACITY: u32 = 4;

/// A permit for one slot of the upstream, released on drop.
#[derive(Debug)]
pub struct Permit {
    node: Arc<Node>,
    caller: Arc<CallerUsage>,
}

impl Permit {
    fn new(node: &Arc<Node>, caller: Arc<CallerUsage>) -> Self {
        caller.acquire();
        node.metrics.count(CounterId::Admitted);
        node.metrics.gauges.gate_in_flight.inc();
        Self {
            node: Arc::clone(node),
            caller,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.caller.release();
        self.node.board.gate.release();
        self.node.metrics.gauges.gate_in_flight.dec();
        if self.node.board.gate.waiting() > 0 {
            self.node.admission.wakeup.notify(1);
        }
    }
}

/// A request for a permit, sent to the admission controller.
#[derive(Debug)]
struct PermitRequest {
    caller: Arc<CallerUsage>,
    urgency: Urgency,
    rank: WaitRank,
    kind_digest: u32,
    admission: AdmissionRequest,
    reply: Sender<Result<Permit, NotRunReason>>,
}

/// What the controller keeps of a request in the wait queue.
#[derive(Debug)]
struct WaiterHandle {
    caller: Arc<CallerUsage>,
    /// The concurrency limit up to which the request may start.
    limit: u32,
    kind_digest: u32,
    deadline: Deadline,
    reply: Sender<Result<Permit, NotRunReason>>,
}

/// The handle through which requests obtain permits.
#[derive(Debug)]
pub struct AdmissionHandle {
    requests: Sender<PermitRequest>,
    inbox: Receiver<PermitRequest>,
    wakeup: Event,
}

impl AdmissionHandle {
    /// Create the handle and its channel to the controller.
    #[must_use]
    pub fn new() -> Self {
        let (requests, inbox) = unbounded();
        Self {
            requests,
            inbox,
            wakeup: Event::new(),
        }
    }

    /// Wake the controller after a change of the limit or of availability.
    pub fn wake(&self) {
        self.wakeup.notify(1);
    }

    /// Obtain a permit for a request, queueing it if no slot is free.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is refused.
    pub async fn admit(&self, node: &Arc<Node>, req: &GateRequest) -> Result<Permit, NotRunReason> {
        let gate = &node.board.gate;
        if let Some(reason) = node.start_refusal(req.kind_digest) {
            return Err(reason);
        }
        node.load_probes.read_temperature(node).await;
        let mut limit = check_fast_path(node, req)?;
        if limit.is_some() && node.load_probes.needs_refresh(node) {
            let answered = node.load_probes.refresh_to_start(node).await;
            limit = check_fast_path(node, req)?;
            // Other hosts may be known to be fast; this one, late with its answer, is
            // likely to be slow. A request that may wait starts with the previous reading.
            if !answered && req.queue_mode == QueueMode::None {
                return Err(NotRunReason::Busy);
            }
        }
        let caller = Arc::clone(gate.callers.read().find(&req.caller));
        if limit.is_some_and(|limit| gate.try_acquire(limit, node.clock.now())) {
            return Ok(Permit::new(node, caller));
        }
        let rank = rank_of(node, req);
        node.metrics.count(CounterId::Queued);
        if rank == WaitRank::Nested {
            node.metrics.count(CounterId::QueuedNested);
        }
        let urgency = if req.urgent {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        };
        let (reply, answer) = bounded(1);
        let request = PermitRequest {
            caller,
            urgency,
            rank,
            kind_digest: req.kind_digest,
            admission: admission_request(req),
            reply,
        };
        let _ = self.requests.try_send(request);
        answer.recv().await.unwrap_or(Err(NotRunReason::Leaving))
    }
}

/// Return the rank of a request in the wait queue.
///
/// Without discovery, priorities are not compared: callers' shares decide there.
fn rank_of(node: &Node, req: &GateRequest) -> WaitRank {
    let passed_depth = node.dialect.forwards_depth.then_some(req.depth);
    match node.settings.discovery {
        Some(_) => WaitRank::of(passed_depth, is_nested(node, req), req.priority),
        None => WaitRank::Root(0),
    }
}

/// Report whether a request is of a kind that runs make, as far as the gate has learned.
fn is_nested(node: &Node, req: &GateRequest) -> bool {
    node.board.gate.sources.nested().contains(req.kind_digest)
}

/// Return the concurrency limit up to which a request may start at once.
///
/// Returns `None` if the request has to queue.
///
/// # Errors
///
/// Returns the reason if the request is refused.
fn check_fast_path(node: &Node, req: &GateRequest) -> Result<Option<u32>, NotRunReason> {
    if let Some(reason) = node.start_refusal(req.kind_digest) {
        return Err(reason);
    }
    let gate = &node.board.gate;
    if gate.waiting() > 0 {
        return match req.queue_mode {
            QueueMode::None => Err(NotRunReason::Busy),
            QueueMode::Queue => Ok(None),
        };
    }
    let forecast = gate.forecast(req.kind_digest, node.clock.now());
    match decide(node, &forecast, &admission_request(req), 0) {
        Admission::Refuse(reason) => Err(reason),
        Admission::Start => Ok(Some(forecast.limit())),
        Admission::Wait => Ok(None),
    }
}

const fn admission_request(req: &GateRequest) -> AdmissionRequest {
    AdmissionRequest {
        queue_mode: req.queue_mode,
        target: req.target,
        deadline: req.deadline,
    }
}

/// Decide whether a request starts, waits behind `ahead` others or is refused.
///
/// With discovery, the forecast decides. Without it, kinds have no latency target,
/// so the wait queue alone decides about requests that may wait.
fn decide(node: &Node, forecast: &Forecast, request: &AdmissionRequest, ahead: u32) -> Admission {
    if node.settings.discovery.is_some() || request.queue_mode == QueueMode::None {
        return forecast.admission(request, ahead);
    }
    let start_wait = forecast.start_wait_micros(ahead);
    let start_at = forecast.now.plus_micros(start_wait);
    if request.deadline.has_passed(start_at) {
        Admission::Refuse(NotRunReason::RateLimited)
    } else if start_wait == 0 && ahead == 0 && forecast.running < forecast.limit {
        Admission::Start
    } else {
        Admission::Wait
    }
}

impl Default for AdmissionHandle {
    fn default() -> Self {
        Self::new()
    }
}

/// Run the admission controller, which owns the wait queue.
pub async fn control_admission(node: Arc<Node>) {
    let mut queue: WaitQueue<WaiterHandle> = WaitQueue::new(MIN_QUEUE_CAPACITY as usize);
    loop {
        let wakeup = node.admission.wakeup.listen();
        grant(&node, &mut queue);
        let received = async {
            let request = node.admission.inbox.recv().await;
            request.ok()
        };
        let woken = async {
            wakeup.await;
            None
        };
        let expired = async {
            match queue.next_deadline() {
                Some(deadline) => node.clock.sleep_until(deadline).await,
                None => future::pending().await,
            }
            None
        };
        let next_start = next_start(&node, &queue);
        let start_due = async {
            match next_start {
                Some(at) => node.clock.sleep_until(at).await,
                None => future::pending().await,
            }
            None
        };
        let expired = future::or(expired, start_due);
        // During a transient slowdown, requests wait for its end, so the upstream
        // is probed even without a new request.
        let slowdown_refreshed = async {
            let transient = node.board.gate.slowdown.at(node.clock.now()).is_transient();
            if queue.is_empty() || !transient || !node.load_probes.allowed(&node) {
                future::pending::<()>().await;
            }
            node.load_probes.refresh(&node).await;
            None
        };
        let woken = future::or(woken, slowdown_refreshed);
        if let Some(request) = future::or(received, future::or(woken, expired)).await {
            enqueue(&node, &mut queue, request);
            while let Ok(request) = node.admission.inbox.try_recv() {
                enqueue(&node, &mut queue, request);
            }
        }
    }
}

/// Return when the rate in force allows the next waiting request.
///
/// Returns `None` if it allows one now: then a slot is awaited, not a time.
fn next_start(node: &Node, queue: &WaitQueue<WaiterHandle>) -> Option<Deadline> {
    if queue.is_empty() {
        return None;
    }
    let now = node.clock.now();
    let next = node.board.gate.start_schedule(now)?.next_start(0, now);
    (next > now).then_some(Deadline::at(next))
}

fn enqueue(node: &Node, queue: &mut WaitQueue<WaiterHandle>, request: PermitRequest) {
    let gate = &node.board.gate;
    let capacity = (gate.limit() * WAITERS_PER_SLOT).max(MIN_QUEUE_CAPACITY);
    queue.set_capacity(capacity as usize);
    let forecast = gate.forecast(request.kind_digest, node.clock.now());
    let target = request.admission.target.instant();
    let start_by = Deadline::at(target.minus_micros(forecast.service_micros));
    let last_start = request.admission.deadline.instant();
    let last_start = last_start.minus_micros(forecast.min_service_micros());
    queue.note_offered(request.rank);
    let ahead = queue.ahead_of(request.rank, start_by);
    if let Admission::Refuse(reason) = decide(node, &forecast, &request.admission, ahead) {
        // The send fails only if the requester is gone.
        let _ = request.reply.try_send(Err(reason));
        return;
    }
    let waiter = Waiter {
        caller: request.caller.name.clone(),
        weight: request.caller.share,
        urgency: request.urgency,
        rank: request.rank,
        start_by,
        deadline: Deadline::at(last_start),
        handle: WaiterHandle {
            caller: request.caller,
            limit: forecast.limit(),
            kind_digest: request.kind_digest,
            deadline: request.admission.deadline,
            reply: request.reply,
        },
    };
    gate.add_waiting(1);
    if let Queued::Refused(rejected) = queue.push(waiter) {
        if rejected.reason == NotRunReason::Displaced {
            node.metrics.count(CounterId::Displaced);
        }
        refuse(node, &rejected.handle, rejected.reason);
    }
}

/// Refuse waiters that are expired or may not be served here, or all if new work is
/// refused, then grant free slots.
fn grant(node: &Arc<Node>, queue: &mut WaitQueue<WaiterHandle>) {
    queue.demote_late(node.clock.now());
    for handle in queue.expire(node.clock.now()) {
        refuse(node, &handle, NotRunReason::DeadlinePassed);
    }
    if node.refuses_new_work() {
        for handle in queue.drain() {
            refuse(node, &handle, NotRunReason::Leaving);
        }
    }
    let placement = &node.board.placement;
    for handle in queue.remove_if(|w| placement.refusal(w.handle.kind_digest).is_some()) {
        let reason = placement.refusal(handle.kind_digest);
        refuse(node, &handle, reason.unwrap_or(NotRunReason::Leaving));
    }
    let callers = node.board.gate.callers.share();
    let in_use = |name: &CallerName| callers.find(name.as_str()).in_use();
    while let Some(next) = queue.peek(in_use) {
        let now = node.clock.now();
        let forecast = node.board.gate.forecast(next.handle.kind_digest, now);
        if forecast.keeps_waiting(next.handle.deadline)
            || !node.board.gate.try_acquire(next.handle.limit, now)
        {
            break;
        }
        let handle = queue.pop(in_use).expect("peek found a waiter");
        node.board.gate.sub_waiting(1);
        let permit = Permit::new(node, Arc::clone(&handle.caller));
        // If the requester is gone, the permit is dropped, which releases the slot.
        let _ = handle.reply.try_send(Ok(permit));
    }
}

fn refuse(node: &Node, handle: &WaiterHandle, reason: NotRunReason) {
    node.board.gate.sub_waiting(1);
    let _ = handle.reply.try_send(Err(reason));
}
