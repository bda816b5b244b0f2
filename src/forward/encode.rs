//! Encoding of forwarded requests and their outcomes.

use {
    super::messages::Forwarded,
    crate::{
        call::{Call, Meta, Outcome},
        clock::Micros,
        context::Context,
        keys::{RequestId, ZoneKey},
    },
    std::time::Duration,
};

/// Encodes a request with `left` until its deadline.
pub(super) fn request(
    context: &Context,
    call: &Call,
    left: Duration,
) -> Result<Vec<u8>, postcard::Error> {
    let topology = &context.topology;
    let forwarded = Forwarded {
        service: topology.services[usize::from(call.meta.service.0)]
            .name
            .clone(),
        kind: topology.kind_row(call.meta.kind).name.clone(),
        origin: topology.zones[usize::from(call.meta.origin.0)].name.clone(),
        left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        hops: call.meta.hops.saturating_add(1),
        key: call.key.clone(),
        payload: call.payload.clone(),
    };
    postcard::to_stdvec(&forwarded)
}

/// Resolves the names of a received request; `None` if this VM does not know the service or kind.
pub(super) fn meta(
    context: &Context,
    id: RequestId,
    now: Micros,
    forwarded: &Forwarded,
) -> Option<Meta> {
    let service = context.topology.service(&forwarded.service)?;
    let kind = context.topology.kind(service, &forwarded.kind)?;
    Some(Meta {
        id,
        service,
        kind,
        origin: context
            .topology
            .zone(&forwarded.origin)
            .unwrap_or(ZoneKey(0)),
        target: context.zone,
        deadline: now.plus_millis(forwarded.left_ms),
        hops: forwarded.hops,
    })
}

/// Encodes an outcome.
pub(super) fn outcome(outcome: &Outcome) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(outcome)
}

/// Decodes an outcome; `None` if the bytes are invalid.
pub(super) fn read_outcome(bytes: &[u8]) -> Option<Outcome> {
    postcard::from_bytes(bytes).ok()
}
