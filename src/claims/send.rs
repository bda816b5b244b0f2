//! Sends orders to ledgers: a single-threaded runtime, many orders a call.

use {
    super::{
        decide::Heard,
        messages::{Broadcast, Message},
        settings::Settings,
        state::Phase,
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        keys::TryKey,
        ledger::{
            Order, Reply,
            serve::{APPLY, Packed},
        },
        ring::{Inbox, Sender},
    },
    std::{cell::Cell, io, net::SocketAddr, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{
        sync::{Semaphore, mpsc, oneshot},
        time,
    },
};

/// Orders that wait for one ledger at most.
const QUEUE: usize = 4_096;
/// Orders in one call at most.
const BATCH: usize = 64;
/// Bytes of answers in one call at most.
const BATCH_BYTES: usize = 256 << 10;
/// Calls to one ledger at the same time.
const CALLS: usize = 4;
/// Calls for the end of a try, the first included; a claim is asked for once.
const TRIES: u32 = 5;
/// Time that a stop leaves for orders on their way.
const LINGER: Duration = Duration::from_millis(300);
const LINGER_POLL: Duration = Duration::from_millis(5);
const FIRST_PAUSE: Duration = Duration::from_millis(50);

struct Item {
    at: TryKey,
    phase: Phase,
    order: Order,
}

struct Peer {
    ledger: u8,
    client: Option<Client>,
    context: Context,
    claims: Sender<Message>,
    calls: Semaphore,
    // Orders that are on their way, over all ledgers.
    open: Rc<Cell<usize>>,
}

/// Starts the duty; answers go to `claims`. It ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    inbox: Inbox<Broadcast>,
    claims: Sender<Message>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("claims-send", move || async move {
        let limit = Duration::from_millis(settings.claim_ms);
        let open = Rc::new(Cell::new(0_usize));
        let peer = |(ledger, address): (usize, &SocketAddr)| {
            start(Peer {
                ledger: u8::try_from(ledger).unwrap_or(u8::MAX),
                client: Client::new(*address, &secret, limit).ok(),
                context: context.clone(),
                claims: claims.clone(),
                calls: Semaphore::new(CALLS),
                open: Rc::clone(&open),
            })
        };
        let groups = settings.groups.iter();
        let groups = groups
            .map(|group| group.ledgers.iter().enumerate().map(peer).collect())
            .collect();
        duty::until(stop, run(inbox, groups, &open)).await;
        // A release that is not sent would leave its key refused until it expires.
        let _ = time::timeout(LINGER, finish(&open)).await;
    })
}

/// Waits until no order is on its way.
async fn finish(open: &Cell<usize>) {
    while open.get() > 0 {
        time::sleep(LINGER_POLL).await;
    }
}

async fn run(
    mut inbox: Inbox<Broadcast>,
    groups: Vec<Vec<mpsc::Sender<Item>>>,
    open: &Cell<usize>,
) {
    while let Some(message) = inbox.recv().await {
        for queue in &groups[message.group] {
            let item = Item {
                at: message.at,
                phase: message.phase,
                order: message.order.clone(),
            };
            // A ledger that is silent for so long fails its orders by their time limit.
            if queue.try_send(item).is_ok() {
                open.set(open.get() + 1);
            }
        }
    }
}

fn start(peer: Peer) -> mpsc::Sender<Item> {
    let (tx, mut rx) = mpsc::channel(QUEUE);
    let peer = Rc::new(peer);
    tokio::task::spawn_local(async move {
        while let Some(first) = rx.recv().await {
            // Closed never, as it lives as long as this task.
            let permit = peer.calls.acquire().await;
            let batch = gather(first, &mut rx);
            drop(permit);
            let peer = Rc::clone(&peer);
            tokio::task::spawn_local(async move { peer.deliver(batch).await });
        }
    });
    tx
}

/// Takes what else waits for the same ledger.
fn gather(first: Item, rx: &mut mpsc::Receiver<Item>) -> Vec<Item> {
    let mut bytes = size(&first.order);
    let mut batch = vec![first];
    while batch.len() < BATCH && bytes < BATCH_BYTES {
        let Ok(item) = rx.try_recv() else { break };
        bytes += size(&item.order);
        batch.push(item);
    }
    batch
}

fn size(order: &Order) -> usize {
    use crate::ledger::Verdict;
    match order {
        Order::Settle {
            verdict: Verdict::Answer(answer),
            ..
        } => answer.len(),
        _ => 0,
    }
}

impl Peer {
    async fn deliver(&self, mut batch: Vec<Item>) {
        let mut pause = FIRST_PAUSE;
        for attempt in 1..=TRIES {
            if let Some(replies) = self.call(&batch).await {
                for (item, reply) in batch.iter().zip(replies) {
                    self.tell(item, Some(reply));
                }
                return;
            }
            self.context.metrics.count("claim_calls_failed", 1);
            let again = attempt < TRIES;
            // A vote that comes late is of no use; an end must be known if that can be.
            batch.retain(|item| {
                let keep = again && item.phase == Phase::Closing;
                if !keep {
                    self.tell(item, None);
                }
                keep
            });
            if batch.is_empty() {
                return;
            }
            time::sleep(pause).await;
            pause *= 2;
        }
    }

    async fn call(&self, batch: &[Item]) -> Option<Vec<Reply>> {
        let _permit = self.calls.acquire().await.ok()?;
        let orders: Vec<&Order> = batch.iter().map(|item| &item.order).collect();
        let packed = Packed::new(&orders);
        let client = self.client.as_ref()?;
        let answer: Packed = client.call(APPLY, &packed).await.ok()?;
        let bytes = packed.data.len() + answer.data.len();
        self.context.metrics.count("claim_calls", 1);
        self.context.metrics.count("claim_bytes", bytes as u64);
        let replies: Vec<Reply> = answer.open()?;
        (replies.len() == batch.len()).then_some(replies)
    }

    fn tell(&self, item: &Item, reply: Option<Reply>) {
        self.open.set(self.open.get() - 1);
        let heard = Heard {
            ledger: self.ledger,
            phase: item.phase,
            reply,
        };
        // A full ring loses the answer, and the try waits for its limit.
        if self.claims.offer(Message::Heard(item.at, heard)).is_err() {
            self.context.metrics.count("claim_answers_dropped", 1);
        }
    }
}
