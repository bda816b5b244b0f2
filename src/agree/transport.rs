//! Messages between replicas: one JSON-RPC call each, whose answer may be a message too.

use {
    super::{messages::Message, wire::Envelope},
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client, rpc},
        ring::Sender,
        sorted::Sorted,
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    std::{fmt::Write, io, net::SocketAddr, thread::JoinHandle, time::Duration},
    tokio::sync::{mpsc, oneshot},
};

const METHOD: &str = "agree.step";
const CALL_LIMIT: Duration = Duration::from_millis(800);
/// Messages that wait for one peer; more are dropped and sent again by the protocol.
const LANE: usize = 16;
const OUTBOX: usize = 256;

/// A message to the peer at an address.
#[derive(Debug)]
pub struct Packet {
    /// Its listener for peers.
    pub to: SocketAddr,
    /// What it says.
    pub envelope: Envelope,
}

/// Takes messages to peers without waiting.
pub type Outbox = mpsc::Sender<Packet>;

/// Hexadecimal digits of an envelope in postcard encoding.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Step {
    envelope: String,
}

/// Starts the thread that sends messages; it ends when the outbox closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    secret: Secret,
    ring: Sender<Message>,
) -> io::Result<(Outbox, JoinHandle<()>)> {
    let (outbox, packets) = mpsc::channel(OUTBOX);
    let run = move || sort(context, secret, ring, packets);
    let thread = duty::spawn_local("agree-peers", run)?;
    Ok((outbox, thread))
}

/// Hands each packet to the lane of its address.
async fn sort(
    context: Context,
    secret: Secret,
    ring: Sender<Message>,
    mut packets: mpsc::Receiver<Packet>,
) {
    let mut lanes: Sorted<SocketAddr, mpsc::Sender<Envelope>> = Sorted::default();
    while let Some(Packet { to, envelope }) = packets.recv().await {
        if lanes.get(&to).is_none() {
            let Ok(client) = Client::new(to, &secret, CALL_LIMIT) else {
                continue;
            };
            let (lane, waiting) = mpsc::channel(LANE);
            tokio::task::spawn_local(carry(context.clone(), client, ring.clone(), waiting));
            lanes.insert(to, lane);
        }
        let lane = lanes.get(&to);
        if lane.is_none_or(|lane| lane.try_send(envelope).is_err()) {
            context.metrics.count("peer_messages_dropped", 1);
        }
    }
}

/// Calls one peer, one message at a time.
async fn carry(
    context: Context,
    client: Client,
    ring: Sender<Message>,
    mut waiting: mpsc::Receiver<Envelope>,
) {
    while let Some(envelope) = waiting.recv().await {
        let Some(envelope) = encode(&envelope) else {
            continue;
        };
        let step = Step { envelope };
        match client.call::<Option<Step>>(METHOD, &step).await {
            Ok(answer) => deliver(&ring, answer),
            Err(_) => context.metrics.count("peer_calls_failed", 1),
        }
    }
}

fn deliver(ring: &Sender<Message>, answer: Option<Step>) {
    let Some(envelope) = answer.and_then(|step| decode(&step.envelope)) else {
        return;
    };
    // A full ring loses a message, which the protocol sends again.
    let _ = ring.offer(Message::Peer {
        envelope,
        reply: None,
    });
}

/// Adds the method to a peer listener's module.
///
/// # Errors
/// The method is there already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    ring: Sender<Message>,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(METHOD, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let step: Step = rpc::params(&params)?;
            answer(&ring, &step).await
        }
    })?;
    Ok(())
}

async fn answer(ring: &Sender<Message>, step: &Step) -> Result<Option<Step>, ErrorObjectOwned> {
    let Some(envelope) = decode(&step.envelope) else {
        let text = "envelope: expected a message of this version";
        return Err(rpc::error(rpc::INVALID_PARAMS, text, ()));
    };
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |answer| drop(tx.send(answer)));
    let message = Message::Peer {
        envelope,
        reply: Some(reply),
    };
    if ring.offer(message).is_err() {
        return Err(rpc::error(rpc::UNAVAILABLE, "busy", ()));
    }
    let answer: Option<Envelope> = rx.await.ok().flatten();
    Ok(answer
        .and_then(|envelope| encode(&envelope))
        .map(|envelope| Step { envelope }))
}

fn encode(envelope: &Envelope) -> Option<String> {
    let bytes = postcard::to_stdvec(envelope).ok()?;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").ok()?;
    }
    Some(text)
}

fn decode(text: &str) -> Option<Envelope> {
    let digits = text.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    let bytes: Option<Vec<u8>> = digits.chunks(2).map(byte).collect();
    postcard::from_bytes(&bytes?).ok()
}
