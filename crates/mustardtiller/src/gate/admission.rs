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
use crate::metrics::Counted;
use mustardtiller_core::Admission;
use mustardtiller_core::Deadline;
use mustardtiller_core::Forecast;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::Patience;
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
        node.metrics.count(Counted::Admitted);
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
    start_by: Deadline,
    deadline: Deadline,
    reply: Sender<Result<Permit, NotRunReason>>,
}

#[derive(Debug)]
struct Ticket {
    caller: Arc<CallerUse>,
    reply: Sender<Result<Permit, NotRunReason>>,
}

/// Where requests ask for slots.
#[derive(Debug)]
pub struct AdmissionDesk {
    asks: Sender<Ask>,
    inbox: Receiver<Ask>,
    freed: Event,
}

impl AdmissionDesk {
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
        if node.refuses_new_work() {
            return Err(NotRunReason::Leaving);
        }
        let now = node.clock.now();
        let forecast = gate.forecast(req.priority, now);
        if let Admission::Refuse(reason) = admission(node, &forecast, req) {
            return Err(reason);
        }
        let caller = Arc::clone(gate.callers.read().find(&req.caller));
        if gate.waiting() == 0 && gate.try_take() {
            return Ok(Permit::new(node, caller));
        }
        node.metrics.count(Counted::Queued);
        let urgency = if req.urgent {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        };
        let (reply, answer) = bounded(1);
        let service = forecast.service_micros;
        let ask = Ask {
            caller,
            urgency,
            start_by: Deadline::at(req.target.instant().minus_micros(service)),
            deadline: req.deadline,
            reply,
        };
        let _ = self.asks.try_send(ask);
        answer.recv().await.unwrap_or(Err(NotRunReason::Leaving))
    }
}

/// Decide by the forecast, where upstreams register themselves.
///
/// Where operators name upstreams, kinds say no target, and the queue alone decides.
fn admission(node: &Node, forecast: &Forecast, req: &GateRequest) -> Admission {
    if node.settings.discovery.is_none() && req.patience == Patience::Queue {
        return Admission::Take;
    }
    forecast.admission(req.patience, req.target, req.deadline)
}

impl Default for AdmissionDesk {
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
        if let Some(ask) = future::or(asked, future::or(woken, expired)).await {
            enqueue(&node, &mut queue, ask);
            while let Ok(ask) = node.admission.inbox.try_recv() {
                enqueue(&node, &mut queue, ask);
            }
        }
    }
}

fn enqueue(node: &Node, queue: &mut WaitQueue<Ticket>, ask: Ask) {
    let capacity = (node.board.gate.limit() * WAITERS_PER_SLOT).max(LEAST_QUEUE);
    queue.set_capacity(capacity as usize);
    let waiter = Waiter {
        caller: ask.caller.name.clone(),
        weight: ask.caller.share,
        urgency: ask.urgency,
        start_by: ask.start_by,
        deadline: ask.deadline,
        ticket: Ticket {
            caller: ask.caller,
            reply: ask.reply,
        },
    };
    node.board.gate.add_waiting(1);
    if let Queued::Refused(full) = queue.push(waiter) {
        refuse(node, &full.ticket, full.reason);
    }
}

/// Refuse whom it is too late for, then hand out free slots.
fn grant(node: &Arc<Node>, queue: &mut WaitQueue<Ticket>) {
    queue.age(node.clock.now());
    for ticket in queue.expire(node.clock.now()) {
        refuse(node, &ticket, NotRunReason::DeadlinePassed);
    }
    if node.refuses_new_work() {
        for ticket in queue.drain() {
            refuse(node, &ticket, NotRunReason::Leaving);
        }
    }
    let callers = node.board.gate.callers.share();
    while !queue.is_empty() && node.board.gate.try_take() {
        let next = queue.pop(|name| callers.find(name.as_str()).in_use());
        let ticket = next.expect("the queue is not empty");
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
