//! Encoding of outcomes and rankings as HTTP responses.

use {
    crate::{
        call::{Header, Outcome, Ran, Reason, Refusal},
        context::Context,
        edge::Outgoing,
        keys::RequestId,
        lookup::Ranking,
    },
    bytes::Bytes,
    serde_json::json,
};

/// Returns the HTTP status of a refusal.
///
/// ```
/// use siskinstep::{call::Reason, callers};
/// assert_eq!(callers::status_of(Reason::NoSlot), 503);
/// ```
#[must_use]
pub const fn status_of(reason: Reason) -> u16 {
    match reason {
        Reason::KeyMissing | Reason::Malformed => 400,
        Reason::Unauthorized => 401,
        Reason::UnknownKind => 404,
        Reason::InProgress | Reason::MayHaveRun => 409,
        Reason::TooLarge => 413,
        Reason::OverLimit => 429,
        Reason::KeyReused | Reason::Poisoned => 422,
        Reason::AnswerCut | Reason::AnswerTooLarge | Reason::AnswerMismatch => 502,
        Reason::DeadlineExceeded | Reason::AnswerTimeout => 504,
        Reason::RingFull
        | Reason::Stopping
        | Reason::NoUpstream
        | Reason::NoSlot
        | Reason::Shed
        | Reason::ConnectFailed
        | Reason::UpstreamRefused
        | Reason::ClaimUnavailable
        | Reason::RetryBudget
        | Reason::PeerUnreachable
        | Reason::Cancelled
        | Reason::NotJoined
        | Reason::IdentityUnknown
        | Reason::LimitUnknown
        | Reason::UpstreamHeld => 503,
    }
}

/// Encodes an outcome as an HTTP response; counts refusals in the metrics.
#[must_use]
pub fn encode_outcome(context: &Context, id: RequestId, outcome: Outcome) -> Outgoing {
    match outcome {
        Ok(response) => {
            let mut headers = response.headers;
            headers.push(request_header(context, id));
            Outgoing {
                status: response.status,
                headers,
                body: response.body,
            }
        }
        Err(refusal) => encode_refusal(context, id, refusal),
    }
}

fn encode_refusal(context: &Context, id: RequestId, refusal: Refusal) -> Outgoing {
    context.metrics.count_refusal(refusal.reason, refusal.ran);
    let status = status_of(refusal.reason);
    let ran = match refusal.ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    };
    let body = json!({
        "type": "about:blank",
        "title": refusal.reason.name(),
        "status": status,
        "reason": refusal.reason.name(),
        "ran": ran,
        "retry_ms": refusal.retry_ms,
        "request": request_name(context, id),
    });
    let mut outgoing = Outgoing::new(status, "application/problem+json", body.to_string());
    outgoing.headers.push(request_header(context, id));
    outgoing.headers.push(Header {
        name: Bytes::from_static(b"retry-after"),
        value: Bytes::from(refusal.retry_ms.div_ceil(1_000).to_string()),
    });
    outgoing
}

/// Encodes a ranking as JSON.
pub(super) fn encode_ranking(context: &Context, ranking: &Ranking) -> Bytes {
    let rows = ranking.rows.iter().map(|row| {
        json!({
            "vm": row.vm,
            "availability_zone": context.topology.zones[usize::from(row.zone.0)].name,
            "address": row.address,
            "weight": row.weight,
        })
    });
    let rows: Vec<serde_json::Value> = rows.collect();
    Bytes::from(
        json!({"version": ranking.version, "ttl_ms": ranking.ttl_ms, "vms": rows}).to_string(),
    )
}

fn request_header(context: &Context, id: RequestId) -> Header {
    Header {
        name: Bytes::from_static(b"siskinstep-request"),
        value: Bytes::from(request_name(context, id)),
    }
}

/// Returns the name of a request in responses and logs: VM, incarnation and id.
#[must_use]
pub fn request_name(context: &Context, id: RequestId) -> String {
    format!("{}-{:x}-{:x}", context.vm, context.incarnation, id.0)
}
