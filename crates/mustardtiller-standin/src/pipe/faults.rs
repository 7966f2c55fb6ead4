//! Forwards TCP connections to a target and cuts, freezes or delays them.

use std::fmt;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol::Executor;
use smol::Timer;
use smol::future;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;

use crate::Runner;

/// Interval between checks whether a direction is still frozen, in milliseconds.
const POLL_MS: u64 = 2;

/// Pause before the second copy of an answer, in milliseconds.
const REPEAT_MS: u64 = 1;

#[derive(Default)]
struct Shared {
    sockets: Mutex<Vec<TcpStream>>,
    refusing: AtomicBool,
    frozen_to_target: AtomicBool,
    frozen_from_target: AtomicBool,
    /// Number of the last silent connection, or zero; earlier ones are silent too.
    last_silent: AtomicU64,
    /// Number of the last stalled connection, or zero; earlier ones are stalled too.
    last_stalled: AtomicU64,
    connections: AtomicU64,
    delay_micros: AtomicU64,
    repeating: AtomicBool,
    bytes_to_target: AtomicU64,
    cut_to_target_after: AtomicU64,
    bytes_from_target: AtomicU64,
    cut_from_target_after: AtomicU64,
}

/// A TCP proxy from one address to another.
pub struct Pipe {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Pipe {
    /// Forward each connection to `address` on to `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    #[must_use]
    pub fn start(runner: &Runner, address: SocketAddr, target: SocketAddr) -> Self {
        let shared = Arc::new(Shared::default());
        shared.cut_to_target_after.store(u64::MAX, Ordering::SeqCst);
        shared
            .cut_from_target_after
            .store(u64::MAX, Ordering::SeqCst);
        let listener =
            smol::block_on(TcpListener::bind(address)).expect("the address can be bound");
        let executor = Arc::clone(runner.executor());
        runner.spawn(accept(listener, target, Arc::clone(&shared), executor));
        Self { address, shared }
    }

    /// Return the address that clients connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cut every connection.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the connections.
    pub fn cut(&self) {
        cut_all(&self.shared);
    }

    /// Close new connections at once, or accept them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Withhold bytes towards the target on all connections, open and new, or release them.
    pub fn set_frozen_to_target(&self, frozen: bool) {
        self.shared.frozen_to_target.store(frozen, Ordering::SeqCst);
    }

    /// Withhold bytes from the target on all connections, open and new, or release them.
    pub fn set_frozen_from_target(&self, frozen: bool) {
        self.shared
            .frozen_from_target
            .store(frozen, Ordering::SeqCst);
    }

    /// Stop forwarding on every open connection for good, without closing it.
    ///
    /// New connections are forwarded.
    pub fn silence_open(&self) {
        let connections = self.shared.connections.load(Ordering::SeqCst);
        self.shared.last_silent.store(connections, Ordering::SeqCst);
    }

    /// Stop forwarding on every open connection until it is released.
    ///
    /// New connections are forwarded, as when a packet of the open ones is lost.
    pub fn stall_open(&self) {
        let connections = self.shared.connections.load(Ordering::SeqCst);
        self.shared
            .last_stalled
            .store(connections, Ordering::SeqCst);
    }

    /// Go on forwarding on the connections that are stalled.
    pub fn release_stalled(&self) {
        self.shared.last_stalled.store(0, Ordering::SeqCst);
    }

    /// Delay bytes in both directions by `micros` microseconds.
    pub fn set_delay_micros(&self, micros: u64) {
        self.shared.delay_micros.store(micros, Ordering::SeqCst);
    }

    /// Forward each short HTTP answer twice, the second copy a little later.
    pub fn set_repeating(&self, repeating: bool) {
        self.shared.repeating.store(repeating, Ordering::SeqCst);
    }

    /// Cut every connection once `bytes` more have been sent to the target.
    pub fn cut_to_target_after(&self, bytes: u64) {
        let forwarded = self.shared.bytes_to_target.load(Ordering::SeqCst);
        self.shared
            .cut_to_target_after
            .store(forwarded + bytes, Ordering::SeqCst);
    }

    /// Cut every connection once `bytes` more have come from the target.
    pub fn cut_from_target_after(&self, bytes: u64) {
        let forwarded = self.shared.bytes_from_target.load(Ordering::SeqCst);
        self.shared
            .cut_from_target_after
            .store(forwarded + bytes, Ordering::SeqCst);
    }

    /// Return the number of connections made to the target.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

impl fmt::Debug for Pipe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pipe")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if shared.refusing.load(Ordering::SeqCst) {
            continue;
        }
        let shared = Arc::clone(&shared);
        let relaying = async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            relay(client, server, &shared).await;
        };
        executor.spawn(relaying).detach();
    }
}

/// Copy bytes both ways until one direction ends, then close both sockets.
async fn relay(client: TcpStream, server: TcpStream, shared: &Shared) {
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let number = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
    {
        let mut sockets = shared.sockets.lock().expect("the sockets are not poisoned");
        sockets.push(client.clone());
        sockets.push(server.clone());
    }
    let to_target = copy(
        client.clone(),
        server.clone(),
        shared,
        number,
        Direction::ToTarget,
    );
    let from_target = copy(
        server.clone(),
        client.clone(),
        shared,
        number,
        Direction::FromTarget,
    );
    future::or(to_target, from_target).await;
    let _ = client.shutdown(Shutdown::Both);
    let _ = server.shutdown(Shutdown::Both);
}

#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    FromTarget,
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    shared: &Shared,
    number: u64,
    direction: Direction,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            return;
        }
        hold_back(shared, number, direction).await;
        let (forwarded, limit) = match direction {
            Direction::ToTarget => (&shared.bytes_to_target, &shared.cut_to_target_after),
            Direction::FromTarget => (&shared.bytes_from_target, &shared.cut_from_target_after),
        };
        let before = forwarded.fetch_add(count as u64, Ordering::SeqCst);
        let limit = limit.load(Ordering::SeqCst);
        let allowed = (limit.saturating_sub(before)).min(count as u64) as usize;
        if to.write_all(&buf[..allowed]).await.is_err() {
            return;
        }
        if allowed < count {
            cut_all(shared);
            return;
        }
        let repeats = shared.repeating.load(Ordering::SeqCst);
        if repeats && matches!(direction, Direction::FromTarget) && is_whole_answer(&buf[..count]) {
            Timer::after(Duration::from_millis(REPEAT_MS)).await;
            if to.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }
}

/// Report whether `bytes` are one HTTP answer with its complete body.
fn is_whole_answer(bytes: &[u8]) -> bool {
    let Some(head) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
        return false;
    };
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let mut headers = text.lines().filter_map(|line| line.split_once(": "));
    let length = headers.find(|(name, _)| *name == "content-length");
    let length = length.and_then(|(_, value)| value.parse::<usize>().ok());
    bytes.starts_with(b"HTTP/1.1 ") && length == Some(bytes.len() - head - 4)
}

/// Wait for the delay and the end of a freeze; never return on a silent connection.
async fn hold_back(shared: &Shared, number: u64, direction: Direction) {
    let delay = shared.delay_micros.load(Ordering::SeqCst);
    if delay > 0 {
        Timer::after(Duration::from_micros(delay)).await;
    }
    if number <= shared.last_silent.load(Ordering::SeqCst) {
        future::pending::<()>().await;
    }
    while number <= shared.last_stalled.load(Ordering::SeqCst) {
        Timer::after(Duration::from_millis(POLL_MS)).await;
    }
    let frozen = match direction {
        Direction::ToTarget => &shared.frozen_to_target,
        Direction::FromTarget => &shared.frozen_from_target,
    };
    while frozen.load(Ordering::SeqCst) {
        Timer::after(Duration::from_millis(POLL_MS)).await;
    }
}

fn cut_all(shared: &Shared) {
    let sockets =
        std::mem::take(&mut *shared.sockets.lock().expect("the sockets are not poisoned"));
    for socket in sockets {
        let _ = socket.shutdown(Shutdown::Both);
    }
}
