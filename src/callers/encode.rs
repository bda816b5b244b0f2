//! Outcomes and rankings as HTTP answers.

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

/// The HTTP status of a refusal.
///
/// ```
/// use siskinstep::{call::Reason, callers};
/// assert_eq!(callers::status_of(Reason::NoSlot), 503);
/// ```
#[must_use]
pub const fn status_of(reason: Reason) -> u16 {
    match reason {
        Reason::KeyMissing | Reason::Malformed => 400,
        Reason::UnknownKind => 404,
        Reason::InProgress | Reason::MayHaveRun => 409,
        Reason::TooLarge => 413,
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
        | Reason::NotJoined => 503,
    }
}

/// An outcome as an HTTP answer.
#[must_use]
pub fn encode_outcome(context: &Context, id: RequestId, outcome: Outcome) -> Outgoing {
    match outcome {
        Ok(answer) => {
            let mut headers = answer.headers;
            headers.push(identity(context, id));
            Outgoing {
                status: answer.status,
                headers,
                body: answer.body,
            }
        }
        Err(refusal) => encode_refusal(context, id, refusal),
    }
}

fn encode_refusal(context: &Context, id: RequestId, refusal: Refusal) -> Outgoing {
    context.metrics.refuse(refusal.reason, refusal.ran);
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
    outgoing.headers.push(identity(context, id));
    outgoing.headers.push(Header {
        name: Bytes::from_static(b"retry-after"),
        value: Bytes::from(refusal.retry_ms.div_ceil(1_000).to_string()),
    });
    outgoing
}

/// A ranking as JSON.
pub(super) fn encode_table(context: &Context, table: &Ranking) -> Bytes {
    let rows = table.rows.iter().map(|row| {
        json!({
            "vm": row.vm,
            "availability_zone": context.topology.zones[usize::from(row.zone.0)].name,
            "address": row.address,
            "weight": row.weight,
        })
    });
    let rows: Vec<serde_json::Value> = rows.collect();
    Bytes::from(json!({"version": table.version, "ttl_ms": table.ttl_ms, "vms": rows}).to_string())
}

fn identity(context: &Context, id: RequestId) -> Header {
    Header {
        name: Bytes::from_static(b"siskinstep-request"),
        value: Bytes::from(request_name(context, id)),
    }
}

/// The name of a request in answers and logs: VM, incarnation, id.
#[must_use]
pub fn request_name(context: &Context, id: RequestId) -> String {
    format!("{}-{:x}-{:x}", context.vm, context.incarnation, id.0)
}
