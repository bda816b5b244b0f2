//! Requests and answers as whole values, and their HTTP encoding.

use {
    super::limits::Limits,
    crate::call::Header,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        Request, Response, StatusCode,
        body::Incoming as Body,
        header::{HeaderName, HeaderValue},
    },
    std::time::Duration,
    tokio::time,
};

/// A request, read to its last byte.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// Method, such as `GET`.
    pub method: Bytes,
    /// Path and query.
    pub target: Bytes,
    /// Headers in the order received.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

impl Incoming {
    /// The first header of that lower-case name.
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

    /// The path without its query.
    #[must_use]
    pub fn path(&self) -> &[u8] {
        self.target
            .split(|byte| *byte == b'?')
            .next()
            .unwrap_or_default()
    }
}

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<Header>,
    /// Whole body.
    pub body: Bytes,
}

impl Outgoing {
    /// An answer with a content type.
    ///
    /// ```
    /// let answer = siskinstep::edge::Outgoing::new(200, "text/plain", "hello");
    /// assert_eq!(answer.status, 200);
    /// ```
    #[must_use]
    pub fn new(status: u16, kind: &'static str, body: impl Into<Bytes>) -> Self {
        let header = Header {
            name: Bytes::from_static(b"content-type"),
            value: Bytes::from_static(kind.as_bytes()),
        };
        Self {
            status,
            headers: vec![header],
            body: body.into(),
        }
    }

    /// A plain refusal of the edge itself; nothing was run.
    #[must_use]
    pub fn refusal(status: u16, reason: &str) -> Self {
        let body =
            serde_json::json!({"title": reason, "status": status, "reason": reason, "ran": "no"});
        Self::new(status, "application/problem+json", body.to_string())
    }

    /// The same, after which the connection must not be used again.
    #[must_use]
    pub fn closing(mut self) -> Self {
        self.headers.push(Header {
            name: Bytes::from_static(b"connection"),
            value: Bytes::from_static(b"close"),
        });
        self
    }
}

/// Reads a request to its last byte, within the limits.
pub(super) async fn read(limits: &Limits, request: Request<Body>) -> Result<Incoming, Outgoing> {
    let (head, body) = request.into_parts();
    let body = read_body(limits, body).await?;
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

async fn read_body(limits: &Limits, body: Body) -> Result<Bytes, Outgoing> {
    let limit = Duration::from_millis(limits.body_ms);
    let collected = time::timeout(limit, Limited::new(body, limits.body_bytes).collect()).await;
    match collected {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Outgoing::refusal(413, "too_large").closing())
        }
        Ok(Err(_)) => Err(Outgoing::refusal(400, "malformed").closing()),
        Err(_) => Err(Outgoing::refusal(408, "body_timeout").closing()),
    }
}

fn header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: Bytes::copy_from_slice(name.as_str().as_bytes()),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}

/// The answer as hyper sends it.
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
