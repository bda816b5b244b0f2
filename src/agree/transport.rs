//! Transport of messages between replicas: one JSON-RPC call each, whose result may be a message
//! too.

use {
    super::{
        messages::Message,
        outbox::Outbox,
        wire::{Body, Content, Envelope},
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client, rpc},
        ring::Sender,
        sorted::Sorted,
    },
    base64::{Engine, prelude::BASE64_STANDARD},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::sync::{Notify, mpsc, oneshot},
};

const METHOD: &str = "agree.step";
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const SEND_QUEUE_MESSAGES: usize = 256;

/// A message to the peer at an address.
#[derive(Debug)]
pub struct Packet {
    /// Its listener for peers.
    pub to: SocketAddr,
    /// The message.
    pub envelope: Envelope,
}

/// Bounded channel for messages to peers. If it is full, the agree duty drops the message and does
/// not wait.
pub type PacketSender = mpsc::Sender<Packet>;

/// First character of an envelope that versions without compressed orders must not read.
const PACKED_MARK: char = '=';

/// An envelope in postcard encoding, as hexadecimal digits; one with compressed orders as base64 after a mark.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EncodedEnvelope {
    envelope: String,
}

/// Starts the thread that sends messages, which exits when the channel closes.
///
/// # Errors
/// Returns an error if the thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    secret: Secret,
    ring: Sender<Message>,
) -> io::Result<(PacketSender, JoinHandle<()>)> {
    let (sender, packets) = mpsc::channel(SEND_QUEUE_MESSAGES);
    let run = move || dispatch(context, secret, ring, packets);
    let thread = duty::spawn_local("agree-peers", run)?;
    Ok((sender, thread))
}

/// Forwards each packet to the queue of its address.
async fn dispatch(
    context: Context,
    secret: Secret,
    ring: Sender<Message>,
    mut packets: mpsc::Receiver<Packet>,
) {
    let mut peers: Sorted<SocketAddr, Rc<Peer>> = Sorted::default();
    while let Some(Packet { to, envelope }) = packets.recv().await {
        if peers.get(&to).is_none() {
            let Ok(client) = Client::new(to, &secret, CALL_TIMEOUT) else {
                continue;
            };
            let peer = Rc::new(Peer::default());
            let (context, ring) = (context.clone(), ring.clone());
            tokio::task::spawn_local(run_peer(context, client, ring, Rc::clone(&peer)));
            peers.insert(to, peer);
        }
        let is_queued = peers.get(&to).is_some_and(|peer| {
            let is_queued = peer.outbox.borrow_mut().push(envelope);
            peer.added.notify_one();
            is_queued
        });
        if !is_queued {
            context.metrics.count("peer_messages_dropped", 1);
        }
    }
}

/// The messages for one peer, shared by the tasks that add and send them.
#[derive(Default)]
struct Peer {
    outbox: RefCell<Outbox>,
    added: Notify,
}

/// Sends the messages to one peer, one call at a time. Ends with the thread's runtime.
async fn run_peer(context: Context, client: Client, ring: Sender<Message>, peer: Rc<Peer>) {
    loop {
        let next = peer.outbox.borrow_mut().pop();
        let Some(envelope) = next else {
            peer.added.notified().await;
            continue;
        };
        let Some(envelope) = encode(&envelope) else {
            continue;
        };
        let encoded = EncodedEnvelope { envelope };
        match client
            .call::<Option<EncodedEnvelope>>(METHOD, &encoded)
            .await
        {
            Ok(reply) => deliver(&ring, reply),
            Err(_) => context.metrics.count("peer_calls_failed", 1),
        }
    }
}

fn deliver(ring: &Sender<Message>, reply: Option<EncodedEnvelope>) {
    let Some(envelope) = reply.and_then(|encoded| decode(&encoded.envelope)) else {
        return;
    };
    // With a full ring the message is lost, and the protocol sends it again.
    let _ = ring.offer(Message::Peer {
        envelope,
        reply: None,
    });
}

/// Adds the method to the module of a peer listener.
///
/// # Errors
/// Returns an error if the module has the method already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    ring: Sender<Message>,
) -> Result<(), RegisterMethodError> {
    module.register_async_method(METHOD, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let encoded: EncodedEnvelope = rpc::params(&params)?;
            handle_call(&ring, &encoded).await
        }
    })?;
    Ok(())
}

async fn handle_call(
    ring: &Sender<Message>,
    encoded: &EncodedEnvelope,
) -> Result<Option<EncodedEnvelope>, ErrorObjectOwned> {
    let Some(envelope) = decode(&encoded.envelope) else {
        let text = "envelope: expected a message of this version";
        return Err(rpc::error(rpc::INVALID_PARAMS, text, ()));
    };
    let (tx, rx) = oneshot::channel();
    let callback = Box::new(move |reply| drop(tx.send(reply)));
    let message = Message::Peer {
        envelope,
        reply: Some(callback),
    };
    if ring.offer(message).is_err() {
        return Err(rpc::error(rpc::UNAVAILABLE, "busy", ()));
    }
    let reply: Option<Envelope> = rx.await.ok().flatten();
    Ok(reply
        .and_then(|envelope| encode(&envelope))
        .map(|envelope| EncodedEnvelope { envelope }))
}

pub(super) fn encode(envelope: &Envelope) -> Option<String> {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let bytes = postcard::to_stdvec(envelope).ok()?;
    if has_packed_orders(envelope) {
        let mut text = String::from(PACKED_MARK);
        BASE64_STANDARD.encode_string(bytes, &mut text);
        return Some(text);
    }
    let digit = |value: u8| char::from(DIGITS[usize::from(value)]);
    let pairs = bytes
        .iter()
        .flat_map(|byte| [digit(byte >> 4), digit(byte & 15)]);
    let mut text = String::with_capacity(2 * bytes.len());
    text.extend(pairs);
    Some(text)
}

fn has_packed_orders(envelope: &Envelope) -> bool {
    let Body::Append { entries, .. } = &envelope.body else {
        return false;
    };
    entries.iter().any(|row| Content::is_packed(&row.content))
}

fn value(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

pub(super) fn decode(text: &str) -> Option<Envelope> {
    if let Some(text) = text.strip_prefix(PACKED_MARK) {
        let bytes = BASE64_STANDARD.decode(text).ok()?;
        return postcard::from_bytes(&bytes).ok();
    }
    let byte = |pair: &[u8]| match pair {
        [high, low] => Some(value(*high)? << 4 | value(*low)?),
        _ => None,
    };
    let bytes: Option<Vec<u8>> = text.as_bytes().chunks(2).map(byte).collect();
    postcard::from_bytes(&bytes?).ok()
}
