//! Dispatches the frames of one link to its streams.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Receiver;

use super::client::LinkHandle;
use super::credit::SendCredit;
use super::inbox::Delivery;
use super::inbox::InboxSender;
use super::reader::ReadError;
use super::reader::SocketReader;
use crate::board::Signals;
use crate::clock::Clock;
use crate::metrics::CounterId;
use crate::metrics::Metrics;
use mustardtiller_core::Instant;
use mustardtiller_wire::Frame;
use mustardtiller_wire::LoadReport;

/// A new stream, sent to the link's reader.
#[derive(Debug)]
pub(super) struct StreamRegistration {
    pub(super) stream: u32,
    pub(super) inbox_tx: InboxSender,
    pub(super) credit: Arc<SendCredit>,
}

/// The streams of one link, owned by its reader.
#[derive(Debug)]
pub struct StreamTable {
    registrations: Receiver<StreamRegistration>,
    streams: HashMap<u32, (InboxSender, Arc<SendCredit>)>,
}

/// Why a link ended.
#[derive(Debug)]
pub enum LinkEnd {
    /// This side closed it.
    Closed,
    /// The connection ended or failed, or a frame was malformed.
    Read(ReadError),
    /// The peer violated the protocol.
    Violation(&'static str),
}

impl StreamTable {
    pub(super) fn new(registrations: Receiver<StreamRegistration>) -> Self {
        Self {
            registrations,
            streams: HashMap::new(),
        }
    }

    /// Deliver frames until the link ends; dropping the table ends its streams.
    pub async fn run(
        mut self,
        link: &LinkHandle,
        reader: &mut SocketReader,
        signals: &Signals,
        clock: Clock,
        metrics: &Metrics,
    ) -> LinkEnd {
        loop {
            let read = async { Some(reader.next().await) };
            let closed = async {
                link.closed().await;
                None
            };
            let frame = match smol::future::or(closed, read).await {
                None => return LinkEnd::Closed,
                Some(Err(e)) => return LinkEnd::Read(e),
                Some(Ok(frame)) => frame,
            };
            link.note_frame(clock.now());
            while let Ok(new) = self.registrations.try_recv() {
                self.streams.insert(new.stream, (new.inbox_tx, new.credit));
            }
            if matches!(frame, Frame::GoAway) {
                signals.note_leaving();
            }
            if let Some(load) = load_report_of(&frame) {
                signals.record_load(load, clock.now());
            }
            if let Err(violation) = self.handle_frame(frame, link, clock, metrics) {
                return LinkEnd::Violation(violation);
            }
        }
    }

    /// Handle one frame from the gate.
    ///
    /// # Errors
    ///
    /// Returns how the gate violated the protocol.
    fn handle_frame(
        &mut self,
        frame: Frame,
        link: &LinkHandle,
        clock: Clock,
        metrics: &Metrics,
    ) -> Result<(), &'static str> {
        match frame {
            Frame::Pong {
                sequence,
                clock_micros,
                ..
            } => {
                link.note_pong(sequence, Instant::from_micros(clock_micros), clock.now());
                Ok(())
            }
            Frame::GoAway => {
                link.note_going_away();
                Ok(())
            }
            // `run` has recorded the load report, as with other frames.
            Frame::Load { .. } | Frame::Disowned { .. } => Ok(()),
            Frame::Credit { stream, bytes } => {
                if let Some((_, credit)) = self.streams.get(&stream) {
                    credit.grant(bytes);
                }
                Ok(())
            }
            Frame::Admitted { stream } => self.deliver(stream, frame, (0, false), link, metrics),
            Frame::Refused { stream, .. }
            | Frame::AnswerEnd { stream }
            | Frame::AnswerCut { stream }
            | Frame::Value { stream, .. } => self.deliver(stream, frame, (0, true), link, metrics),
            Frame::Answer {
                stream,
                ref bytes,
                last,
                ..
            } => {
                let count = bytes.len();
                self.deliver(stream, frame, (count, last), link, metrics)
            }
            Frame::AnswerData { stream, ref bytes } => {
                let count = bytes.len();
                self.deliver(stream, frame, (count, false), link, metrics)
            }
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Open { .. }
            | Frame::Data { .. }
            | Frame::DataEnd { .. }
            | Frame::DataCut { .. }
            | Frame::Cancel { .. }
            | Frame::Disown { .. }
            | Frame::Ping { .. }
            | Frame::Fetch { .. }
            | Frame::FetchRegistry { .. } => Err("gate sent a frame that only an entry may send"),
        }
    }

    /// Deliver a frame to its stream: `bytes` of a body, and whether it is the `last` frame.
    ///
    /// A cancel may cross the answer: frames of a stream that has ended are late, and end
    /// no other stream.
    fn deliver(
        &mut self,
        stream: u32,
        frame: Frame,
        (bytes, last): (usize, bool),
        link: &LinkHandle,
        metrics: &Metrics,
    ) -> Result<(), &'static str> {
        let Some((inbox_tx, _)) = self.streams.get(&stream) else {
            if link.has_opened(stream) {
                metrics.count(CounterId::AnswersLate);
                return Ok(());
            }
            return Err("frame for a stream that was never opened");
        };
        let delivery = inbox_tx.deliver(frame, bytes);
        if last {
            self.streams.remove(&stream);
        }
        match delivery {
            Delivery::Delivered => Ok(()),
            Delivery::ReceiverGone => {
                metrics.count(CounterId::AnswersLate);
                Ok(())
            }
            Delivery::Cut => {
                metrics.count(CounterId::StreamsCut);
                Ok(())
            }
            Delivery::WindowExceeded => Err("stream exceeded its flow-control window"),
        }
    }
}

impl Drop for StreamTable {
    fn drop(&mut self) {
        // A stream whose registration is still queued would otherwise wait forever.
        self.registrations.close();
        while let Ok(queued) = self.registrations.try_recv() {
            queued.credit.close();
        }
        for (_, credit) in self.streams.values() {
            credit.close();
        }
    }
}

const fn load_report_of(frame: &Frame) -> Option<LoadReport> {
    match frame {
        Frame::Refused { load, .. }
        | Frame::Answer { load, .. }
        | Frame::Pong { load, .. }
        | Frame::Load { load } => Some(*load),
        _ => None,
    }
}
