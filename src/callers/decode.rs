//! Decoding of a caller's HTTP request to a typed call.

use {
    crate::{
        call::{Meta, Payload, Reason, Refusal},
        context::Context,
        edge::Incoming,
        keys::RequestId,
    },
    bytes::Bytes,
};

/// Header with the caller's timeout in milliseconds.
pub(super) const DEADLINE_HEADER: &str = "deadline-ms";
/// Header with the idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";

const MAX_KEY_BYTES: usize = 128;
const MAX_DEADLINE_MS: u64 = 600_000;

/// A decoded request: attributes, idempotency key (empty if absent) and payload.
#[derive(Debug)]
pub(super) struct Decoded {
    pub(super) meta: Meta,
    pub(super) key: Bytes,
    pub(super) payload: Payload,
}

/// Decodes the path `/SERVICE/KIND[/...]`, the deadline and the idempotency key.
pub(super) fn decode(
    context: &Context,
    id: RequestId,
    incoming: Incoming,
) -> Result<Decoded, Refusal> {
    let unknown = Refusal::not_run(Reason::UnknownKind);
    let (service, kind) = service_and_kind(incoming.path()).ok_or(unknown)?;
    let service = context.topology.service(service).ok_or(unknown)?;
    let kind = context.topology.kind(service, kind).ok_or(unknown)?;
    let row = context.topology.kind_row(kind);
    let key = incoming.header(KEY_HEADER).cloned().unwrap_or_default();
    if row.at_most_once && (key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(Refusal::not_run(Reason::KeyMissing));
    }
    let timeout_ms = match incoming.header(DEADLINE_HEADER) {
        Some(stated) => parse_number(stated).ok_or(Refusal::not_run(Reason::Malformed))?,
        None => row.deadline_ms,
    };
    let timeout_ms = timeout_ms.min(MAX_DEADLINE_MS);
    let meta = Meta {
        id,
        service,
        kind,
        origin: context.zone,
        target: context.zone,
        deadline: context.clock.now().plus_millis(timeout_ms),
        hops: 0,
    };
    let payload = Payload {
        method: incoming.method,
        target: incoming.target,
        headers: incoming.headers,
        body: incoming.body,
    };
    Ok(Decoded { meta, key, payload })
}

fn service_and_kind(path: &[u8]) -> Option<(&str, &str)> {
    let path = std::str::from_utf8(path).ok()?;
    let mut segments = path.strip_prefix('/')?.split('/');
    let service = segments.next()?;
    let kind = segments.next()?;
    Some((service, kind))
}

fn parse_number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
