//! Uploads are stored completely or not at all, and are never replayed.
//!
//! An upload whose caller, link or upstream fails within the body could be stored
//! in part, sent twice, or reported as not run although it has started.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpStream;
use std::time::Duration;

use mustardtiller_standin::HttpCall;
use mustardtiller_standin::content;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::wait_for;

fn upload(key: &str, bytes: Vec<u8>) -> HttpCall {
    HttpCall::new("POST", HOST, "/upload")
        .header("x-key", key)
        .body(bytes)
}

/// Start an upload and send `sent` bytes of its body after `100 Continue`.
fn start_raw_upload(fleet: &Fleet, key: &str, length: usize, sent: usize) -> TcpStream {
    let mut socket = TcpStream::connect(fleet.entry(0)).expect("the entry accepts connections");
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("the read timeout can be set");
    let head = format!(
        "POST /upload HTTP/1.1\r\nhost: {HOST}\r\nx-key: {key}\r\ncontent-length: {length}\r\n\
         expect: 100-continue\r\n\r\n"
    );
    socket
        .write_all(head.as_bytes())
        .expect("the entry reads the request");
    let mut buf = [0; 25];
    socket
        .read_exact(&mut buf)
        .expect("the entry sends a status line");
    assert!(
        buf.starts_with(b"HTTP/1.1 100"),
        "{}",
        String::from_utf8_lossy(&buf)
    );
    socket
        .write_all(&content(1, length)[..sent])
        .expect("the entry reads the request");
    socket
}

#[test]
fn an_upload_aborted_by_the_caller_is_not_stored() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    for (number, sent) in [1, 20_000, 299_999].into_iter().enumerate() {
        let key = format!("gone{number}");
        let socket = start_raw_upload(&fleet, &key, 300_000, sent);
        wait_for("the upload to reach the upstream", || {
            fleet.record.in_flight() > 0
        });
        socket.shutdown(Shutdown::Both).expect("the socket is open");
        drop(socket);
        wait_for("the upstream to see the cut", || {
            fleet.record.in_flight() == 0
        });
        assert_eq!(fleet.record.upload(&key), None);
        assert_eq!(fleet.record.runs(&key), 0);
    }
}

#[test]
fn a_link_cut_during_an_upload_gives_unknown_and_no_replay() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 2,
        piped: true,
        ..FleetPlan::default()
    });
    fleet.wait_links(0);
    for (number, bytes) in [1_000, 60_000, 250_000].into_iter().enumerate() {
        let requests = fleet.record.requests();
        for pipe in &fleet.pipes {
            pipe.cut_to_target_after(bytes);
        }
        let key = format!("cut{number}");
        let answer = fleet.call(0, &upload(&key, content(9, 400_000)));
        assert_eq!(answer.outcome(), "unknown", "{}", answer.reason());
        assert_eq!(
            fleet.record.upload(&key),
            None,
            "a partial upload was stored"
        );
        assert!(
            fleet.record.requests() - requests <= 1,
            "the upload was sent twice"
        );
        for pipe in &fleet.pipes {
            pipe.cut_to_target_after(u64::MAX / 2);
        }
        wait_for("the links to recover", || {
            fleet.get(0, "/ready").status == 200
        });
    }
}

#[test]
fn a_cut_upload_leaves_concurrent_uploads_intact() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    let others: Vec<_> = (0..6_u64)
        .map(|seed| {
            let call = upload(&format!("whole{seed}"), content(seed, 500_000));
            fleet.spawn_call(0, call)
        })
        .collect();
    let cut = start_raw_upload(&fleet, "cut", 300_000, 100_000);
    drop(cut);
    for (seed, call) in others.into_iter().enumerate() {
        let answer = smol::block_on(call);
        assert_eq!(answer.status, 201, "{}", answer.reason());
        let stored = fleet.record.upload(&format!("whole{seed}"));
        assert_eq!(stored, Some(content(seed as u64, 500_000)));
    }
    assert_eq!(fleet.record.upload("cut"), None);
}

#[test]
fn a_refused_upload_gets_no_100_continue() {
    let mut fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    fleet.upstreams[0].plan().set_draining(true);
    fleet.upstreams[0].kill();
    let mut socket = TcpStream::connect(fleet.entry(0)).expect("the entry accepts connections");
    let head = format!(
        "POST /upload HTTP/1.1\r\nhost: {HOST}\r\nx-key: no\r\ncontent-length: 900000\r\n\
         expect: 100-continue\r\n\r\n"
    );
    socket
        .write_all(head.as_bytes())
        .expect("the entry reads the request");
    let mut buf = [0; 12];
    socket
        .read_exact(&mut buf)
        .expect("the entry sends a status line");
    assert_eq!(&buf, b"HTTP/1.1 503", "the entry asked for the body");
}

#[test]
fn an_upstream_killed_during_an_upload_gives_unknown() {
    let mut fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    let mut socket = start_raw_upload(&fleet, "killed", 300_000, 100_000);
    wait_for("the upload to reach the upstream", || {
        fleet.record.in_flight() > 0
    });
    fleet.upstreams[0].kill();
    let mut text = Vec::new();
    let _ = socket.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(text.contains("mustardtiller-outcome: unknown"), "{text}");
    assert_eq!(fleet.record.upload("killed"), None);
}

#[test]
fn an_upload_that_stalls_is_cut_and_not_stored() {
    let limits = "[limits]\npiece_ms = 200\n".to_owned();
    let plan = FleetPlan {
        upstreams: 1,
        settings: limits,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan);
    let mut socket = start_raw_upload(&fleet, "slow", 300_000, 10);
    let mut text = Vec::new();
    let _ = socket.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(text.contains("body-cut"), "{text}");
    assert_eq!(fleet.record.upload("slow"), None);
}

#[test]
fn a_large_upload_does_not_block_browses() {
    let fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    let large = HttpCall::new("POST", HOST, "/sink").body(content(3, 64_000_000));
    let pending = fleet.spawn_call(0, large);
    wait_for("the upload to reach the upstream", || {
        fleet.record.in_flight() > 0
    });
    let mut browsed = 0;
    while !pending.is_finished() {
        assert_eq!(fleet.get(0, "/item").status, 200);
        browsed += 1;
    }
    assert_eq!(&smol::block_on(pending).body[..], b"took 64000000 bytes\n");
    assert!(browsed > 0);
}
