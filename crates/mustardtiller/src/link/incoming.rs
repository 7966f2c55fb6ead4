//! Converts requests received over a link to requests at the gate.

use std::task::Context;
use std::task::Poll;

use bytes::Bytes;

use super::inbox::Inbox;
use super::write_queue::WriteQueue;
use crate::body::BodyCut;
use crate::body::ChunkSource;
use crate::gate::GateBody;
use crate::gate::GateRequest;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Token;
use mustardtiller_wire::BodyFraming;
use mustardtiller_wire::Frame;
use mustardtiller_wire::RequestHead;

/// Convert a request's head; a streamed body is read from `inbox`.
pub fn gate_request(
    head: RequestHead,
    inbox: Inbox,
    write_queue: WriteQueue,
    stream: u32,
) -> GateRequest {
    let body = match head.body {
        BodyFraming::Empty => GateBody::Buffered(Bytes::new()),
        BodyFraming::Inline(bytes) => GateBody::Buffered(bytes),
        BodyFraming::Streamed { length } => {
            let source = LinkBody {
                inbox,
                write_queue,
                stream,
                started: false,
            };
            GateBody::Streamed {
                length,
                source: Box::new(source),
            }
        }
    };
    GateRequest {
        caller: head.caller,
        urgent: head.urgent,
        priority: head.priority,
        kind_digest: head.kind_digest,
        idempotent: head.idempotent,
        queue_mode: if head.may_wait {
            QueueMode::Queue
        } else {
            QueueMode::None
        },
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        deadline: Deadline::at(Instant::from_micros(head.deadline_micros)),
        target: Deadline::at(Instant::from_micros(head.target_micros)),
        token: head.token.as_ref().map(Token::from),
        depth: head.depth,
        retried: head.retried,
        from_idle_host: head.from_idle_host,
        body,
    }
}

/// A streamed request body received over the link.
#[derive(Debug)]
struct LinkBody {
    inbox: Inbox,
    write_queue: WriteQueue,
    stream: u32,
    started: bool,
}

impl ChunkSource for LinkBody {
    fn begin(&mut self) {
        if !std::mem::replace(&mut self.started, true) {
            let _ = self.write_queue.send(Frame::Admitted {
                stream: self.stream,
            });
        }
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
        self.inbox.poll_next(cx).map(|frame| match frame {
            Some(Frame::Data { bytes, .. }) => {
                self.inbox.note_consumed(bytes.len());
                Some(Ok(bytes))
            }
            Some(Frame::DataEnd { .. }) => None,
            _ => Some(Err(BodyCut)),
        })
    }
}
