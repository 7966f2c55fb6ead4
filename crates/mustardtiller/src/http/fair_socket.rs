//! A socket whose reader shares its thread, however fast the peer sends.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// Reads without a wait after which other tasks get their turn.
const READS_A_TURN: u32 = 4;

/// A socket that lets other tasks run after a few reads without a wait.
///
/// The HTTP library reads on until a read has to wait. Bytes that it skips, such as
/// interim answers or the leading zeros of a chunk's size, would hold the thread for as
/// long as the peer sends them, so that no deadline could end the exchange.
#[derive(Debug)]
pub struct FairSocket {
    io: FuturesIo<TcpStream>,
    /// Reads that are left in this turn.
    reads_left: u32,
}

impl FairSocket {
    /// Wrap a connected socket.
    #[must_use]
    pub fn new(socket: TcpStream) -> Self {
        Self {
            io: FuturesIo::new(socket),
            reads_left: READS_A_TURN,
        }
    }
}

impl Read for FairSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_left == 0 {
            self.reads_left = READS_A_TURN;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        self.reads_left = match polled {
            Poll::Ready(_) => self.reads_left - 1,
            Poll::Pending => READS_A_TURN,
        };
        polled
    }
}

impl Write for FairSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(cx, buf)
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
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
