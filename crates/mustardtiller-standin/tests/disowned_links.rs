//! A link that its entry gives up: the gate states what it has read, and reads no more.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use mustardtiller::wire::BodyFraming;
use mustardtiller::wire::Frame;
use mustardtiller::wire::FrameReader;
use mustardtiller::wire::Hello;
use mustardtiller::wire::PROTOCOL_VERSION;
use mustardtiller::wire::ReadStreams;
use mustardtiller::wire::encode_frame;

use util::Fleet;
use util::FleetPlan;
use util::request_head;

/// A link as an entry makes it.
struct Link {
    socket: TcpStream,
    reader: FrameReader,
}

impl Link {
    fn open(fleet: &Fleet, incarnation: u128, link_id: u64) -> Self {
        let socket = TcpStream::connect(fleet.link(0)).expect("the gate accepts connections");
        let timeout = Some(Duration::from_secs(20));
        socket
            .set_read_timeout(timeout)
            .expect("the read timeout can be set");
        let mut link = Self {
            socket,
            reader: FrameReader::default(),
        };
        link.send(&Frame::Hello(Hello {
            version: PROTOCOL_VERSION,
            incarnation,
            link_id,
            upstream: "shop-1".to_owned(),
            link: ([127, 0, 0, 1], 9).into(),
            notice: None,
        }));
        let welcome = link.next(|frame| matches!(frame, Frame::Welcome(_)));
        assert!(welcome.is_some(), "no handshake");
        link
    }

    fn send(&mut self, frame: &Frame) {
        let mut buf = Vec::new();
        encode_frame(frame, &mut buf).expect("the frame can be encoded");
        let _ = self.socket.write_all(&buf);
    }

    /// Read up to the next frame that is wanted; `None` once the link is closed.
    fn next(&mut self, is_wanted: impl Fn(&Frame) -> bool) -> Option<Frame> {
        let mut buf = [0; 4_096];
        loop {
            while let Ok(Some(frame)) = self.reader.next_frame() {
                if is_wanted(&frame) {
                    return Some(frame);
                }
            }
            let count = self.socket.read(&mut buf).ok().filter(|count| *count > 0)?;
            self.reader.extend(&buf[..count]);
        }
    }

    /// Disown another link, and return what the gate had read of it.
    fn disown(&mut self, link_id: u64) -> Option<ReadStreams> {
        self.send(&Frame::Disown { link_id });
        let reply = self.next(|frame| matches!(frame, Frame::Disowned { .. }));
        let Some(Frame::Disowned { read, .. }) = reply else {
            panic!("the gate states nothing");
        };
        read
    }
}

fn open(stream: u32) -> Frame {
    let head = request_head("GET", "/item", u64::MAX / 2, BodyFraming::Empty);
    Frame::Open {
        stream,
        head: Box::new(head),
    }
}

fn single_upstream() -> Fleet {
    Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    })
}

#[test]
fn a_disowned_link_runs_nothing_more() {
    let fleet = single_upstream();
    let mut first = Link::open(&fleet, 7, 41);
    for stream in [1, 3] {
        first.send(&open(stream));
        let answered = first.next(|frame| matches!(frame, Frame::Answer { .. }));
        assert!(answered.is_some(), "stream {stream} has no answer");
    }
    let mut second = Link::open(&fleet, 7, 42);
    let read = second.disown(41).expect("the gate knows the link");
    let seen: Vec<bool> = (1..5).map(|stream| read.contains(stream)).collect();
    assert_eq!(seen, [true, false, true, false]);
    let admitted = fleet.metric(0, "gate_admitted_total");
    first.send(&open(2));
    let answer = first.next(|frame| matches!(frame, Frame::Answer { .. }));
    assert!(answer.is_none(), "it ran after it was disowned: {answer:?}");
    let later = fleet.metric(0, "gate_admitted_total");
    assert!((later - admitted).abs() < 0.5, "{admitted}, then {later}");
}

#[test]
fn only_its_entry_disowns_a_link() {
    let fleet = single_upstream();
    let mut first = Link::open(&fleet, 7, 41);
    let mut stranger = Link::open(&fleet, 8, 42);
    assert_eq!(stranger.disown(41), None);
    assert_eq!(stranger.disown(99), None);
    first.send(&open(1));
    let answered = first.next(|frame| matches!(frame, Frame::Answer { .. }));
    assert!(answered.is_some(), "the link was closed");
}
