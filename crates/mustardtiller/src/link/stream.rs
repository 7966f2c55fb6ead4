//! The entry's end of one stream.

use std::sync::Arc;

use bytes::Bytes;

use super::client::LinkHandle;
use super::credit::MAX_CHUNK_BYTES;
use super::credit::SendCredit;
use super::inbox::Inbox;
use mustardtiller_core::NotRunReason;
use mustardtiller_core::UnknownReason;
use mustardtiller_core::Verdict;
use mustardtiller_wire::AnswerHead;
use mustardtiller_wire::Frame;

/// The gate's next reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// The request was admitted; its streamed body may be sent.
    Admitted,
    /// The answer begins.
    Answer {
        /// Its head.
        head: Box<AnswerHead>,
        /// The first chunk of its body.
        bytes: Bytes,
        /// Whether this chunk completes the body.
        last: bool,
    },
    /// The request was refused.
    Refused(Verdict),
    /// The link was lost, or the gate violated the protocol.
    Lost(UnknownReason),
}

/// One request on a link. Dropping it before its end cancels the request.
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

    /// Return the stream's identifier on its link.
    #[must_use]
    pub const fn id(&self) -> u32 {
        self.stream
    }

    /// Wait for the gate's next reply.
    pub async fn reply(&mut self) -> Reply {
        match self.inbox.next().await {
            Some(Frame::Admitted { .. }) => Reply::Admitted,
            Some(Frame::Answer {
                head, bytes, last, ..
            }) => {
                self.done = last;
                self.inbox.note_consumed(bytes.len());
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
                if self.link.is_unread(self.stream) {
                    return Reply::Refused(Verdict::NotRun(NotRunReason::Unreachable));
                }
                Reply::Lost(self.link.lost_reason())
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

    /// Convert into a reader of the rest of the answer's body.
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
    /// Send bytes in chunks, as flow control allows.
    ///
    /// Returns false once the gate accepts no more or the link is closed.
    pub async fn send(&self, mut bytes: Bytes) -> bool {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(MAX_CHUNK_BYTES));
            let count = chunk.len();
            if !self.credit.spend(count).await {
                return false;
            }
            let frame = Frame::Data {
                stream: self.stream,
                bytes: chunk,
            };
            if self
                .link
                .write_queue()
                .send_chunk(frame, count)
                .await
                .is_err()
            {
                return false;
            }
        }
        true
    }

    /// Signal the end of the body.
    pub fn end(&self) {
        let frame = Frame::DataEnd {
            stream: self.stream,
        };
        let _ = self.link.write_queue().send_after_bodies(frame);
    }

    /// Signal that the body was cut short.
    pub fn cut(&self) {
        let frame = Frame::DataCut {
            stream: self.stream,
        };
        let _ = self.link.write_queue().send_after_bodies(frame);
    }
}

/// The rest of an answer's body.
#[derive(Debug)]
pub struct AnswerBody {
    stream: ClientStream,
}

impl AnswerBody {
    /// Wait for the next chunk; `None` once the answer is complete.
    ///
    /// # Errors
    ///
    /// Returns why the answer was cut short.
    pub async fn next(&mut self) -> Option<Result<Bytes, UnknownReason>> {
        let stream = &mut self.stream;
        match stream.inbox.next().await {
            Some(Frame::AnswerData { bytes, .. }) => {
                stream.inbox.note_consumed(bytes.len());
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
            // The gate still sends; dropping the stream cancels it.
            None if stream.inbox.is_overrun() => Some(Err(UnknownReason::AnswerCut)),
            None => {
                stream.done = true;
                Some(Err(stream.link.lost_reason()))
            }
        }
    }
}
