//! Sends answers back over a link.

use std::sync::Arc;

use async_channel::Sender;
use bytes::Bytes;

use super::credit::MAX_CHUNK_BYTES;
use super::credit::SendCredit;
use super::write_queue::WriteQueue;
use crate::daemon::Node;
use crate::gate::GateAnswer;
use crate::gate::GateRequest;
use crate::gate::run_request;
use crate::metrics::CounterId;
use mustardtiller_core::Deadline;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Frame;

/// Return the last frame of an answer: its end, or that it was cut short.
const fn end_frame(stream: u32, complete: bool) -> Frame {
    if complete {
        Frame::AnswerEnd { stream }
    } else {
        Frame::AnswerCut { stream }
    }
}

/// Runs one request at the gate and sends its answer over the link.
pub struct Responder {
    pub node: Arc<Node>,
    pub write_queue: WriteQueue,
    pub stream: u32,
    pub credit: Arc<SendCredit>,
    /// Takes the stream's number once the request has ended.
    pub finished_tx: Sender<u32>,
}

impl Responder {
    /// Run a request and send its answer or refusal.
    pub async fn respond(self, req: GateRequest) {
        let answer = run_request(&self.node, req).await;
        match answer {
            GateAnswer::Refused(verdict) => {
                let load = self.node.load_report();
                let verdict = verdict.into();
                self.end(Frame::Refused {
                    stream: self.stream,
                    verdict,
                    load,
                });
            }
            GateAnswer::Buffered { head, bytes } if bytes.len() <= MAX_CHUNK_BYTES => {
                let load = self.node.load_report();
                let stream = self.stream;
                let head = Box::new(head);
                self.end(Frame::Answer {
                    stream,
                    head,
                    bytes,
                    last: true,
                    load,
                });
            }
            GateAnswer::Buffered { head, bytes } => {
                self.begin(head);
                let sent = self.send(bytes).await;
                self.end(end_frame(self.stream, sent));
            }
            GateAnswer::Streamed {
                head,
                first,
                mut body,
            } => {
                self.begin(head);
                if !self.send(first).await {
                    return self.end(end_frame(self.stream, false));
                }
                loop {
                    match body.next().await {
                        Some(Ok(bytes)) => {
                            if !self.send(bytes).await {
                                return self.end(end_frame(self.stream, false));
                            }
                        }
                        Some(Err(_)) => return self.end(end_frame(self.stream, false)),
                        None => return self.end(end_frame(self.stream, true)),
                    }
                }
            }
        }
    }

    /// Send the answer's head, before its body.
    fn begin(&self, head: AnswerHead) {
        let load = self.node.load_report();
        let frame = Frame::Answer {
            stream: self.stream,
            head: Box::new(head),
            bytes: Bytes::new(),
            last: false,
            load,
        };
        let _ = self.write_queue.send(frame);
    }

    /// Send a body in chunks; false once the receiver or the link is gone, or nobody
    /// reads on.
    async fn send(&self, mut bytes: Bytes) -> bool {
        let node = &self.node;
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES));
            let deadline = Deadline::in_millis(node.clock.now(), node.settings.answer_ms);
            match node.clock.within(deadline, self.send_chunk(chunk)).await {
                Some(true) => {}
                Some(false) => return false,
                None => {
                    node.metrics.count(CounterId::AnswersUnread);
                    return false;
                }
            }
        }
        true
    }

    /// Send one chunk, once the window and the link have room for it.
    async fn send_chunk(&self, bytes: Bytes) -> bool {
        let count = bytes.len();
        if !self.credit.spend(count).await {
            return false;
        }
        let stream = self.stream;
        let frame = Frame::AnswerData { stream, bytes };
        self.write_queue.send_chunk(frame, count).await.is_ok()
    }

    /// Send the stream's last frame and report the stream as finished.
    fn end(&self, frame: Frame) {
        let _ = self.write_queue.send_after_bodies(frame);
        let _ = self.finished_tx.try_send(self.stream);
    }
}
