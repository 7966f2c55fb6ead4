//! The streams of one link and the frames that come for them.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Receiver;

use super::client::LinkHandle;
use super::credit::SendCredit;
use super::inbox::Delivery;
use super::inbox::InboxFeed;
use super::reader::ReadError;
use super::reader::SocketReader;
use crate::board::Signals;
use crate::clock::Clock;
use crate::metrics::CounterId;
use crate::metrics::Metrics;
use mustardtiller_core::Instant;
use mustardtiller_wire::Frame;
use mustardtiller_wire::LoadReport;

/// A stream as the link's reader knows it.
#[derive(Debug)]
pub(super) struct Registration {
    pub(super) stream: u32,
    pub(super) feed: InboxFeed,
    pub(super) credit: Arc<SendCredit>,
}

/// The streams of one link, owned by its reader.
#[derive(Debug)]
pub struct LinkTable {
    registrations: Receiver<Registration>,
    streams: HashMap<u32, (InboxFeed, Arc<SendCredit>)>,
}

/// Why a link ended.
#[derive(Debug)]
pub enum LinkEnd {
    /// It was closed from this side.
    Closed,
    /// The connection ended or the peer sent what is no frame.
    Read(ReadError),
    /// The peer broke the protocol.
    Broken(&'static str),
}

impl LinkTable {
    pub(super) fn new(registrations: Receiver<Registration>) -> Self {
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
                self.streams.insert(new.stream, (new.feed, new.credit));
            }
            if matches!(frame, Frame::GoAway) {
                signals.note_leaving();
            }
            if let Some(load) = load_of(&frame) {
                signals.record_load(load, clock.now());
            }
            if let Err(wrong) = self.take(frame, link, clock, metrics) {
                return LinkEnd::Broken(wrong);
            }
        }
    }

    fn take(
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
                link.heard_pong(sequence, Instant::from_micros(clock_micros), clock.now());
                Ok(())
            }
            Frame::GoAway => {
                link.note_going_away();
                Ok(())
            }
            // Its load was taken with that of other frames.
            Frame::Load { .. } => Ok(()),
            Frame::Credit { stream, bytes } => {
                if let Some((_, credit)) = self.streams.get(&stream) {
                    credit.grant(bytes);
                }
                Ok(())
            }
            Frame::Admitted { stream } => self.deliver(stream, frame, 0, false, metrics),
            Frame::Refused { stream, .. }
            | Frame::AnswerEnd { stream }
            | Frame::AnswerCut { stream }
            | Frame::Value { stream, .. } => self.deliver(stream, frame, 0, true, metrics),
            Frame::Answer {
                stream,
                ref bytes,
                last,
                ..
            } => {
                let count = bytes.len();
                self.deliver(stream, frame, count, last, metrics)
            }
            Frame::AnswerData { stream, ref bytes } => {
                let count = bytes.len();
                self.deliver(stream, frame, count, false, metrics)
            }
            Frame::Hello(_)
            | Frame::Welcome(_)
            | Frame::Open { .. }
            | Frame::Data { .. }
            | Frame::DataEnd { .. }
            | Frame::DataCut { .. }
            | Frame::Cancel { .. }
            | Frame::Ping { .. }
            | Frame::Fetch { .. }
            | Frame::FetchRegistry { .. } => Err("a gate sent an entry's frame"),
        }
    }

    fn deliver(
        &mut self,
        stream: u32,
        frame: Frame,
        bytes: usize,
        last: bool,
        metrics: &Metrics,
    ) -> Result<(), &'static str> {
        let Some((feed, _)) = self.streams.get(&stream) else {
            return Err("a frame for a stream that was never opened");
        };
        let delivery = feed.deliver(frame, bytes);
        if last {
            self.streams.remove(&stream);
        }
        match delivery {
            Delivery::Taken => Ok(()),
            Delivery::Late => {
                metrics.count(CounterId::AnswersLate);
                Ok(())
            }
            Delivery::Overrun => Err("a stream exceeded its window"),
        }
    }
}

impl Drop for LinkTable {
    fn drop(&mut self) {
        // A registration still queued would keep its stream waiting for ever.
        self.registrations.close();
        while let Ok(queued) = self.registrations.try_recv() {
            queued.credit.close();
        }
        for (_, credit) in self.streams.values() {
            credit.close();
        }
    }
}

const fn load_of(frame: &Frame) -> Option<LoadReport> {
    match frame {
        Frame::Refused { load, .. }
        | Frame::Answer { load, .. }
        | Frame::Pong { load, .. }
        | Frame::Load { load } => Some(*load),
        _ => None,
    }
}
