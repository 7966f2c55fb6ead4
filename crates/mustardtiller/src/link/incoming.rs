//! Converts requests received over a link for the gate.

use std::task::Context;
use std::task::Poll;

use bytes::Bytes;

use super::inbox::Inbox;
use super::outlet::Outlet;
use crate::body::BodyCut;
use crate::body::PieceSource;
use crate::gate::GateBody;
use crate::gate::GateRequest;
use mustardtiller_core::Deadline;
use mustardtiller_core::Instant;
use mustardtiller_core::Patience;
use mustardtiller_core::Token;
use mustardtiller_wire::BodyForm;
use mustardtiller_wire::Frame;
use mustardtiller_wire::RequestHead;

/// Convert a request's head; its streamed body is read from `inbox`.
pub fn gate_request(head: RequestHead, inbox: Inbox, outlet: Outlet, stream: u32) -> GateRequest {
    let body = match head.body {
        BodyForm::Empty => GateBody::Whole(Bytes::new()),
        BodyForm::Whole(bytes) => GateBody::Whole(bytes),
        BodyForm::Streamed { length } => {
            let source = LinkBody {
                inbox,
                outlet,
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
        patience: if head.may_wait {
            Patience::Queue
        } else {
            Patience::None
        },
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        deadline: Deadline::at(Instant::from_micros(head.deadline_micros)),
        target: Deadline::at(Instant::from_micros(head.target_micros)),
        token: head.token.as_ref().map(Token::from),
        depth: head.depth,
        retried: head.retried,
        body,
    }
}

/// A streamed request body received over the link.
#[derive(Debug)]
struct LinkBody {
    inbox: Inbox,
    outlet: Outlet,
    stream: u32,
    started: bool,
}

impl PieceSource for LinkBody {
    fn begin(&mut self) {
        if !std::mem::replace(&mut self.started, true) {
            let _ = self.outlet.send(Frame::Admitted {
                stream: self.stream,
            });
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyCut>>> {
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
