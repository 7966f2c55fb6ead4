//! The end of a caller's connection: which requests are awaited.

use std::pin::Pin;

use smol::future;
use smol::net::TcpStream;

use super::caller_http::CallerHttp;
use super::caller_http::CallerService;
use super::caller_http::HttpEnd;
use crate::board::CallerConnection;
use crate::daemon::Node;
use mustardtiller_core::Deadline;

/// Time for which a draining daemon waits for the first request on a new connection,
/// and for the rest of a head that has begun to arrive, in milliseconds.
pub const FIRST_REQUEST_MS: u64 = 200;

/// Wait until a connection that shuts down has ended, or may be closed.
///
/// A head that is never completed would keep it open.
pub async fn finish(
    node: &Node,
    caller: &CallerConnection,
    mut connection: Pin<&mut CallerHttp<impl CallerService>>,
) -> HttpEnd {
    loop {
        let limit = Deadline::in_millis(node.clock.now(), FIRST_REQUEST_MS);
        if let Some(end) = node.clock.within(limit, connection.as_mut()).await {
            return end;
        }
        if caller.is_closable(node.clock.now()) {
            return HttpEnd::Closed;
        }
    }
}

/// Report whether bytes have arrived on a connection that are not read yet.
pub async fn has_unread_bytes(socket: &TcpStream) -> bool {
    let mut buf = [0];
    let peeked = future::poll_once(socket.peek(&mut buf)).await;
    matches!(peeked, Some(Ok(count)) if count > 0)
}
