//! Detects a response whose head was put together from two: an upstream cut off a copy of an earlier response
//! inside its head, and the next response followed on the connection.

use hyper::{
    ext::ReasonPhrase,
    header::{HeaderMap, HeaderValue},
    http::Extensions,
};

/// Start of a status line, up to its minor version.
const VERSION: &[u8] = b"HTTP/1.";
/// Length of a status line up to its status.
const STATUS_LINE_BYTES: usize = VERSION.len() + 5;

/// Whether the head contains the status line of another response. The cut can only be in the reason phrase or in
/// a header's value; anywhere else, the head is malformed.
pub(crate) fn is_spliced(headers: &HeaderMap, extensions: &Extensions) -> bool {
    let reason = extensions.get::<ReasonPhrase>();
    let values = headers.values().map(HeaderValue::as_bytes);
    values
        .chain(reason.map(ReasonPhrase::as_bytes))
        .any(has_status_line)
}

fn has_status_line(text: &[u8]) -> bool {
    text.windows(STATUS_LINE_BYTES).any(|line| {
        let rest = line.strip_prefix(VERSION);
        rest.is_some_and(|rest| {
            rest[0].is_ascii_digit() && rest[1] == b' ' && rest[2..].iter().all(u8::is_ascii_digit)
        })
    })
}
