//! Reads frames from a socket.

use std::net::Shutdown;

use smol::future::yield_now;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;
use snafu::Snafu;

use mustardtiller_core::ReadTurn;
use mustardtiller_wire::Frame;
use mustardtiller_wire::FrameReader;
use mustardtiller_wire::WireError;

/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Why no further frame can be read.
#[derive(Debug)]
#[derive(Snafu)]
pub enum ReadError {
    /// The peer closed the connection.
    #[snafu(display("connection closed by peer"))]
    Ended,
    /// The connection failed.
    #[snafu(display("connection failed: {source}"))]
    Failed {
        /// The cause.
        source: std::io::Error,
    },
    /// The peer sent a malformed frame.
    #[snafu(display("{source}"))]
    Malformed {
        /// The cause.
        source: WireError,
    },
}

/// Reads frames from one socket.
#[derive(Debug)]
pub struct SocketReader {
    socket: TcpStream,
    frames: FrameReader,
    buf: Vec<u8>,
    turn: ReadTurn,
}

impl SocketReader {
    /// Create a reader of the frames from `socket`.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            frames: FrameReader::default(),
            buf: vec![0; READ_BYTES],
            turn: ReadTurn::default(),
        }
    }

    /// End the connection in both directions; what waits to be written is lost.
    pub fn shut_down(&self) {
        // It fails only if the connection has ended already.
        let _ = self.socket.shutdown(Shutdown::Both);
    }

    /// Wait for the next frame.
    ///
    /// Cancel-safe: the future may be dropped and the method called again.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends or fails, or a frame is malformed.
    pub async fn next(&mut self) -> Result<Frame, ReadError> {
        loop {
            if self.turn.is_over() {
                self.turn = ReadTurn::default();
                yield_now().await;
            }
            match self.frames.next_frame() {
                Ok(Some(frame)) => {
                    self.turn.note_frame();
                    return Ok(frame);
                }
                Ok(None) => {}
                Err(source) => return Err(ReadError::Malformed { source }),
            }
            match self.socket.read(&mut self.buf).await {
                Ok(0) => return Err(ReadError::Ended),
                Ok(count) => {
                    self.turn.note_read(count);
                    self.frames.extend(&self.buf[..count]);
                }
                Err(source) => return Err(ReadError::Failed { source }),
            }
        }
    }
}
