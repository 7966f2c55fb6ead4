//! One request on a link, as the entry sees it.

use std::sync::Arc;

use bytes::Bytes;

use super::client::LinkHandle;
use super::credit::PIECE_BYTES;
use super::credit::SendCredit;
use super::inbox::Inbox;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Frame;

/// What the gate says next of a request.
#[derive(Debug)]
pub enum Reply {
    /// It admitted the request and wants the body.
    Admitted,
    /// The answer begins.
    Answer {
        /// Its head.
        head: Box<AnswerHead>,
        /// The first piece of its body.
        bytes: Bytes,
        /// The body is whole.
        last: bool,
    },
    /// The request is refused.
    Refused(Verdict),
    /// The link is gone, or the gate broke the protocol.
    Lost(UnknownReason),
}

/// One request on a link. Dropped before its end, it is cancelled.
#[derive(Debug)]
pub struct ClientStream {
    link: Arc<LinkHandle>,
    stream: u32,
    inbox: Inbox,
    credit: Arc<SendCredit>,
    done: bool,
}

impl ClientStream {
    pub(super) const fn new(
        link: Arc<LinkHandle>,
        stream: u32,
        inbox: Inbox,
        credit: Arc<SendCredit>,
    ) -> Self {
        Self {
            link,
            stream,
            inbox,
            credit,
            done: false,
        }
    }

    /// Return the number of the stream.
    #[must_use]
    pub const fn id(&self) -> u32 {
        self.stream
    }

    /// Wait for what the gate says next.
    pub async fn reply(&mut self) -> Reply {
        match self.inbox.next().await {
            Some(Frame::Admitted { .. }) => Reply::Admitted,
            Some(Frame::Answer {
                head, bytes, last, ..
            }) => {
                self.done = last;
                self.inbox.taken(bytes.len());
                Reply::Answer { head, bytes, last }
            }
            Some(Frame::Refused { verdict, .. }) => {
                self.done = true;
                let verdict = verdict.verdict();
                verdict.map_or(Reply::Lost(UnknownReason::BadAnswer), Reply::Refused)
            }
            Some(_) => Reply::Lost(UnknownReason::BadAnswer),
            None => {
                self.done = true;
                Reply::Lost(self.link.loss())
            }
        }
    }

    /// Return a sender for the request's body.
    pub(crate) fn body_sender(&self) -> BodySender {
        BodySender {
            link: Arc::clone(&self.link),
            stream: self.stream,
            credit: Arc::clone(&self.credit),
        }
    }

    /// Turn to the rest of the answer's body.
    #[must_use]
    pub const fn into_body(self) -> AnswerBody {
        AnswerBody { stream: self }
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if !self.done {
            let _ = self.link.write_queue().send(Frame::Cancel {
                stream: self.stream,
            });
        }
        self.link.end_stream();
    }
}

/// Sends the body of one request.
#[derive(Debug)]
pub struct BodySender {
    link: Arc<LinkHandle>,
    stream: u32,
    credit: Arc<SendCredit>,
}

impl BodySender {
    /// Send bytes as fast as the gate takes them. False once the link is closed.
    pub async fn send(&self, mut bytes: Bytes) -> bool {
        while !bytes.is_empty() {
            let piece = bytes.split_to(bytes.len().min(PIECE_BYTES));
            let count = piece.len();
            if !self.credit.spend(count).await {
                return false;
            }
            let frame = Frame::Data {
                stream: self.stream,
                bytes: piece,
            };
            if self
                .link
                .write_queue()
                .send_piece(frame, count)
                .await
                .is_err()
            {
                return false;
            }
        }
        true
    }

    /// Say that the body is whole.
    pub fn end(&self) {
        let frame = Frame::DataEnd {
            stream: self.stream,
        };
        let _ = self.link.write_queue().send_behind(frame);
    }

    /// Say that the body was cut.
    pub fn cut(&self) {
        let frame = Frame::DataCut {
            stream: self.stream,
        };
        let _ = self.link.write_queue().send_behind(frame);
    }
}

/// The rest of an answer's body.
#[derive(Debug)]
pub struct AnswerBody {
    stream: ClientStream,
}

impl AnswerBody {
    /// Wait for the next piece; `None` once the answer is whole.
    ///
    /// # Errors
    ///
    /// Returns why the answer was cut.
    pub async fn next(&mut self) -> Option<Result<Bytes, UnknownReason>> {
        let stream = &mut self.stream;
        match stream.inbox.next().await {
            Some(Frame::AnswerData { bytes, .. }) => {
                stream.inbox.taken(bytes.len());
                Some(Ok(bytes))
            }
            Some(Frame::AnswerEnd { .. }) => {
                stream.done = true;
                None
            }
            Some(Frame::AnswerCut { .. }) => {
                stream.done = true;
                Some(Err(UnknownReason::AnswerCut))
            }
            Some(_) => Some(Err(UnknownReason::BadAnswer)),
            None => {
                stream.done = true;
                Some(Err(stream.link.loss()))
            }
        }
    }
}
