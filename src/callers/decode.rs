//! A caller's HTTP request as a typed call.

use {
    crate::{
        call::{Meta, Payload, Reason, Refusal},
        context::Context,
        edge::Incoming,
        keys::RequestId,
    },
    bytes::Bytes,
};

/// Header with the milliseconds that the caller waits.
pub(super) const DEADLINE_HEADER: &str = "deadline-ms";
/// Header with the idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";

const LONGEST_KEY_BYTES: usize = 128;
const LONGEST_DEADLINE_MS: u64 = 600_000;

/// What a request says.
#[derive(Debug)]
pub(super) struct Decoded {
    pub(super) meta: Meta,
    pub(super) key: Bytes,
    pub(super) payload: Payload,
}

/// Reads `/SERVICE/KIND[/...]`, the deadline and the idempotency key.
pub(super) fn decode(
    context: &Context,
    id: RequestId,
    incoming: Incoming,
) -> Result<Decoded, Refusal> {
    let unknown = Refusal::not_run(Reason::UnknownKind);
    let (service, kind) = names(incoming.path()).ok_or(unknown)?;
    let service = context.topology.service(service).ok_or(unknown)?;
    let kind = context.topology.kind(service, kind).ok_or(unknown)?;
    let row = context.topology.kind_row(kind);
    let key = incoming.header(KEY_HEADER).cloned().unwrap_or_default();
    if row.once && (key.is_empty() || key.len() > LONGEST_KEY_BYTES) {
        return Err(Refusal::not_run(Reason::KeyMissing));
    }
    let limit = match incoming.header(DEADLINE_HEADER) {
        Some(stated) => number(stated).ok_or(Refusal::not_run(Reason::Malformed))?,
        None => row.deadline_ms,
    };
    let limit = limit.min(LONGEST_DEADLINE_MS);
    let meta = Meta {
        id,
        service,
        kind,
        origin: context.zone,
        target: context.zone,
        deadline: context.clock.now().plus_millis(limit),
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

fn names(path: &[u8]) -> Option<(&str, &str)> {
    let path = std::str::from_utf8(path).ok()?;
    let mut segments = path.strip_prefix('/')?.split('/');
    let service = segments.next()?;
    let kind = segments.next()?;
    Some((service, kind))
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.parse().ok()
}
