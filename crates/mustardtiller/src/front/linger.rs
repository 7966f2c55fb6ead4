//! How a connection is closed whose caller may still be sending.

use std::future::poll_fn;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use smol::future;
use smol::io::AsyncRead;
use smol::net::TcpStream;

use crate::board::CallerConnection;
use crate::board::Phase;
use crate::daemon::Node;

/// Longest time for which a closing connection is read, in milliseconds.
const LINGER_MS: u64 = 2_000;

/// The same once it is to make room for others, in milliseconds.
const DISMISSED_MS: u64 = 200;

/// The same once the daemon drains, so that no caller prolongs a stop, in milliseconds.
const STOPPING_MS: u64 = 500;

/// Most bytes that are read from a closing connection.
const LINGER_BYTES: usize = 16 * 1024 * 1024;

const READ_BYTES: usize = 16 * 1024;

/// Read and drop what the caller still sends, until it closes.
///
/// A socket that is closed with unread bytes, or gets bytes later, sends a reset: the
/// caller's write fails before it reads the answer, and on a link with losses the answer
/// isn't sent again.
pub async fn linger(node: &Node, caller: &CallerConnection, socket: TcpStream) {
    let _ = socket.shutdown(Shutdown::Write);
    let dismissed = async {
        caller.dismissed().await;
        node.clock.sleep_millis(DISMISSED_MS).await;
    };
    let stopping = async {
        node.board.phase.reached(Phase::Draining).await;
        node.clock.sleep_millis(STOPPING_MS).await;
    };
    let early = future::or(dismissed, stopping);
    let late = future::or(node.clock.sleep_millis(LINGER_MS), early);
    future::or(drain(socket), late).await;
}

async fn drain(mut socket: TcpStream) {
    let mut left = LINGER_BYTES;
    while let Ok(count @ 1..) = poll_fn(|cx| poll_discard(&mut socket, cx)).await {
        left = left.saturating_sub(count);
        if left == 0 {
            return;
        }
        // A read that finds bytes never waits.
        future::yield_now().await;
    }
}

/// Read into a buffer that takes no memory while the read waits.
fn poll_discard(socket: &mut TcpStream, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
    let mut buf = [0; READ_BYTES];
    Pin::new(socket).poll_read(cx, &mut buf)
}
