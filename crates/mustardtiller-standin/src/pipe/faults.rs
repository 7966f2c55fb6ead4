//! Copies bytes between two ends, and cuts, freezes or delays them.

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

/// Time between two looks at a frozen pipe, in milliseconds.
const LOOK_MS: u64 = 2;

#[derive(Default)]
struct Shared {
    sockets: Mutex<Vec<TcpStream>>,
    refusing: AtomicBool,
    frozen_there: AtomicBool,
    frozen_back: AtomicBool,
    silent_from: AtomicU64,
    connections: AtomicU64,
    delay_micros: AtomicU64,
    bytes_there: AtomicU64,
    cut_after_there: AtomicU64,
    bytes_back: AtomicU64,
    cut_after_back: AtomicU64,
}

/// A pipe from one address to another.
pub struct Pipe {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Pipe {
    /// Copy between connections to `address` and `target`.
    ///
    /// # Panics
    ///
    /// Panics if the address is taken.
    #[must_use]
    pub fn start(runner: &Runner, address: SocketAddr, target: SocketAddr) -> Self {
        let shared = Arc::new(Shared::default());
        shared.cut_after_there.store(u64::MAX, Ordering::SeqCst);
        shared.cut_after_back.store(u64::MAX, Ordering::SeqCst);
        let listener = smol::block_on(TcpListener::bind(address)).expect("the address is free");
        let executor = Arc::clone(runner.executor());
        runner.spawn(accept(listener, target, Arc::clone(&shared), executor));
        Self { address, shared }
    }

    /// Return the near end.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cut every connection.
    ///
    /// # Panics
    ///
    /// Panics if a thread that held the connections has panicked.
    pub fn cut(&self) {
        cut_all(&self.shared);
    }

    /// Refuse new connections, or take them again.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Hold back bytes towards the target, in old and new connections.
    pub fn freeze_there(&self, frozen: bool) {
        self.shared.frozen_there.store(frozen, Ordering::SeqCst);
    }

    /// Hold back bytes from the target, in old and new connections.
    pub fn freeze_back(&self, frozen: bool) {
        self.shared.frozen_back.store(frozen, Ordering::SeqCst);
    }

    /// Let every open connection fall silent for good; new ones work.
    pub fn silence_open(&self) {
        let connections = self.shared.connections.load(Ordering::SeqCst);
        self.shared.silent_from.store(connections, Ordering::SeqCst);
    }

    /// Delay bytes both ways by some microseconds.
    pub fn set_delay_micros(&self, micros: u64) {
        self.shared.delay_micros.store(micros, Ordering::SeqCst);
    }

    /// Cut everything once `bytes` more have passed towards the target.
    pub fn cut_after_there(&self, bytes: u64) {
        let passed = self.shared.bytes_there.load(Ordering::SeqCst);
        self.shared
            .cut_after_there
            .store(passed + bytes, Ordering::SeqCst);
    }

    /// Cut everything once `bytes` more have passed from the target.
    pub fn cut_after_back(&self, bytes: u64) {
        let passed = self.shared.bytes_back.load(Ordering::SeqCst);
        self.shared
            .cut_after_back
            .store(passed + bytes, Ordering::SeqCst);
    }

    /// Return how many connections were made.
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
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        if shared.refusing.load(Ordering::SeqCst) {
            continue;
        }
        let shared = Arc::clone(&shared);
        let carrying = async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            carry(near, far, &shared).await;
        };
        executor.spawn(carrying).detach();
    }
}

async fn carry(near: TcpStream, far: TcpStream, shared: &Shared) {
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let number = shared.connections.fetch_add(1, Ordering::SeqCst) + 1;
    {
        let mut sockets = shared.sockets.lock().expect("no thread panics here");
        sockets.push(near.clone());
        sockets.push(far.clone());
    }
    let there = copy(near.clone(), far.clone(), shared, number, Way::There);
    let back = copy(far.clone(), near.clone(), shared, number, Way::Back);
    future::or(there, back).await;
    let _ = near.shutdown(Shutdown::Both);
    let _ = far.shutdown(Shutdown::Both);
}

#[derive(Clone, Copy)]
enum Way {
    There,
    Back,
}

async fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared, number: u64, way: Way) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            return;
        }
        wait_out(shared, number, way).await;
        let (passed, limit) = match way {
            Way::There => (&shared.bytes_there, &shared.cut_after_there),
            Way::Back => (&shared.bytes_back, &shared.cut_after_back),
        };
        let before = passed.fetch_add(count as u64, Ordering::SeqCst);
        let limit = limit.load(Ordering::SeqCst);
        let allowed = (limit.saturating_sub(before)).min(count as u64) as usize;
        if to.write_all(&buf[..allowed]).await.is_err() {
            return;
        }
        if allowed < count {
            cut_all(shared);
            return;
        }
    }
}

async fn wait_out(shared: &Shared, number: u64, way: Way) {
    let delay = shared.delay_micros.load(Ordering::SeqCst);
    if delay > 0 {
        Timer::after(Duration::from_micros(delay)).await;
    }
    if number <= shared.silent_from.load(Ordering::SeqCst) {
        future::pending::<()>().await;
    }
    let frozen = match way {
        Way::There => &shared.frozen_there,
        Way::Back => &shared.frozen_back,
    };
    while frozen.load(Ordering::SeqCst) {
        Timer::after(Duration::from_millis(LOOK_MS)).await;
    }
}

fn cut_all(shared: &Shared) {
    let sockets = std::mem::take(&mut *shared.sockets.lock().expect("no thread panics here"));
    for socket in sockets {
        let _ = socket.shutdown(Shutdown::Both);
    }
}
