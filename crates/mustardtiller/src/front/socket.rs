//! A caller's socket that fails once the caller reads nothing for too long.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use hyper::rt::Read;
use hyper::rt::ReadBuf;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol::Timer;
use smol::net::TcpStream;

use super::position::BodyLength;
use super::position::Position;
use crate::board::CallerConnection;
use crate::clock::Clock;
use crate::http::FairSocket;
use mustardtiller_core::HeadFields;
use mustardtiller_core::USUAL_FIELDS;

/// Send buffer of a caller's socket, in bytes.
///
/// While it is full, the caller counts as not reading. With a small one, a slow but
/// steady caller empties it within seconds.
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Most bytes of one read into a usual buffer.
const HEAD_CHUNK_BYTES: usize = 8 * 1024;

/// Most bytes of one read into a larger buffer, as uploads have.
const BODY_CHUNK_BYTES: usize = 32 * 1024;

fn count_lines(bytes: &[u8]) -> usize {
    bytes.iter().map(|byte| usize::from(*byte == b'\n')).sum()
}

/// A socket whose writes fail if the peer takes no byte within a time limit.
///
/// Without it, an answer that its caller doesn't read would hold its connection and
/// the answer's memory without limit.
#[derive(Debug)]
pub struct CallerSocket {
    io: FairSocket,
    connection: Arc<CallerConnection>,
    clock: Clock,
    write_timeout_ms: u64,
    /// Length of the body of the last request.
    body_length: Arc<BodyLength>,
    /// Where the next byte stands.
    position: Position,
    /// Bytes that were read from the socket, and not passed on or to be read again.
    replayed: Bytes,
    /// Bound on the header fields of the next head.
    head: HeadFields,
    /// Header fields for which the parser has space.
    space: usize,
    /// Runs while a write is pending.
    timer: Option<Timer>,
}

impl CallerSocket {
    /// Wrap a socket; a write may make no progress for `write_timeout_ms` milliseconds.
    pub fn new(
        socket: TcpStream,
        connection: Arc<CallerConnection>,
        clock: Clock,
        write_timeout_ms: u64,
    ) -> Self {
        let _ = set_socket_send_buffer_size(&socket, SEND_BUFFER_BYTES);
        Self {
            io: FairSocket::new(socket),
            connection,
            clock,
            write_timeout_ms,
            body_length: Arc::default(),
            position: Position::head(),
            replayed: Bytes::new(),
            head: HeadFields::default(),
            space: USUAL_FIELDS,
            timer: None,
        }
    }

    /// Return where the length of the body of each request is to be recorded.
    pub fn body_length(&self) -> Arc<BodyLength> {
        Arc::clone(&self.body_length)
    }

    /// Let bytes that were read from this socket be read once more, by a new parser.
    ///
    /// They begin with a head, and the parser must have space for [`Self::fields`] header fields.
    pub fn replay(&mut self, bytes: &Bytes) {
        self.replayed = if self.replayed.is_empty() {
            bytes.clone()
        } else {
            [bytes.as_ref(), self.replayed.as_ref()].concat().into()
        };
        let lines = count_lines(&self.replayed);
        self.head = HeadFields::new(lines, self.connection.requests());
        self.space = self.head.needed();
        self.position = Position::head();
        self.connection.hold_head(false);
    }

    /// Return the number of header fields for which the parser must have space.
    #[must_use]
    pub const fn fields(&self) -> usize {
        self.space
    }

    /// Read up to `N` bytes, of which the library gets what belongs to one head or body.
    fn poll_chunk<const N: usize>(
        &mut self,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; N];
        let limit = N.min(buf.remaining());
        let parsed = self.connection.requests();
        self.position.follow(parsed, &self.body_length);
        loop {
            let is_replayed = !self.replayed.is_empty();
            let count = if is_replayed {
                let count = self.replayed.len().min(limit);
                chunk[..count].copy_from_slice(&self.replayed[..count]);
                count
            } else {
                ready!(self.poll_socket(cx, &mut chunk[..limit]))?
            };
            if self.needs_space() {
                if !is_replayed {
                    self.replayed = Bytes::copy_from_slice(&chunk[..count]);
                }
                self.connection.hold_head(true);
                return Poll::Pending;
            }
            let (read, kept) = self.position.pass(&mut chunk[..count], parsed);
            if is_replayed {
                self.replayed.advance(read);
            } else if read < count {
                self.replayed = Bytes::copy_from_slice(&chunk[read..count]);
            }
            // Without a byte, the library would take the connection for ended.
            if kept > 0 || count == 0 {
                buf.put_slice(&chunk[..kept]);
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Read from the socket, and count the lines that may belong to a head.
    fn poll_socket(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut filling = ReadBuf::new(bytes);
        ready!(Pin::new(&mut self.io).poll_read(cx, filling.unfilled()))?;
        let (read, parsed) = (filling.filled(), self.connection.requests());
        if self.connection.awaits_head() {
            self.head.read_head(count_lines(read), parsed);
        } else {
            self.head.read_beside_request(count_lines(read), parsed);
        }
        Poll::Ready(Ok(read.len()))
    }

    /// Report whether the next bytes may need a parser with space for more fields.
    ///
    /// They are kept until the new parser replays them. A head may have arrived with the
    /// end of the body before it, while that request is in flight.
    fn needs_space(&self) -> bool {
        let is_head = self.connection.awaits_head() || self.position.is_head();
        is_head && self.head.needed() > self.space
    }

    /// Return the result of a write, or an error if it has been pending for too long.
    fn limit<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            if self.timer.take().is_some() {
                self.connection.end_unread();
            }
            return written;
        }
        let timer = self.timer.get_or_insert_with(|| {
            self.connection.begin_unread(self.clock.now());
            Timer::after(Duration::from_millis(self.write_timeout_ms))
        });
        match Pin::new(timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Read for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.connection.is_head_held() {
            return Poll::Pending;
        }
        if buf.remaining() <= HEAD_CHUNK_BYTES {
            self.poll_chunk::<HEAD_CHUNK_BYTES>(cx, buf)
        } else {
            self.poll_chunk::<BODY_CHUNK_BYTES>(cx, buf)
        }
    }
}

impl Write for CallerSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.limit(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.limit(cx, written)
    }
}
