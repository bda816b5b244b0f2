//! Receives forwarded requests and runs them as calls on this VM.

use {
    super::{encode, messages::Forwarded},
    crate::{
        call::{Call, Outcome, Reason, Refusal},
        cancel,
        context::Context,
        edge::Outgoing,
        keys::RequestId,
        membership::Lease,
        ring::{Rejected, Sender},
        shift, slots,
    },
    std::sync::atomic::{AtomicU64, Ordering},
    tokio::sync::oneshot,
};

/// Next id of a forwarded request. The top bit is set, so that ids differ from those of callers.
static NEXT_ID: AtomicU64 = AtomicU64::new(1 << 63);

/// Runs a forwarded request on this VM and responds with its outcome.
pub async fn receive(
    context: &Context,
    lease: &Lease,
    slots: &Sender<slots::Message>,
    shift: &Sender<shift::Message>,
    body: &[u8],
) -> Outgoing {
    let Ok(forwarded) = postcard::from_bytes::<Forwarded>(body) else {
        return Outgoing::refusal(400, "malformed");
    };
    let _guard = context.track_request();
    let outcome = if lease.is_valid(context.clock.now()) {
        run(context, slots, shift, forwarded).await
    } else {
        Err(Refusal::not_run(Reason::NotJoined))
    };
    context.metrics.count("forwarded_in", 1);
    match encode::outcome(&outcome) {
        Ok(bytes) => Outgoing::new(200, "application/octet-stream", bytes),
        // Without an outcome, the sender must assume that the request may have run.
        Err(_) => Outgoing::refusal(500, "unencodable"),
    }
}

async fn run(
    context: &Context,
    slots: &Sender<slots::Message>,
    shift: &Sender<shift::Message>,
    forwarded: Forwarded,
) -> Outcome {
    if context.is_stopping() {
        return Err(Refusal::not_run(Reason::Stopping));
    }
    let id = RequestId(NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let meta = encode::meta(context, id, context.clock.now(), &forwarded);
    let meta = meta.ok_or(Refusal::not_run(Reason::UnknownKind))?;
    if meta.origin != context.zone {
        let (service, zone) = (meta.service, meta.origin);
        // If the ring is full, the arrival is not recorded: its headroom stays reserved until the
        // grant expires.
        let _ = shift.offer(shift::Message::Arrived { service, zone });
    }
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |outcome| drop(tx.send(outcome)));
    let mut call = Call::new(meta, forwarded.key, forwarded.payload, reply);
    // Dropped with this future when the peer closes the connection because the caller disconnected.
    let (_guard, cancel) = cancel::channel();
    if !context.topology.kind_row(meta.kind).at_most_once {
        call = call.with_cancel(cancel);
    }
    if let Err(Rejected::Full(slots::Message::Place(call))) =
        slots.offer(slots::Message::Place(call))
    {
        call.finish(Err(Refusal::not_run(Reason::RingFull)));
    }
    rx.await.unwrap_or(Err(Refusal::unknown(Reason::Stopping)))
}
