//! Requests that crash upstreams: `GET /poison` lists them, `POST /poison/lift` ends their refusal.

use {
    crate::{
        edge::{Incoming, Outgoing},
        ledger::Fingerprint,
        poison::{ChargedRequest, Lift, Message},
        ring::Sender,
    },
    serde_json::{Value, json},
    tokio::sync::oneshot,
};

/// Lists all requests that are charged with the loss of upstreams.
pub(super) async fn list(poison: Option<&Sender<Message>>) -> Outgoing {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |rows| drop(tx.send(rows)));
    let sent = poison.is_some_and(|ring| ring.offer(Message::Read(reply)).is_ok());
    let rows: Vec<ChargedRequest> = match rx.await {
        Ok(rows) if sent => rows,
        _ => return Outgoing::refusal(503, "unavailable"),
    };
    let rows: Vec<Value> = rows.iter().map(row).collect();
    Outgoing::new(
        200,
        "application/json",
        json!({"requests": rows}).to_string(),
    )
}

/// Lifts the charges of the request whose fingerprint is the body, or of all if the body is empty.
pub(super) fn lift(poison: Option<&Sender<Message>>, incoming: &Incoming) -> Outgoing {
    let Some(lift) = parse_lift(&incoming.body) else {
        return Outgoing::refusal(
            400,
            "expected a fingerprint of 32 hexadecimal digits, or an empty body",
        );
    };
    let notify_peers = true;
    let message = Message::Lift { lift, notify_peers };
    if poison.is_some_and(|ring| ring.offer(message).is_ok()) {
        return Outgoing::new(200, "application/json", "{}");
    }
    Outgoing::refusal(503, "unavailable")
}

/// Parses 32 hexadecimal digits; an empty body means all requests.
fn parse_lift(body: &[u8]) -> Option<Lift> {
    let text = std::str::from_utf8(body).ok()?.trim();
    if text.is_empty() {
        return Some(Lift::default());
    }
    Some(Lift {
        fingerprint: Some(Fingerprint::parse(text)?),
        ..Lift::default()
    })
}

fn row(request: &ChargedRequest) -> Value {
    json!({
        "print": request.fingerprint.hex(),
        "upstreams": request.upstreams,
        "poisoned": request.poisoned,
        "left_ms": request.left_ms,
    })
}
