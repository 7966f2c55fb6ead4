//! Slots of the upstream: a fast path on atomics, and a controller for who waits.

use std::sync::Arc;

use async_channel::Receiver;
use async_channel::Sender;
use async_channel::bounded;
use async_channel::unbounded;
use event_listener::Event;
use smol::future;

use crate::board::CallerUse;
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
use mustardtiller_core::Waiter;

/// Waiters a slot, in the gate's queue.
const WAITERS_PER_SLOT: u32 = 2;

/// Least capacity of the queue.
const LEAST_QUEUE: u32 = 4;

/// A slot of the upstream, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    node: Arc<Node>,
    caller: Arc<CallerUse>,
}

impl Permit {
    fn new(node: &Arc<Node>, caller: Arc<CallerUse>) -> Self {
        caller.take();
        node.metrics.count(CounterId::Admitted);
        node.metrics.gate_in_flight.inc();
        Self {
            node: Arc::clone(node),
            caller,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.caller.give_back();
        self.node.board.gate.give_back();
        self.node.metrics.gate_in_flight.dec();
        if self.node.board.gate.waiting() > 0 {
            self.node.admission.freed.notify(1);
        }
    }
}

/// One request's wish for a slot.
#[derive(Debug)]
struct Ask {
    caller: Arc<CallerUse>,
    urgency: Urgency,
    kind_digest: u32,
    wish: AdmissionRequest,
    reply: Sender<Result<Permit, NotRunReason>>,
}

#[derive(Debug)]
struct Ticket {
    caller: Arc<CallerUse>,
    limit: u32,
    kind_digest: u32,
    deadline: Deadline,
    reply: Sender<Result<Permit, NotRunReason>>,
}

/// Where requests ask for slots.
#[derive(Debug)]
pub struct AdmissionHandle {
    asks: Sender<Ask>,
    inbox: Receiver<Ask>,
    freed: Event,
}

impl AdmissionHandle {
    /// Open the desk.
    #[must_use]
    pub fn new() -> Self {
        let (asks, inbox) = unbounded();
        Self {
            asks,
            inbox,
            freed: Event::new(),
        }
    }

    /// Wake the controller, because the limit or the leaving flag changed.
    pub fn wake(&self) {
        self.freed.notify(1);
    }

    /// Get a slot for a request, waiting in the queue if there is none.
    ///
    /// # Errors
    ///
    /// Returns why there is no slot.
    pub async fn admit(&self, node: &Arc<Node>, req: &GateRequest) -> Result<Permit, NotRunReason> {
        let gate = &node.board.gate;
        let mut limit = begin(node, req)?;
        if limit.is_some() && node.load_probes.is_wanted(node) {
            node.load_probes.hear(node).await;
            limit = begin(node, req)?;
        }
        let caller = Arc::clone(gate.callers.read().find(&req.caller));
        if limit.is_some_and(|limit| gate.try_take(limit)) {
            return Ok(Permit::new(node, caller));
        }
        node.metrics.count(CounterId::Queued);
        let urgency = if req.urgent {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        };
        let (reply, answer) = bounded(1);
        let ask = Ask {
            caller,
            urgency,
            kind_digest: req.kind_digest,
            wish: wish(req),
            reply,
        };
        let _ = self.asks.try_send(ask);
        answer.recv().await.unwrap_or(Err(NotRunReason::Leaving))
    }
}

/// Return the slots up to which a request may start at once; `None` if it is to wait.
fn begin(node: &Node, req: &GateRequest) -> Result<Option<u32>, NotRunReason> {
    if node.refuses_new_work() {
        return Err(NotRunReason::Leaving);
    }
    let gate = &node.board.gate;
    if gate.waiting() > 0 {
        return match req.queue_mode {
            QueueMode::None => Err(NotRunReason::Busy),
            QueueMode::Queue => Ok(None),
        };
    }
    let forecast = gate.forecast(req.kind_digest, node.clock.now());
    match decide(node, &forecast, &wish(req), 0) {
        Admission::Refuse(reason) => Err(reason),
        Admission::Start => Ok(Some(forecast.limit())),
        Admission::Wait => Ok(None),
    }
}

const fn wish(req: &GateRequest) -> AdmissionRequest {
    AdmissionRequest {
        queue_mode: req.queue_mode,
        target: req.target,
        deadline: req.deadline,
    }
}

/// Decide by the forecast, where upstreams register themselves.
///
/// Where operators name upstreams, kinds say no target, and the queue alone decides.
fn decide(node: &Node, forecast: &Forecast, wish: &AdmissionRequest, ahead: u32) -> Admission {
    if node.settings.discovery.is_some() || wish.queue_mode == QueueMode::None {
        return forecast.admission(wish, ahead);
    }
    if ahead == 0 && forecast.running < forecast.limit {
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

/// Serve the queue for slots.
pub async fn control_admission(node: Arc<Node>) {
    let mut queue: WaitQueue<Ticket> = WaitQueue::new(LEAST_QUEUE as usize);
    loop {
        let freed = node.admission.freed.listen();
        grant(&node, &mut queue);
        let asked = async {
            let ask = node.admission.inbox.recv().await;
            ask.ok()
        };
        let woken = async {
            freed.await;
            None
        };
        let expired = async {
            match queue.next_deadline() {
                Some(deadline) => node.clock.sleep_until(deadline).await,
                None => future::pending().await,
            }
            None
        };
        // While a slow spell holds waiters back, its end is what they wait for.
        let sped_up = async {
            if queue.is_empty() || !node.board.gate.slowdown.at(node.clock.now()).is_transient() {
                future::pending::<()>().await;
            }
            node.load_probes.hear(&node).await;
            None
        };
        let woken = future::or(woken, sped_up);
        if let Some(ask) = future::or(asked, future::or(woken, expired)).await {
            enqueue(&node, &mut queue, ask);
            while let Ok(ask) = node.admission.inbox.try_recv() {
                enqueue(&node, &mut queue, ask);
            }
        }
    }
}

fn enqueue(node: &Node, queue: &mut WaitQueue<Ticket>, ask: Ask) {
    let gate = &node.board.gate;
    let capacity = (gate.limit() * WAITERS_PER_SLOT).max(LEAST_QUEUE);
    queue.set_capacity(capacity as usize);
    let forecast = gate.forecast(ask.kind_digest, node.clock.now());
    let target = ask.wish.target.instant();
    let start_by = Deadline::at(target.minus_micros(forecast.service_micros));
    let last_start = ask.wish.deadline.instant();
    let last_start = last_start.minus_micros(forecast.least_service_micros());
    let ahead = queue.ahead_of(start_by);
    if let Admission::Refuse(reason) = decide(node, &forecast, &ask.wish, ahead) {
        // A requester that has gone needs no answer.
        let _ = ask.reply.try_send(Err(reason));
        return;
    }
    let waiter = Waiter {
        caller: ask.caller.name.clone(),
        weight: ask.caller.share,
        urgency: ask.urgency,
        start_by,
        deadline: Deadline::at(last_start),
        ticket: Ticket {
            caller: ask.caller,
            limit: forecast.limit(),
            kind_digest: ask.kind_digest,
            deadline: ask.wish.deadline,
            reply: ask.reply,
        },
    };
    gate.add_waiting(1);
    if let Queued::Refused(full) = queue.push(waiter) {
        refuse(node, &full.ticket, full.reason);
    }
}

/// Refuse whom it is too late for, then hand out free slots.
fn grant(node: &Arc<Node>, queue: &mut WaitQueue<Ticket>) {
    queue.demote_late(node.clock.now());
    for ticket in queue.expire(node.clock.now()) {
        refuse(node, &ticket, NotRunReason::DeadlinePassed);
    }
    if node.refuses_new_work() {
        for ticket in queue.drain() {
            refuse(node, &ticket, NotRunReason::Leaving);
        }
    }
    let callers = node.board.gate.callers.share();
    let in_use = |name: &CallerName| callers.find(name.as_str()).in_use();
    while let Some(next) = queue.peek(in_use) {
        let now = node.clock.now();
        let forecast = node.board.gate.forecast(next.ticket.kind_digest, now);
        if forecast.keeps_waiting(next.ticket.deadline)
            || !node.board.gate.try_take(next.ticket.limit)
        {
            break;
        }
        let ticket = queue.pop(in_use).expect("the queue has a next waiter");
        node.board.gate.sub_waiting(1);
        let permit = Permit::new(node, Arc::clone(&ticket.caller));
        // A requester that has gone drops the permit, which frees the slot.
        let _ = ticket.reply.try_send(Ok(permit));
    }
}

fn refuse(node: &Node, ticket: &Ticket, reason: NotRunReason) {
    node.board.gate.sub_waiting(1);
    let _ = ticket.reply.try_send(Err(reason));
}
