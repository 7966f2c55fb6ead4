//! A second copy of an answer that comes late, from upstreams without identities.
//!
//! On a connection that is in use again, it would be taken for the next answer.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mustardtiller_standin::HttpCall;
use util::Fleet;
use util::FleetPlan;
use util::HOST;
use util::wait_for;

/// Whether an upstream repeats the exchange header in its answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Echo {
    Yes,
    No,
}

/// Serve at `address`: answer each request with its path, twice, `pause` microseconds apart.
fn serve_twice(address: SocketAddr, echo: Echo, pause: &Arc<AtomicU64>) {
    let pause = Arc::clone(pause);
    let listener = TcpListener::bind(address).expect("the address is free");
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let pause = Arc::clone(&pause);
            thread::spawn(move || serve_connection(socket, echo, &pause));
        }
    });
}

fn serve_connection(mut socket: TcpStream, echo: Echo, pause: &AtomicU64) -> Option<()> {
    let mut received = Vec::new();
    loop {
        let end = loop {
            if let Some(at) = received.windows(4).position(|four| four == b"\r\n\r\n") {
                break at + 4;
            }
            let mut buf = [0; 4_096];
            let count = socket.read(&mut buf).ok().filter(|count| *count > 0)?;
            received.extend_from_slice(&buf[..count]);
        };
        let text = String::from_utf8_lossy(&received[..end]).into_owned();
        received.drain(..end);
        let path = text.split_whitespace().nth(1).unwrap_or_default();
        if path == "/load" {
            let body = "state=live in_flight=0\n";
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
                body.len()
            );
            socket.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let is_exchange = |line: &&str| line.starts_with("mustardtiller-exchange:");
        let exchange = text.lines().find(is_exchange).filter(|_| echo == Echo::Yes);
        let header = exchange.map_or_else(String::new, |line| format!("{line}\r\n"));
        let body = format!("answer to {path}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{header}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(answer.as_bytes()).ok()?;
        let mut copy = socket.try_clone().ok()?;
        let pause = Duration::from_micros(pause.load(Ordering::SeqCst));
        thread::spawn(move || {
            thread::sleep(pause);
            copy.write_all(answer.as_bytes())
        });
    }
}

/// Send reads one after another; each success must be the read's own answer.
fn assert_own_answers(echo: Echo) {
    let mut fleet = Fleet::start(FleetPlan {
        upstreams: 1,
        ..FleetPlan::default()
    });
    fleet.wait_links(0);
    let address = fleet.upstreams[0].address();
    fleet.upstreams.clear();
    wait_for("the address to be free", || {
        TcpListener::bind(address).is_ok()
    });
    let pause = Arc::new(AtomicU64::new(0));
    serve_twice(address, echo, &pause);
    for pause_micros in [0, 300, 1_000, 3_000] {
        pause.store(pause_micros, Ordering::SeqCst);
        wait_for("an answer", || fleet.get(0, "/first").status == 200);
        for number in 0..60 {
            let path = format!("/read{number}");
            let answer = fleet.get(0, &path);
            if answer.status == 200 {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                let own = format!("answer to {path}");
                assert_eq!(body, own, "{echo:?}, {pause_micros} us");
            }
        }
    }
}

#[test]
fn a_callers_own_exchange_header_is_replaced() {
    // A service that forwards all headers to its own calls would send such a header.
    let fleet = Fleet::start(FleetPlan::default());
    fleet.wait_links(0);
    for number in 0..20 {
        let call = HttpCall::new("GET", HOST, "/item");
        let call = call.header("mustardtiller-exchange", (900 + number).to_string());
        let answer = fleet.call(0, &call);
        assert_eq!(answer.status, 200, "{}", answer.reason());
        assert_eq!(answer.header("mustardtiller-exchange"), None);
    }
}

#[test]
fn upstreams_that_repeat_the_exchange() {
    assert_own_answers(Echo::Yes);
}

#[test]
fn upstreams_that_do_not() {
    assert_own_answers(Echo::No);
}
