//! Reads the platform over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use smol::net::TcpStream;

use super::source::PublishedError;
use super::source::PublishedSource;
use super::source::PublishedValue;
use super::source::ReadExtent;
use super::source::ReadFuture;
use super::source::Registrations;
use crate::clock::Clock;
use crate::http::FairSocket;
use mustardtiller_config::MAX_VALUE_BYTES;
use mustardtiller_core::Deadline;
use mustardtiller_core::Digest;

/// Timeout of one HTTP request, in milliseconds; a long poll adds its own time.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Reads the platform over HTTP, with a new connection for each request.
///
/// `GET /config/manifest` and `GET /config/parts/DIGEST` give values with an
/// `ETag`; `?wait_ms=N` with `If-None-Match` waits for a change and answers
/// 304 if none came. `GET /hosts` gives the host list.
#[derive(Clone, Copy, Debug)]
pub struct HttpPublishedSource {
    address: SocketAddr,
    clock: Clock,
}

impl HttpPublishedSource {
    /// Create a source for the platform at `address`.
    #[must_use]
    pub const fn new(address: SocketAddr, clock: Clock) -> Self {
        Self { address, clock }
    }

    async fn get(
        &self,
        path: &str,
        tag: Option<&str>,
        wait_ms: u64,
    ) -> Result<Option<PublishedValue>, PublishedError> {
        let deadline = Deadline::in_millis(self.clock.now(), CALL_TIMEOUT_MS + wait_ms);
        let calling = self.call(path, tag);
        let called = self.clock.within(deadline, calling).await;
        called.unwrap_or_else(|| Err(call_error(&"no answer in time")))
    }

    async fn call(
        &self,
        path: &str,
        tag: Option<&str>,
    ) -> Result<Option<PublishedValue>, PublishedError> {
        let socket = TcpStream::connect(self.address)
            .await
            .map_err(|e| call_error(&e))?;
        let handshake = http1::handshake(FairSocket::new(socket)).await;
        let (mut sender, connection) = handshake.map_err(|e| call_error(&e))?;
        let mut request = Request::get(path).header("host", self.address.to_string());
        if let Some(tag) = tag {
            request = request.header("if-none-match", tag);
        }
        let request = request
            .body(Empty::<Bytes>::new())
            .map_err(|e| call_error(&e))?;
        let answering = async {
            let response = sender
                .send_request(request)
                .await
                .map_err(|e| call_error(&e))?;
            read_value(response).await
        };
        let driving = async {
            // If the connection fails, `answering` returns the error.
            let _ = connection.await;
            smol::future::pending().await
        };
        smol::future::or(answering, driving).await
    }

    async fn value(&self, path: &str) -> Result<Vec<u8>, PublishedError> {
        let value = self.get(path, None, 0).await?;
        value
            .map(|value| value.bytes)
            .ok_or(PublishedError::Status { status: 304 })
    }
}

impl PublishedSource for HttpPublishedSource {
    fn manifest(
        &self,
        held: Option<&str>,
        wait_until: Deadline,
    ) -> ReadFuture<'_, Option<PublishedValue>> {
        let held = held.map(str::to_owned);
        Box::pin(async move {
            match held {
                Some(tag) => {
                    let wait_ms = wait_until.remaining(self.clock.now()).as_millis() as u64;
                    let path = format!("/config/manifest?wait_ms={wait_ms}");
                    self.get(&path, Some(&tag), wait_ms).await
                }
                None => self.get("/config/manifest", None, 0).await,
            }
        })
    }

    fn part(&self, digest: Digest) -> ReadFuture<'_, Vec<u8>> {
        Box::pin(async move { self.value(&format!("/config/parts/{digest}")).await })
    }

    fn hosts(&self) -> ReadFuture<'_, Vec<u8>> {
        Box::pin(self.value("/hosts"))
    }

    fn registrations(&self, _extent: ReadExtent) -> ReadFuture<'_, Registrations> {
        Box::pin(async {
            Err(PublishedError::Absent {
                what: "registrations",
            })
        })
    }
}

async fn read_value(
    response: Response<Incoming>,
) -> Result<Option<PublishedValue>, PublishedError> {
    let status = response.status().as_u16();
    let tag = response
        .headers()
        .get("etag")
        .and_then(|tag| tag.to_str().ok());
    let tag = tag.unwrap_or_default().to_owned();
    match status {
        200 => {
            let body = Limited::new(response.into_body(), MAX_VALUE_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|_| PublishedError::TooLarge {
                limit: MAX_VALUE_BYTES,
            })?;
            Ok(Some(PublishedValue {
                bytes: body.to_bytes().to_vec(),
                tag,
                as_of: None,
            }))
        }
        304 => Ok(None),
        _ => Err(PublishedError::Status { status }),
    }
}

fn call_error(cause: &impl ToString) -> PublishedError {
    PublishedError::Call {
        cause: cause.to_string(),
    }
}
