//! Encodes calls as HTTP requests and decodes headers of responses.

use {
    super::{
        attempt::{Resources, Target},
        messages::Failure,
    },
    crate::call::{Call, Header, Ran, Reason},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Request,
        header::{CONNECTION, HOST, HeaderMap, HeaderName, HeaderValue},
    },
    std::time::Duration,
};

/// Response header by which an upstream reports, with the value `no`, that it did not run a
/// request.
pub const RAN_HEADER: &str = "siskinstep-ran";
/// Request header that identifies the lease under which a request is sent.
pub const HOLDER_HEADER: &str = "siskinstep-holder";
/// Request header that names the request; an upstream may return it in the response.
pub const REQUEST_HEADER: &str = "siskinstep-request";
/// Request header with the milliseconds that remain until the deadline.
pub const DEADLINE_HEADER: &str = "deadline-ms";

/// Headers that apply to one connection or that the relay sets itself, in ascending order for the
/// binary search.
const NOT_RELAYED: [&str; 14] = [
    "connection",
    "content-length",
    "deadline-ms",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "siskinstep-holder",
    "siskinstep-ran",
    "siskinstep-request",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Name of the request that upstreams see, unique across VMs and their restarts.
pub(super) fn request_name(resources: &Resources, call: &Call) -> String {
    let context = &resources.context;
    format!(
        "{}-{:x}-{:x}",
        context.vm, context.incarnation, call.meta.id.0
    )
}

/// Encodes the request for the upstream, with `remaining` until its deadline.
///
/// # Errors
/// `UnknownKind` if the method, the target or a header value that the relay sets is malformed.
pub(super) fn request(
    resources: &Resources,
    call: &Call,
    target: &Target,
    remaining: Duration,
) -> Result<Request<Full<Bytes>>, Failure> {
    let malformed = || Failure {
        reason: Reason::UnknownKind,
        ran: Ran::No,
    };
    let method = Method::from_bytes(&call.payload.method).map_err(|_| malformed())?;
    let uri = std::str::from_utf8(&call.payload.target).map_err(|_| malformed())?;
    let request = Request::builder().method(method).uri(uri);
    let mut request = request
        .body(Full::new(call.payload.body.clone()))
        .map_err(|_| malformed())?;
    let headers = request.headers_mut();
    for header in call
        .payload
        .headers
        .iter()
        .filter(|header| is_relayed(&header.name))
    {
        let name = HeaderName::from_bytes(&header.name);
        let value = HeaderValue::from_maybe_shared(header.value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    let added = [
        (HOST.as_str(), target.address.to_string()),
        (HOLDER_HEADER, target.holder.to_string()),
        (REQUEST_HEADER, request_name(resources, call)),
    ];
    for (name, value) in added {
        let value = HeaderValue::from_str(&value).map_err(|_| malformed())?;
        headers.insert(HeaderName::from_static(name), value);
    }
    let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining));
    Ok(request)
}

/// Whether a header of this lower-case name is forwarded with the request or response.
pub(super) fn is_relayed(name: &[u8]) -> bool {
    NOT_RELAYED
        .binary_search_by(|other| other.as_bytes().cmp(name))
        .is_err()
}

/// Headers of a message that are forwarded: all but those that apply to one connection, including
/// the ones listed in `connection`.
pub(crate) fn relayed_headers(headers: &HeaderMap) -> Vec<Header> {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |name: &HeaderName| {
        is_relayed(name.as_str().as_bytes()) && !listed.iter().any(|other| other == name.as_str())
    };
    let rows = headers.iter().filter(|(name, _)| is_forwarded(name));
    rows.map(header).collect()
}

/// Copies a header into the representation used by calls.
pub(super) fn header((name, value): (&HeaderName, &HeaderValue)) -> Header {
    Header {
        name: Bytes::copy_from_slice(name.as_str().as_bytes()),
        value: Bytes::copy_from_slice(value.as_bytes()),
    }
}
