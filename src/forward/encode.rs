//! Forwarded requests and their outcomes as bytes.

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

/// The request as bytes.
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

/// What the decisions need to know of a received request; `None` if a name is not known here.
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

/// The outcome as bytes.
pub(super) fn outcome(outcome: &Outcome) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(outcome)
}

/// The outcome that a peer sent.
pub(super) fn read_outcome(bytes: &[u8]) -> Option<Outcome> {
    postcard::from_bytes(bytes).ok()
}
