//! A crowd of callers that nobody controls, and what it costs a daemon.

use std::fs;
use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::Fleet;
use super::HOST;

/// Time without a byte sent after which the crowd has sent what it can.
const SETTLED: Duration = Duration::from_secs(1);

/// Pause between two rounds in which no byte could be sent.
const PAUSE: Duration = Duration::from_millis(5);

/// Time limit for all rounds of a crowd, and for a daemon to read what was sent.
const ROUNDS_LIMIT: Duration = Duration::from_secs(120);

/// Connections that send a text each and stay open.
pub struct Crowd {
    members: Vec<Member>,
}

struct Member {
    /// `None` once the daemon has closed the connection.
    socket: Option<TcpStream>,
    sent: usize,
}

impl Crowd {
    /// Open `count` connections and send `text` on each, `piece` bytes at a time.
    ///
    /// Returns once all is sent, or no connection accepts more.
    pub fn send(address: SocketAddr, count: usize, text: &[u8], piece: usize) -> Self {
        let mut crowd = Self {
            members: Vec::new(),
        };
        for _ in 0..count {
            let socket = TcpStream::connect(address).ok();
            if let Some(socket) = &socket {
                let _ = socket.set_nonblocking(true);
            }
            crowd.members.push(Member { socket, sent: 0 });
        }
        crowd.send_rounds(text, piece);
        crowd
    }

    fn send_rounds(&mut self, text: &[u8], piece: usize) {
        let begun = Instant::now();
        let mut last_progress = begun;
        while last_progress.elapsed() < SETTLED && begun.elapsed() < ROUNDS_LIMIT {
            let sent: usize = self.members.iter_mut().map(|m| m.send(text, piece)).sum();
            if sent > 0 {
                last_progress = Instant::now();
            } else if self.members.iter().all(|m| m.is_done(text)) {
                return;
            } else {
                thread::sleep(PAUSE);
            }
        }
    }

    /// Return the connections that the daemon has not closed while they sent.
    pub fn open(&self) -> usize {
        self.members.iter().filter(|m| m.socket.is_some()).count()
    }
}

impl Member {
    /// Send the next piece and return how many bytes of it were accepted.
    fn send(&mut self, text: &[u8], piece: usize) -> usize {
        let Some(socket) = &mut self.socket else {
            return 0;
        };
        let end = text.len().min(self.sent + piece);
        if self.sent == end {
            return 0;
        }
        match socket.write(&text[self.sent..end]) {
            Ok(count) => {
                self.sent += count;
                count
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => {
                self.socket = None;
                0
            }
        }
    }

    const fn is_done(&self, text: &[u8]) -> bool {
        self.socket.is_none() || self.sent == text.len()
    }
}

/// Return the head of a request, up to and including the empty line.
pub fn head(method: &str, path: &str, framing: &str) -> Vec<u8> {
    head_for(HOST, method, path, framing)
}

/// Return the head of a request to a host.
pub fn head_for(host: &str, method: &str, path: &str, framing: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\n{framing}\r\n\r\n").into_bytes()
}

/// Return `count` chunks of `bytes` bytes each, without the last one that ends a body.
pub fn chunks(count: usize, bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}

/// Wait until a daemon's memory no longer grows, so that it has read what was sent.
pub fn wait_settled(fleet: &Fleet, index: usize) -> Held {
    let until = Instant::now() + ROUNDS_LIMIT;
    let mut last = held(fleet, index);
    let mut steady_since = Instant::now();
    while steady_since.elapsed() < SETTLED && Instant::now() < until {
        thread::sleep(PAUSE);
        let now = held(fleet, index);
        if now.peak_kb != last.peak_kb {
            steady_since = Instant::now();
        }
        last = now;
    }
    last
}

/// What a daemon holds, as its kernel counts it.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// Peak resident memory so far, in KB.
    pub peak_kb: u64,
    /// Resident memory now, in KB.
    pub resident_kb: u64,
    /// Open descriptors now.
    pub descriptors: usize,
}

/// Read what a daemon holds.
///
/// # Panics
///
/// Panics if the daemon has ended.
pub fn held(fleet: &Fleet, index: usize) -> Held {
    let pid = fleet.daemons[index].as_ref().expect("the daemon runs").id();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.expect("the daemon has not ended")
    };
    let descriptors = fs::read_dir(format!("/proc/{pid}/fd"));
    Held {
        peak_kb: field("VmHWM:"),
        resident_kb: field("VmRSS:"),
        descriptors: descriptors.expect("the daemon has not ended").count(),
    }
}
