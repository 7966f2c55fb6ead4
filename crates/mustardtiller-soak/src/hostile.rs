//! Clients that nobody controls: bodies that stop short of their end, and bytes that
//! are no request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol::Timer;
use smol::future;
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;

use crate::callers::SharedState;

/// Connections that one client holds at a time.
const CONNECTIONS: usize = 16;

/// Time for which they stay open, in milliseconds.
const HOLD_MS: u64 = 1_500;

/// Longest time to connect and send, in milliseconds.
const SEND_MS: u64 = 200;

/// Length of a large body.
const BODY_BYTES: usize = 400_000;

/// Number of chunks of one byte in a body.
const SMALL_CHUNKS: usize = 2_000;

/// What a client sends on one connection.
#[derive(Clone, Copy, Debug)]
enum Shape {
    WholeBody,
    LargeChunks,
    SmallChunks,
    PartialHead,
    NoRequest,
}

impl Shape {
    const ALL: &'static [Self] = &[
        Self::WholeBody,
        Self::LargeChunks,
        Self::SmallChunks,
        Self::PartialHead,
        Self::NoRequest,
    ];

    /// Return the bytes, which end short of the end of a request.
    fn text(self, rng: &mut fastrand::Rng) -> Vec<u8> {
        let chunked =
            "POST /order/hostile HTTP/1.1\r\nhost: shop\r\ntransfer-encoding: chunked\r\n\r\n";
        match self {
            Self::WholeBody => {
                let head = format!(
                    "POST /order/hostile HTTP/1.1\r\nhost: shop\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
                );
                let mut text = head.into_bytes();
                text.resize(text.len() + BODY_BYTES - 1, b'x');
                text
            }
            Self::LargeChunks => {
                let mut text = format!("{chunked}{BODY_BYTES:x}\r\n").into_bytes();
                text.resize(text.len() + BODY_BYTES - 1, b'x');
                text
            }
            Self::SmallChunks => (chunked.to_owned() + &"1\r\nx\r\n".repeat(SMALL_CHUNKS)).into(),
            Self::PartialHead => b"GET /read/hostile HTTP/1.1\r\nhost: shop\r\nx-filler: ".to_vec(),
            Self::NoRequest => {
                let mut bytes = vec![0; rng.usize(1..2_000)];
                rng.fill(&mut bytes);
                bytes
            }
        }
    }
}

/// Hold connections open at an entry until the run stops.
pub async fn run_hostile_client(state: Arc<SharedState>, entry: SocketAddr, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    while !state.stopping.load(Ordering::SeqCst) {
        let mut open = Vec::new();
        for number in 0..CONNECTIONS {
            let text = Shape::ALL[number % Shape::ALL.len()].text(&mut rng);
            let timeout = async {
                Timer::after(Duration::from_millis(SEND_MS)).await;
                None
            };
            open.extend(future::or(send(entry, &text), timeout).await);
        }
        Timer::after(Duration::from_millis(HOLD_MS)).await;
    }
}

/// Send a text on a new connection; `None` if the entry accepts or reads nothing.
async fn send(entry: SocketAddr, text: &[u8]) -> Option<TcpStream> {
    let mut socket = TcpStream::connect(entry).await.ok()?;
    socket.write_all(text).await.ok()?;
    Some(socket)
}
