//! Decisions about one request, as JSON.

use {
    crate::{
        callers,
        context::Context,
        edge::Outgoing,
        explain::{Message, Note, Step},
        keys::RequestId,
    },
    serde_json::{Value, json},
    tokio::sync::oneshot,
};

/// Responds with the decisions about the request `name`, oldest first. Only requests that entered
/// the system on this VM in its current incarnation are known.
pub(super) async fn serve(context: &Context, name: &[u8]) -> Outgoing {
    let unknown = || Outgoing::refusal(404, "unknown_request");
    let Some(request) = parse_name(context, name) else {
        return unknown();
    };
    let Some(ring) = &context.notes else {
        return unknown();
    };
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |notes| drop(tx.send(notes)));
    if ring.offer(Message::Read { request, reply }).is_err() {
        return Outgoing::refusal(503, "ring_full");
    }
    let notes = rx.await.unwrap_or_default();
    let Some(first) = notes.first() else {
        return unknown();
    };
    let rows: Vec<Value> = notes.iter().map(|note| row(context, first, note)).collect();
    Outgoing::new(200, "application/json", Value::from(rows).to_string())
}

/// Parses a request name, as returned to callers in the header `siskinstep-request`.
fn parse_name(context: &Context, name: &[u8]) -> Option<RequestId> {
    let name = std::str::from_utf8(name).ok()?;
    let id = u64::from_str_radix(name.rsplit('-').next()?, 16).ok()?;
    let request = RequestId(id);
    (callers::request_name(context, request) == name).then_some(request)
}

fn row(context: &Context, first: &Note, note: &Note) -> Value {
    let elapsed_us = note.at.since(first.at).as_micros();
    let elapsed_us = u64::try_from(elapsed_us).unwrap_or(u64::MAX);
    json!({"after_us": elapsed_us, "step": step(context, note.step)})
}

fn step(context: &Context, step: Step) -> Value {
    match step {
        Step::Entered { kind, version } => {
            let kind = &context.topology.kind_row(kind).name;
            json!({"entered": {"kind": kind, "version": version}})
        }
        Step::Shifted { target } => {
            let zone = &context.topology.zones[usize::from(target.0)].name;
            json!({"shifted": {"availability_zone": zone}})
        }
        Step::Dispatched { address, attempt } => {
            json!({"dispatched": {"upstream": address, "attempt": attempt}})
        }
        Step::Forwarded { address } => json!({"forwarded": {"peer": address}}),
        Step::Failed { reason, ran } => json!({"failed": {"reason": reason, "ran": ran}}),
        Step::Answered { status } => json!({"answered": {"status": status}}),
        Step::Refused { reason, ran } => json!({"refused": {"reason": reason, "ran": ran}}),
    }
}
