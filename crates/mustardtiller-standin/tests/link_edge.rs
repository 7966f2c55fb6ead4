//! Invalid peers, frames and datagrams at the link port of a daemon.
//!
//! A peer of another version, a faulty one or random bytes could run a request that
//! is not for this gate, close the links of others or stop the daemon.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::time::Duration;

use bytes::Bytes;

use mustardtiller::core::NotRunReason;
use mustardtiller::wire::BodyFraming;
use mustardtiller::wire::Frame;
use mustardtiller::wire::FrameReader;
use mustardtiller::wire::Hello;
use mustardtiller::wire::PROTOCOL_VERSION;
use mustardtiller::wire::RequestHead;
use mustardtiller::wire::WireVerdict;
use mustardtiller::wire::encode_frame;
use util::Fleet;
use util::FleetPlan;
use util::request_head;
use util::wait_for;

fn single_upstream() -> Fleet {
    Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    })
}

fn send(socket: &mut TcpStream, frame: &Frame) {
    let mut buf = Vec::new();
    encode_frame(frame, &mut buf).expect("the frame can be encoded");
    let _ = socket.write_all(&buf);
}

fn hello(version: u16, upstream: &str) -> Frame {
    Frame::Hello(Hello {
        link_id: 0,
        version,
        incarnation: 7,
        upstream: upstream.to_owned(),
        link: ([127, 0, 0, 1], 9).into(),
        notice: None,
    })
}

fn connect(fleet: &Fleet) -> TcpStream {
    let socket = TcpStream::connect(fleet.link(0)).expect("the gate accepts connections");
    let timeout = Some(Duration::from_secs(20));
    socket
        .set_read_timeout(timeout)
        .expect("the read timeout can be set");
    socket
}

/// Read frames until the gate closes the link.
fn read_all(socket: &mut TcpStream) -> Vec<Frame> {
    let mut bytes = Vec::new();
    let _ = socket.read_to_end(&mut bytes);
    let mut reader = FrameReader::default();
    reader.extend(&bytes);
    let mut frames = Vec::new();
    while let Ok(Some(frame)) = reader.next_frame() {
        frames.push(frame);
    }
    frames
}

fn browse(upstream: &str, deadline_micros: u64) -> RequestHead {
    let head = request_head("GET", "/item", deadline_micros, BodyFraming::Empty);
    RequestHead {
        upstream: upstream.to_owned(),
        ..head
    }
}

#[test]
fn a_hello_with_another_version_or_upstream_is_refused() {
    let fleet = single_upstream();
    for frame in [
        hello(PROTOCOL_VERSION + 1, "shop-1"),
        hello(PROTOCOL_VERSION, "shop-2"),
    ] {
        let mut socket = connect(&fleet);
        send(&mut socket, &frame);
        assert!(
            read_all(&mut socket).len() <= 1,
            "the gate continued after the handshake"
        );
    }
    assert!(fleet.metric(0, "handshakes_refused_total") >= 2.0);
    assert!(fleet.log(0).contains("E304"));
    assert_eq!(fleet.get(0, "/item").status, 200);
}

#[test]
fn a_silent_handshake_is_counted() {
    let fleet = single_upstream();
    let mut socket = connect(&fleet);
    let read = read_all(&mut socket);
    assert!(read.is_empty(), "the gate spoke first: {read:?}");
    assert!(fleet.metric(0, "handshakes_refused_total") >= 1.0);
    assert!(fleet.log(0).contains("E304"));
}

#[test]
fn a_failed_connect_is_not_a_lost_link() {
    let fleet = Fleet::start_piped();
    fleet.pipes[1].set_refusing(true);
    fleet.pipes[1].cut();
    let lost = fleet.metric(0, "links_lost_total");
    wait_for("further attempts to connect", || {
        fleet.metric(0, "links_failed_total") >= 3.0
    });
    assert!(
        fleet.metric(0, "links_lost_total") <= lost + 1.0,
        "an attempt counted as a lost link"
    );
}

#[test]
fn invalid_frames_close_only_their_link() {
    let fleet = single_upstream();
    let duplicate_open = Frame::Open {
        stream: 1,
        head: Box::new(browse("shop-1", u64::MAX / 2)),
    };
    let out_of_order: [Vec<Frame>; 3] = [
        vec![Frame::AnswerEnd { stream: 9 }],
        vec![Frame::Admitted { stream: 1 }],
        vec![hello(PROTOCOL_VERSION, "shop-1")],
    ];
    for frames in out_of_order {
        let mut socket = connect(&fleet);
        send(&mut socket, &hello(PROTOCOL_VERSION, "shop-1"));
        for frame in &frames {
            send(&mut socket, frame);
        }
        read_all(&mut socket);
    }
    let mut socket = connect(&fleet);
    send(&mut socket, &hello(PROTOCOL_VERSION, "shop-1"));
    send(&mut socket, &duplicate_open);
    send(&mut socket, &duplicate_open);
    read_all(&mut socket);
    assert!(fleet.metric(0, "frames_malformed_total") >= 3.0);
    assert_eq!(fleet.get(0, "/item").status, 200);
}

#[test]
fn random_bytes_on_a_link_leave_the_daemon_serving() {
    let fleet = single_upstream();
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut socket = connect(&fleet);
        if rng.bool() {
            send(&mut socket, &hello(PROTOCOL_VERSION, "shop-1"));
        }
        let mut bytes = vec![0; rng.usize(1..400)];
        rng.fill(&mut bytes);
        if rng.bool() {
            // A plausible length prefix lets the bytes reach the decoder.
            let length = (bytes.len() - 1).min(200) as u32;
            bytes.splice(..0, length.to_le_bytes());
        }
        let _ = socket.write_all(&bytes);
        let _ = socket.shutdown(std::net::Shutdown::Write);
        read_all(&mut socket);
    }
    assert_eq!(fleet.get(0, "/item").status, 200);
}

#[test]
fn data_beyond_the_window_closes_the_link() {
    let fleet = single_upstream();
    let mut socket = connect(&fleet);
    send(&mut socket, &hello(PROTOCOL_VERSION, "shop-1"));
    let mut head = browse("shop-1", u64::MAX / 2);
    head.method = "POST".to_owned();
    head.uri = "/slow?delay_ms=3000".to_owned();
    head.body = BodyFraming::Streamed { length: None };
    send(
        &mut socket,
        &Frame::Open {
            stream: 1,
            head: Box::new(head),
        },
    );
    // The stand-in doesn't read the body of this path, so the gate grants no more
    // window.
    for _ in 0..2_000 {
        let bytes = Bytes::from(vec![0; 16_384]);
        send(&mut socket, &Frame::Data { stream: 1, bytes });
    }
    read_all(&mut socket);
    wait_for("the malformed frame to be counted", || {
        fleet.metric(0, "frames_malformed_total") >= 1.0
    });
    assert_eq!(fleet.get(0, "/item").status, 200);
}

#[test]
fn malformed_datagrams_are_counted() {
    let fleet = single_upstream();
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a local port is free");
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut bytes = vec![0; rng.usize(1..1_500)];
        rng.fill(&mut bytes);
        bytes[0] = 200;
        socket
            .send_to(&bytes, fleet.link(0))
            .expect("the datagram can be sent");
    }
    wait_for("the datagrams to be counted", || {
        fleet.metric(0, "datagrams_malformed_total") >= 1.0
    });
    assert_eq!(fleet.get(0, "/item").status, 200);
}

#[test]
fn a_request_for_another_upstream_or_past_its_deadline_does_not_run() {
    let fleet = single_upstream();
    let mut socket = connect(&fleet);
    send(&mut socket, &hello(PROTOCOL_VERSION, ""));
    let requests = fleet.record.requests();
    send(
        &mut socket,
        &Frame::Open {
            stream: 1,
            head: Box::new(browse("shop-9", u64::MAX / 2)),
        },
    );
    send(
        &mut socket,
        &Frame::Open {
            stream: 2,
            head: Box::new(browse("shop-1", 1)),
        },
    );
    let mut reader = FrameReader::default();
    let mut refused = Vec::new();
    while refused.len() < 2 {
        let mut buf = [0; 4_096];
        let count = socket
            .read(&mut buf)
            .expect("the gate answers both requests");
        assert!(count > 0, "the gate closed the link");
        reader.extend(&buf[..count]);
        while let Some(frame) = reader.next_frame().expect("the gate sends valid frames") {
            if let Frame::Refused {
                stream, verdict, ..
            } = frame
            {
                refused.push((stream, verdict));
            }
        }
    }
    refused.sort_by_key(|(stream, _)| *stream);
    let expected = [NotRunReason::WrongUpstream, NotRunReason::DeadlinePassed];
    let expected = expected.map(|reason| WireVerdict::NotRun(reason.code()));
    assert_eq!(refused, [(1, expected[0]), (2, expected[1])]);
    assert_eq!(fleet.record.requests(), requests);
}
