//! Completely buffered requests and responses, and their HTTP encoding.

use {
    super::{
        held::{BodyError, Held},
        limits::Limits,
    },
    crate::call::Header,
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response, StatusCode,
        body::{Body as _, Incoming as Body},
        header::{HeaderName, HeaderValue},
    },
    std::time::Duration,
    tokio::time,
};

/// Bytes of a body above the limit that are read and discarded before the response is sent.
const MAX_DISCARDED_BYTES: usize = 16 << 20;

/// A request, with its complete body.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Method, such as `GET`.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

impl Incoming {
    /// Returns the value of the first header with that lower-case name.
    ///
    /// ```
    /// # use siskinstep::edge::Incoming;
    /// let request = Incoming { method: "GET".into(), target: "/".into(), headers: vec![],
    ///     body: Default::default() };
    /// assert!(request.header("deadline-ms").is_none());
    /// ```
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&Bytes> {
        let header = self.headers.iter().find(|header| header.name == name)?;
        Some(&header.value)
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        self.target
            .split(|byte| *byte == b'?')
            .next()
            .unwrap_or_default()
    }
}

/// A response, with its complete body.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

impl Outgoing {
    /// Builds a response with a content type.
    ///
    /// ```
    /// let response = siskinstep::edge::Outgoing::new(200, "text/plain", "hello");
    /// assert_eq!(response.status, 200);
    /// ```
    #[must_use]
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Self {
        let header = Header {
            name: Bytes::from_static(b"content-type"),
            value: Bytes::from_static(content_type.as_bytes()),
        };
        Self {
            status,
            headers: vec![header],
            body: body.into(),
        }
    }

    /// Builds a refusal by the edge itself, which states that the request did not run.
    #[must_use]
    pub fn refusal(status: u16, reason: &str) -> Self {
        let body =
            serde_json::json!({"title": reason, "status": status, "reason": reason, "ran": "no"});
        Self::new(status, "application/problem+json", body.to_string())
    }

    /// Adds `connection: close`, so that the peer does not reuse the connection.
    #[must_use]
    pub fn with_connection_close(mut self) -> Self {
        self.headers.push(Header {
            name: Bytes::from_static(b"connection"),
            value: Bytes::from_static(b"close"),
        });
        self
    }
}

/// Reads a complete request within the limits and while there is room in `memory`. The error is the response to send instead.
pub(super) async fn read(
    limits: &Limits,
    memory: &Held,
    request: Request<Body>,
) -> Result<Incoming, Outgoing> {
    let (head, body) = request.into_parts();
    let body = read_body(limits, memory, body).await?;
    let target = head
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    Ok(Incoming {
        method: Bytes::copy_from_slice(head.method.as_str().as_bytes()),
        target: Bytes::copy_from_slice(target.as_bytes()),
        headers: head.headers.iter().map(header).collect(),
        body,
    })
}

async fn read_body(limits: &Limits, memory: &Held, mut body: Body) -> Result<Bytes, Outgoing> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let timeout = Duration::from_millis(limits.body_ms);
    let collected = memory.collect(&mut body, limits.body_bytes);
    match time::timeout(timeout, collected).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(BodyError::TooLarge)) => {
            let _ = time::timeout(timeout, discard(&mut body)).await;
            Err(Outgoing::refusal(413, "too_large").with_connection_close())
        }
        Ok(Err(BodyError::Cut)) => Err(Outgoing::refusal(400, "malformed").with_connection_close()),
        Err(_) => Err(Outgoing::refusal(408, "body_timeout").with_connection_close()),
    }
}

/// Reads the rest of a body, up to a bound: a response that is sent before its caller has sent the body is lost if
/// the connection is reset for the bytes that nobody reads.
async fn discard(body: &mut Body) {
    let mut bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_DISCARDED_BYTES {
            return;
        }
    }
}

fn header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: Bytes::copy_from_slice(name.as_str().as_bytes()),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

/// Converts a response to its `hyper` form; an invalid status becomes 502, invalid headers are
/// dropped.
pub(super) fn encode(outgoing: Outgoing) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(outgoing.body));
    let status = StatusCode::from_u16(outgoing.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    for header in outgoing.headers {
        let name = HeaderName::from_bytes(&header.name);
        let value = HeaderValue::from_maybe_shared(header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
