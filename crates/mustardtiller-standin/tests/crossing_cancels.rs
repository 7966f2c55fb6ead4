//! A cancel that crosses its answer, after which the gate sends a second last frame.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use bytes::Bytes;

use mustardtiller::wire::AnswerHead;
use mustardtiller::wire::Frame;
use mustardtiller::wire::FrameReader;
use mustardtiller::wire::LoadReport;
use mustardtiller::wire::PROTOCOL_VERSION;
use mustardtiller::wire::Welcome;
use mustardtiller::wire::encode_frame;

use util::Fleet;
use util::FleetPlan;
use util::wait_for;

/// Return the load of a gate with free slots.
fn idle() -> LoadReport {
    LoadReport {
        limit: 4,
        ramp_milli: 1_000,
        work_percent: 100,
        ..LoadReport::default()
    }
}

/// Return what a gate sends in reply to a frame, with `extra` stream ends after an answer.
fn replies(frame: &Frame, extra: fn(u32) -> u32) -> Vec<Frame> {
    match frame {
        Frame::Hello(_) => vec![Frame::Welcome(Welcome {
            version: PROTOCOL_VERSION,
            incarnation: 7,
            upstream: "shop-2".to_owned(),
            clock_micros: 1,
            load: idle(),
        })],
        Frame::Ping { sequence } => vec![Frame::Pong {
            sequence: *sequence,
            clock_micros: 1,
            load: idle(),
        }],
        Frame::Open { stream, .. } => vec![
            Frame::Answer {
                stream: *stream,
                head: Box::new(AnswerHead {
                    status: 200,
                    headers: Vec::new(),
                    length: Some(2),
                }),
                bytes: Bytes::from_static(b"ok"),
                last: true,
                load: idle(),
            },
            Frame::AnswerCut {
                stream: extra(*stream),
            },
        ],
        _ => Vec::new(),
    }
}

fn serve(mut socket: TcpStream, extra: fn(u32) -> u32) {
    let mut frames = FrameReader::default();
    let mut buf = [0; 4_096];
    while let Ok(count @ 1..) = socket.read(&mut buf) {
        frames.extend(&buf[..count]);
        while let Ok(Some(frame)) = frames.next_frame() {
            let mut out = Vec::new();
            for reply in replies(&frame, extra) {
                encode_frame(&reply, &mut out).expect("it fits");
            }
            let _ = socket.write_all(&out);
        }
    }
}

/// Start two daemons, and a gate of the test's own in place of the second.
fn fleet_with_gate(extra: fn(u32) -> u32) -> Fleet {
    let mut fleet = Fleet::start(FleetPlan {
        upstreams: 2,
        ..FleetPlan::default()
    });
    fleet.kill(1);
    // The test's gate is the faster one, so that it gets requests.
    fleet.upstreams[0].plan().set_service_micros(30_000);
    let mut listener = None;
    wait_for("the address to be free", || {
        listener = TcpListener::bind(fleet.link(1)).ok();
        listener.is_some()
    });
    let listener = listener.expect("it is bound");
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            thread::spawn(move || serve(socket, extra));
        }
    });
    let made = fleet.metric(0, "links_made_total");
    wait_for("a link to the gate", || {
        fleet.metric(0, "links_made_total") > made
    });
    fleet
}

/// Call until the test's gate has answered `count` times.
fn call_gate(fleet: &Fleet, count: usize) {
    let mut answered = 0;
    wait_for("answers of the gate", || {
        answered += usize::from(&fleet.get(0, "/item").body[..] == b"ok");
        answered >= count
    });
}

#[test]
fn a_second_last_frame_ends_no_link() {
    let fleet = fleet_with_gate(|stream| stream);
    let lost = fleet.metric(0, "links_lost_total");
    call_gate(&fleet, 20);
    let malformed = fleet.metric(0, "frames_malformed_total");
    let later = fleet.metric(0, "links_lost_total");
    assert!(malformed < 0.5, "{malformed} violations");
    assert!(
        (later - lost).abs() < 0.5,
        "{lost} links lost, then {later}"
    );
}

#[test]
fn a_frame_for_a_stream_that_was_never_opened_ends_the_link() {
    let fleet = fleet_with_gate(|stream| stream + 1_000_000);
    wait_for("a violation", || {
        fleet.get(0, "/item");
        fleet.metric(0, "frames_malformed_total") > 0.5
    });
}
