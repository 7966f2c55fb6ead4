//! HTTP calls over new or open connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use smol::Executor;
use smol::Timer;
use smol::future;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

/// A request and its timeout.
#[derive(Clone, Debug)]
pub struct HttpCall {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    timeout_ms: u64,
}

impl HttpCall {
    /// Create a call to `path` of `host` with a timeout of 30 seconds.
    #[must_use]
    pub fn new(method: &str, host: &str, path: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            headers: vec![("host".to_owned(), host.to_owned())],
            body: Bytes::new(),
            timeout_ms: 30_000,
        }
    }

    /// Add a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Set the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Set the timeout, in milliseconds.
    #[must_use]
    pub const fn timeout_ms(mut self, millis: u64) -> Self {
        self.timeout_ms = millis;
        self
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.as_str())
            .uri(self.path.as_str());
        for (name, value) in &self.headers {
            builder = builder.header(name.as_str(), value.as_str());
        }
        let body = Full::new(self.body.clone());
        builder
            .body(body)
            .expect("the method, path and headers are valid")
    }
}

/// The answer to a call, as far as it was received.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status code; zero without an answer.
    pub status: u16,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// Whether the body was received completely.
    pub body_complete: bool,
}

impl HttpAnswer {
    /// Return the value of the first header with this name, given in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Return the outcome header of the entry, or `none`.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.header("mustardtiller-outcome").unwrap_or("none")
    }

    /// Return the reason header of the entry, or an empty string.
    #[must_use]
    pub fn reason(&self) -> &str {
        self.header("mustardtiller-reason").unwrap_or("")
    }

    const fn no_answer() -> Self {
        Self {
            status: 0,
            headers: Vec::new(),
            body: Bytes::new(),
            body_complete: false,
        }
    }
}

/// Make a call on a new connection.
///
/// Without an answer within the timeout, the status is zero.
pub async fn http_call(
    executor: &Executor<'_>,
    address: SocketAddr,
    call: &HttpCall,
) -> HttpAnswer {
    let answer = async {
        let Some(mut sender) = open_connection(executor, address).await else {
            return HttpAnswer::no_answer();
        };
        call_on(&mut sender, call).await
    };
    let timeout = async {
        Timer::after(Duration::from_millis(call.timeout_ms)).await;
        HttpAnswer::no_answer()
    };
    future::or(answer, timeout).await
}

/// Open a connection that can carry several calls.
pub async fn open_connection(
    executor: &Executor<'_>,
    address: SocketAddr,
) -> Option<SendRequest<Full<Bytes>>> {
    let socket = TcpStream::connect(address).await.ok()?;
    let _ = socket.set_nodelay(true);
    let (sender, connection) = http1::handshake(FuturesIo::new(socket)).await.ok()?;
    let driver = async {
        let _ = connection.await;
    };
    executor.spawn(driver).detach();
    Some(sender)
}

/// Make a call on an open connection, without a timeout.
pub async fn call_on(sender: &mut SendRequest<Full<Bytes>>, call: &HttpCall) -> HttpAnswer {
    if sender.ready().await.is_err() {
        return HttpAnswer::no_answer();
    }
    let Ok(response) = sender.send_request(call.request()).await else {
        return HttpAnswer::no_answer();
    };
    let status = response.status().as_u16();
    let headers = response
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    let mut incoming = response.into_body();
    let mut body = Vec::new();
    let body_complete = loop {
        match incoming.frame().await {
            None => break true,
            Some(Err(_)) => break false,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    body.extend_from_slice(&bytes);
                }
            }
        }
    };
    HttpAnswer {
        status,
        headers,
        body: Bytes::from(body),
        body_complete,
    }
}
