//! Client of the ledgers: sends batched orders from a single-threaded runtime.

use {
    super::{
        decide::LedgerReply,
        messages::{Broadcast, Message},
        settings::Settings,
        state::Phase,
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        keys::ClaimAttemptKey,
        ledger::{
            Order, Reply,
            serve::{APPLY, HexMessage},
        },
        ring::{AsyncReceiver, Sender},
    },
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc, oneshot},
        time,
    },
};

/// Maximum number of orders queued for one ledger.
const MAX_QUEUED: usize = 4_096;
/// Maximum number of orders in one call.
const MAX_BATCH: usize = 64;
/// Size of the stored responses in one call, in bytes, at which the batch is closed.
const MAX_BATCH_BYTES: usize = 256 << 10;
/// Maximum number of concurrent calls to one ledger.
const MAX_CONCURRENT_CALLS: usize = 4;
/// Maximum number of calls, including the first, for a settlement or release; claims are not
/// retried.
const MAX_CALLS_PER_ORDER: u32 = 5;
/// Time that a shutdown leaves for orders in flight.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(300);
const SHUTDOWN_POLL: Duration = Duration::from_millis(5);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

struct QueuedOrder {
    at: ClaimAttemptKey,
    phase: Phase,
    order: Order,
}

struct Peer {
    ledger: u8,
    client: Option<Client>,
    context: Context,
    claims: Sender<Message>,
    calls: Semaphore,
    // Number of orders in flight to all ledgers.
    in_flight: Rc<Cell<usize>>,
}

/// Starts the thread, which reports replies to `claims` and exits when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    receiver: AsyncReceiver<Broadcast>,
    claims: Sender<Message>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("claims-send", move || async move {
        let timeout = Duration::from_millis(settings.claim_ms);
        let in_flight = Rc::new(Cell::new(0_usize));
        let peer = |(ledger, address): (usize, &SocketAddr)| {
            spawn_peer(Peer {
                ledger: u8::try_from(ledger).unwrap_or(u8::MAX),
                client: Client::new(*address, &secret, timeout).ok(),
                context: context.clone(),
                claims: claims.clone(),
                calls: Semaphore::new(MAX_CONCURRENT_CALLS),
                in_flight: Rc::clone(&in_flight),
            })
        };
        let groups = settings.groups.iter();
        let groups = groups
            .map(|group| group.ledgers.iter().enumerate().map(peer).collect())
            .collect();
        duty::run_until(stop, run(receiver, groups, &in_flight)).await;
        // A release that is not sent leaves the key refused until its row expires.
        let _ = time::timeout(SHUTDOWN_GRACE, wait_in_flight(&in_flight)).await;
    })
}

/// Waits until no order is in flight.
async fn wait_in_flight(in_flight: &Cell<usize>) {
    while in_flight.get() > 0 {
        time::sleep(SHUTDOWN_POLL).await;
    }
}

async fn run(
    mut receiver: AsyncReceiver<Broadcast>,
    groups: Vec<Vec<mpsc::Sender<QueuedOrder>>>,
    in_flight: &Cell<usize>,
) {
    while let Some(message) = receiver.recv().await {
        for queue in &groups[message.group] {
            let item = QueuedOrder {
                at: message.at,
                phase: message.phase,
                order: message.order.clone(),
            };
            // An order beyond the full queue of an unresponsive ledger is dropped without a reply;
            // its attempt waits for the other ledgers or for its deadline.
            if queue.try_send(item).is_ok() {
                in_flight.set(in_flight.get() + 1);
            }
        }
    }
}

fn spawn_peer(peer: Peer) -> mpsc::Sender<QueuedOrder> {
    let (tx, mut rx) = mpsc::channel(MAX_QUEUED);
    let peer = Rc::new(peer);
    tokio::task::spawn_local(async move {
        while let Some(first) = rx.recv().await {
            // The semaphore is never closed, as it lives as long as this task.
            let permit = peer.calls.acquire().await;
            let batch = fill_batch(first, &mut rx);
            drop(permit);
            let peer = Rc::clone(&peer);
            tokio::task::spawn_local(async move { peer.deliver(batch).await });
        }
    });
    tx
}

/// Adds queued orders for the same ledger to a batch, up to its limits.
fn fill_batch(first: QueuedOrder, rx: &mut mpsc::Receiver<QueuedOrder>) -> Vec<QueuedOrder> {
    let mut bytes = answer_bytes(&first.order);
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH && bytes < MAX_BATCH_BYTES {
        let Ok(item) = rx.try_recv() else { break };
        bytes += answer_bytes(&item.order);
        batch.push(item);
    }
    batch
}

fn answer_bytes(order: &Order) -> usize {
    use crate::ledger::StoredOutcome;
    match order {
        Order::Settle {
            outcome: StoredOutcome::Answer(answer),
            ..
        } => answer.len(),
        _ => 0,
    }
}

impl Peer {
    async fn deliver(&self, mut batch: Vec<QueuedOrder>) {
        let mut backoff = INITIAL_BACKOFF;
        for attempt in 1..=MAX_CALLS_PER_ORDER {
            if let Some(replies) = self.call(&batch).await {
                for (item, reply) in batch.iter().zip(replies) {
                    self.report_reply(item, Some(reply));
                }
                return;
            }
            self.context.metrics.count("claim_calls_failed", 1);
            let can_retry = attempt < MAX_CALLS_PER_ORDER;
            // A vote after the deadline has no effect, but a settlement or release should reach the
            // ledger.
            batch.retain(|item| {
                let keep = can_retry && item.phase == Phase::Closing;
                if !keep {
                    self.report_reply(item, None);
                }
                keep
            });
            if batch.is_empty() {
                return;
            }
            time::sleep(backoff).await;
            backoff *= 2;
        }
    }

    async fn call(&self, batch: &[QueuedOrder]) -> Option<Vec<Reply>> {
        let _permit = self.calls.acquire().await.ok()?;
        let orders: Vec<&Order> = batch.iter().map(|item| &item.order).collect();
        let encoded = HexMessage::new(&orders);
        let client = self.client.as_ref()?;
        let response: HexMessage = client.call(APPLY, &encoded).await.ok()?;
        let bytes = encoded.data.len() + response.data.len();
        self.context.metrics.count("claim_calls", 1);
        self.context.metrics.count("claim_bytes", bytes as u64);
        let replies: Vec<Reply> = response.decode()?;
        (replies.len() == batch.len()).then_some(replies)
    }

    fn report_reply(&self, item: &QueuedOrder, reply: Option<Reply>) {
        self.in_flight.set(self.in_flight.get() - 1);
        let reply = LedgerReply {
            ledger: self.ledger,
            phase: item.phase,
            reply,
        };
        // If the ring is full, the reply is lost and the attempt waits for its deadline.
        if self
            .claims
            .offer(Message::LedgerReply(item.at, reply))
            .is_err()
        {
            self.context.metrics.count("claim_answers_dropped", 1);
        }
    }
}
