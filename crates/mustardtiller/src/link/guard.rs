//! Replaces a link that seems silent, and gives it up once it has stayed so.

use std::sync::Arc;

use smol::Task;
use smol::future;

use super::client::LinkHandle;
use super::connector::Connected;
use super::connector::connect;
use super::handshake;
use crate::board::Candidate;
use crate::daemon::Node;
use crate::events::Event;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_core::LinkPace;
use mustardtiller_core::SilenceEffect;
use mustardtiller_core::SilenceRule;
use mustardtiller_core::SilenceWatch;
use mustardtiller_core::Suspicion;
use mustardtiller_core::SuspicionEffect;
use mustardtiller_core::SuspicionRule;

/// Time in which the reply to a ping may still come once the second link is up, in milliseconds.
const LAST_LOOK_MS: u64 = 15;

/// Time between two looks at a link that has been replaced, in milliseconds.
const REPLACED_ROUND_MS: u64 = 200;

/// When a link that has been replaced is given up.
///
/// A lost packet is sent again after 200 ms, and once more 400 ms later.
const REPLACED_RULE: SilenceRule = SilenceRule {
    ping_after: 1,
    close_after: 5,
    idle_ping_every: u32::MAX,
};

/// Timeout of the gate's statement of what it has read, in milliseconds.
const DISOWN_TIMEOUT_MS: u64 = 300;

/// Shortest time between two probes of an idle link, in milliseconds.
const PROBE_EVERY_MS: u64 = 250;

/// Pause after a second link was not needed or could not be made, in milliseconds.
const PAUSE_MS: u64 = 100;

/// Watch a link in use, and return a second one once the first seems silent.
///
/// It seems so if the gate answers on a new connection while it sends nothing on the
/// old one. A lost packet looks the same until it is sent again, so the requests on the
/// old one are not given up here; see [`drain_replaced`].
pub(super) async fn replace_silent(
    node: &Node,
    candidate: &Candidate,
    link: &LinkHandle,
) -> Connected {
    let mut next_probe = Deadline::at(node.clock.now());
    loop {
        let probed = wait_for_doubt(node, link, next_probe).await;
        if probed {
            next_probe = Deadline::in_millis(node.clock.now(), PROBE_EVERY_MS);
        }
        if !is_suspected(node, candidate, link, probed).await {
            continue;
        }
        if let Some(second) = connect_second(node, candidate, link).await {
            node.link_silent.notify(usize::MAX);
            return second;
        }
        node.clock.sleep_millis(PAUSE_MS).await;
    }
}

/// Wait until an answer is overdue on the link, or another link has proved silent.
///
/// Returns whether the link is to be pinged at once, which it is not before `next_probe`.
async fn wait_for_doubt(node: &Node, link: &LinkHandle, next_probe: Deadline) -> bool {
    let other_silent = node.link_silent.listen();
    let overdue = link.overdue.listen();
    let overdue = async {
        overdue.await;
        false
    };
    let probed = async {
        other_silent.await;
        node.clock.sleep_until(next_probe).await;
        true
    };
    future::or(overdue, probed).await
}

/// Ping the link unless frames come on it; return whether it is suspected.
async fn is_suspected(node: &Node, candidate: &Candidate, link: &LinkHandle, probed: bool) -> bool {
    let rule = SuspicionRule::default();
    let frames = link.frames();
    let mut suspicion = Suspicion::begin(frames, link.last_frame_at());
    let mut pinged = false;
    while link.frames() == frames {
        let pace = LinkPace {
            usual_micros: u64::from(candidate.signals.latency_micros()),
            round_trip_micros: link.round_trip_micros(),
            is_probed: probed,
        };
        let now = node.clock.now();
        let until = match suspicion.step(&rule, pace, frames, now) {
            SuspicionEffect::Wait(_) if !pinged => return false,
            SuspicionEffect::Wait(until) => until,
            SuspicionEffect::Ping(until) => {
                link.ping(now);
                pinged = true;
                until
            }
            SuspicionEffect::Suspect => return true,
        };
        node.clock.sleep_until(until).await;
    }
    false
}

/// Open a second link; `None` if the first one turns out to work or the gate doesn't answer.
async fn connect_second(
    node: &Node,
    candidate: &Candidate,
    link: &LinkHandle,
) -> Option<Connected> {
    let frame_received = link.frame_received();
    let frames = link.frames();
    let connecting = async { connect(node, candidate).await.ok() };
    let first_works = async {
        frame_received.await;
        None
    };
    let second = future::or(first_works, connecting).await?;
    node.clock.sleep_millis(LAST_LOOK_MS).await;
    if link.frames() != frames || second.gate_incarnation() != link.gate_incarnation() {
        return None;
    }
    Some(second)
}

/// Wait until the requests on a replaced link have ended, and close it.
///
/// If it stays silent, the gate is asked which requests it had read from it. It reads
/// no more of them, so the others have not run and are sent again.
pub(super) async fn drain_replaced(
    node: Arc<Node>,
    candidate: Arc<Candidate>,
    link: Arc<LinkHandle>,
    reading: Task<()>,
) {
    let mut watch = SilenceWatch::default();
    let mut was_empty = false;
    loop {
        let open = link.open_streams();
        // A request that took the link before it was replaced may still open a stream.
        if open == 0 && was_empty {
            link.close();
            break;
        }
        was_empty = open == 0;
        match watch.step(&REPLACED_RULE, open, link.frames(), false) {
            SilenceEffect::Nothing => {}
            SilenceEffect::Ping => link.ping(node.clock.now()),
            SilenceEffect::Close => {
                give_up(&node, &candidate, &link).await;
                break;
            }
        }
        node.clock.sleep_millis(REPLACED_ROUND_MS).await;
    }
    reading.await;
}

/// Close a link that has stayed silent, once the gate has stated what it had read of it.
async fn give_up(node: &Node, candidate: &Candidate, link: &LinkHandle) {
    node.metrics.count(CounterId::LinksSilent);
    Event::LinkSilent.log(&candidate.upstream.name);
    let deadline = Deadline::in_millis(node.clock.now(), DISOWN_TIMEOUT_MS);
    let disowning = async {
        let mut other = connect(node, candidate).await.ok()?;
        handshake::disown(&mut other.reader, &other.socket, link.id()).await
    };
    let read = node.clock.within(deadline, disowning).await.flatten();
    // A link that has ended meanwhile, or an older gate, leaves the outcomes unknown.
    if let Some(read) = read {
        link.note_read(read);
    }
    link.close_silent();
}
