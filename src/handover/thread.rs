//! Thread of the handover duty: a single-threaded runtime that runs every call as a task.

use {
    super::{
        decide::{self, Next},
        evacuate::{Evacuation, Step},
        failed::{FailedRead, ReadStep},
        messages::{Message, ReadResult},
        serve::{self, HandedOrders, HandedRead, ORDERS_METHOD, PACKED_ORDERS_METHOD, READ_METHOD},
        spent::{Spent, outcome},
    },
    crate::{
        agree::{SubmitResult, Unavailable},
        cancel::Cancel,
        catalog::{Catalog, Order, serve::Source},
        context::Context,
        duty,
        edge::{Secret, client::Client},
        observe::{Event, report},
        ring::AsyncReceiver,
        sorted::Sorted,
    },
    jsonrpsee::core::ClientError,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        cell::RefCell,
        future, io,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Semaphore, oneshot},
        time,
    },
};

/// Timeout of a call to the leader: callers wait for a second, and then call another control VM.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Calls to the leader at the same time in each lane, each on a connection of its own.
const MAX_CALLS: usize = 16;
/// Time for which a call waits for others of its lane to end: less than callers wait.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a call waits while there is no leader: less than callers wait.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which orders wait for others to be handed over with them, and how many are handed over at once.
const BATCH_INTERVAL: Duration = Duration::from_millis(4);
const MAX_BATCH: usize = 64;
/// Time within which a read is answered: less than callers wait.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a read that failed is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Dependencies of the duty.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Context of this process.
    pub context: Context,
    /// Peer listener of this control VM.
    pub local: SocketAddr,
    /// Secret of the peer listeners.
    pub secret: Secret,
    /// State of this control VM, and the ring for its log.
    pub source: Source,
}

#[derive(Clone)]
struct Duty {
    deps: Dependencies,
    clients: Rc<RefCell<Sorted<SocketAddr, Client>>>,
    lanes: Rc<Lanes>,
}

/// Permits for calls to the leader.
struct Lanes {
    /// Orders and reads of operators, of which there are few.
    operators: Semaphore,
    /// Orders that follow from the reports of upstreams, of which there are many after an outage.
    upstreams: Semaphore,
}

/// Starts the duty, which exits when `receiver` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(deps: Dependencies, receiver: AsyncReceiver<Message>) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("handover", move || run(deps, receiver))
}

async fn run(deps: Dependencies, mut receiver: AsyncReceiver<Message>) {
    let duty = Duty {
        deps,
        clients: Rc::default(),
        lanes: Rc::new(Lanes {
            operators: Semaphore::new(MAX_CALLS),
            upstreams: Semaphore::new(MAX_CALLS),
        }),
    };
    while let Some(first) = receiver.recv().await {
        time::sleep(BATCH_INTERVAL).await;
        let mut orders = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                // A configuration may fill a call by itself.
                Message::Order { order, reply } if matches!(*order, Order::Configure { .. }) => {
                    let duty = duty.clone();
                    let single = vec![(*order, reply)];
                    tokio::task::spawn_local(async move { duty.orders(single).await });
                }
                Message::Order { order, reply } => orders.push((*order, reply)),
                Message::Evacuate {
                    zone,
                    on,
                    cancel,
                    reply,
                } => {
                    let duty = duty.clone();
                    tokio::task::spawn_local(async move {
                        if let Some(result) = duty.evacuate(zone, on, &cancel).await {
                            reply(result);
                        }
                    });
                }
                Message::Read { reply } => {
                    let duty = duty.clone();
                    tokio::task::spawn_local(async move { reply(duty.read().await) });
                }
            }
            next = if orders.len() < MAX_BATCH {
                receiver.poll()
            } else {
                None
            };
        }
        if !orders.is_empty() {
            let duty = duty.clone();
            tokio::task::spawn_local(async move { duty.orders(orders).await });
        }
    }
}

/// An order and the callback for its result.
type PendingOrder = (Order, Box<dyn FnOnce(SubmitResult) + Send>);

impl Duty {
    fn next(&self, tries: usize, last: Option<&Unavailable>) -> Next {
        let leader = *self.deps.source.leader.borrow();
        decide::next(tries, last, leader, self.deps.local)
    }

    /// Waits for the end of an election, but not for long.
    async fn wait_for_leader(&self, spent: &mut Spent) {
        let since = Instant::now();
        let mut leader = self.deps.source.leader.clone();
        let elected = leader.wait_for(Option::is_some);
        // Without a leader, the log names the reason.
        let _ = time::timeout(ELECTION_TIMEOUT, elected).await;
        spent.election += since.elapsed();
    }

    /// Waits for the end of an election after the leader refused a call, as it does before it stops.
    async fn wait_for_next_leader(&self, spent: &mut Spent) {
        let since = Instant::now();
        let mut leader = self.deps.source.leader.clone();
        let refused = *leader.borrow();
        let elected = leader.wait_for(|next| next.is_some() && *next != refused);
        let _ = time::timeout(ELECTION_TIMEOUT, elected).await;
        spent.election += since.elapsed();
    }

    /// Submits orders, and those again that were provably not accepted because the leader changed.
    async fn orders(&self, mut pending: Vec<PendingOrder>) {
        let has_operators = pending.iter().any(|(order, _)| order.summary().is_some());
        let lane = if has_operators {
            &self.lanes.operators
        } else {
            &self.lanes.upstreams
        };
        let mut spent = Spent::default();
        self.wait_for_leader(&mut spent).await;
        let mut last = None;
        for tries in 0.. {
            if last == Some(Unavailable::NoQuorum) {
                self.wait_for_next_leader(&mut spent).await;
            }
            let orders: Vec<Order> = pending.iter().map(|(order, _)| order.clone()).collect();
            let results = match self.next(tries, last.as_ref()) {
                Next::Local => {
                    let since = Instant::now();
                    let results = serve::submit(&self.deps.source.ring, orders).await;
                    spent.response += since.elapsed();
                    spent.tries += 1;
                    results
                }
                Next::Remote(leader) => {
                    let count = orders.len();
                    let handed = HandedOrders { orders };
                    let called = self.hand_over(leader, &handed, lane, &mut spent).await;
                    called.unwrap_or_else(|reason| vec![Err(reason); count])
                }
                Next::Fail(reason) => vec![Err(reason); orders.len()],
            };
            let may_repeat = tries + 1 < decide::MAX_TRIES;
            let mut rejected = Vec::new();
            let mut results = results.into_iter();
            for (order, reply) in pending {
                // A response with too few results says nothing about the rest.
                let result = results.next().unwrap_or(Err(Unavailable::Unknown));
                match &result {
                    Err(reason) if may_repeat && decide::may_repeat(reason) => {
                        last = Some(reason.clone());
                        rejected.push((order, reply));
                    }
                    _ => {
                        if let Some(summary) = order.summary() {
                            let outcome = outcome(&result);
                            report(
                                Event::ORDER_ENDED,
                                format_args!("{summary}: {outcome}; {spent}"),
                            );
                        }
                        reply(result);
                    }
                }
            }
            if rejected.is_empty() {
                return;
            }
            pending = rejected;
        }
    }

    /// Hands orders over to the leader.
    async fn hand_over(
        &self,
        leader: SocketAddr,
        handed: &HandedOrders,
        lane: &Semaphore,
        spent: &mut Spent,
    ) -> Result<Vec<SubmitResult>, Unavailable> {
        match handed.packed() {
            Ok(None) => {
                let call = (ORDERS_METHOD, handed);
                self.call(leader, call, lane, spent).await
            }
            Ok(Some(packed)) => {
                let call = (PACKED_ORDERS_METHOD, &packed);
                self.call(leader, call, lane, spent).await
            }
            Err(rejection) => Ok(vec![Ok(Err(rejection)); handed.orders.len()]),
        }
    }

    async fn submit(&self, order: Order) -> SubmitResult {
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |result| drop(tx.send(result)));
        self.orders(vec![(order, reply)]).await;
        rx.await.unwrap_or(Err(Unavailable::Unknown))
    }

    /// Carries out an evacuation order; `None` if its caller has given up.
    async fn evacuate(&self, zone: String, on: bool, cancel: &Cancel) -> Option<SubmitResult> {
        let detail = format!("zone {zone}, evacuated {on}");
        let mut evacuation = Evacuation::new(zone, on);
        let mut step = Step::Confirm;
        loop {
            step = match step {
                Step::Confirm => {
                    let deadline = Instant::now() + READ_TIMEOUT;
                    let revision = self.revision(deadline, &mut Spent::default()).await;
                    let revision = revision.map_err(|failed| failed.reason);
                    evacuation.confirmed(revision, cancel.is_cancelled())
                }
                Step::Submit(order) => evacuation.submitted(self.submit(order).await),
                Step::Reply(result) => {
                    report(
                        Event::EVACUATION_ENDED,
                        format_args!("{detail}: {result:?}"),
                    );
                    return Some(result);
                }
                Step::Abandon => {
                    report(Event::ORDER_ABANDONED, format_args!("{detail}"));
                    return None;
                }
            };
        }
    }

    async fn read(&self) -> ReadResult {
        let mut spent = Spent::default();
        let result = self.confirmed(&mut spent).await;
        result.map_err(|failed| {
            failed.report(&spent, &self.deps.context);
            failed.reason
        })
    }

    /// The catalogue of this control VM at a revision that a quorum has confirmed since the call.
    async fn confirmed(&self, spent: &mut Spent) -> Result<Arc<Catalog>, FailedRead> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let revision = self.revision(deadline, spent).await?;
        self.reach(revision, deadline, spent).await
    }

    /// Revision of the newest catalogue, confirmed by a quorum. A read changes nothing, so it is repeated until the
    /// deadline, also if it may have been received.
    async fn revision(&self, deadline: Instant, spent: &mut Spent) -> Result<u64, FailedRead> {
        let mut failed = FailedRead {
            step: ReadStep::FindLeader,
            reason: Unavailable::NoQuorum,
        };
        // When the call in progress began.
        let mut asked = None;
        let tries = async {
            loop {
                self.wait_for_leader(spent).await;
                let leader = *self.deps.source.leader.borrow();
                failed.step = match leader {
                    None => ReadStep::FindLeader,
                    Some(leader) if leader == self.deps.local => ReadStep::Confirm,
                    Some(leader) => ReadStep::CallLeader(leader),
                };
                failed.reason = Unavailable::Unknown;
                asked = Some(Instant::now());
                let result = tokio::select! {
                    result = self.ask(failed.step, spent) => result,
                    () = self.leader_replaced(leader) => continue,
                };
                asked = None;
                match result {
                    Ok(revision) => return revision,
                    Err(reason) => failed.reason = reason,
                }
                time::sleep(READ_RETRY_DELAY).await;
            }
        };
        let found = time::timeout_at(deadline.into(), tries).await;
        spent.response += asked.map_or(Duration::ZERO, |asked: Instant| asked.elapsed());
        found.map_err(|_| failed)
    }

    /// Asks the leader, or the log of this control VM, for the revision.
    async fn ask(&self, step: ReadStep, spent: &mut Spent) -> Result<u64, Unavailable> {
        if let ReadStep::CallLeader(leader) = step {
            let call = (READ_METHOD, &HandedRead {});
            return self.call(leader, call, &self.lanes.operators, spent).await;
        }
        let since = Instant::now();
        // Without a leader, the log names the reason.
        let result = serve::read(&self.deps.source.ring).await;
        spent.response += since.elapsed();
        result
    }

    /// Returns once another leader than `known` is known.
    async fn leader_replaced(&self, known: Option<SocketAddr>) {
        let mut leader = self.deps.source.leader.clone();
        let replaced = leader.wait_for(|leader| leader.is_some() && *leader != known);
        if replaced.await.is_err() {
            // The agree duty has ended.
            future::pending::<()>().await;
        }
    }

    /// The catalogue of this control VM once it has reached `revision`.
    async fn reach(
        &self,
        revision: u64,
        deadline: Instant,
        spent: &mut Spent,
    ) -> Result<Arc<Catalog>, FailedRead> {
        let since = Instant::now();
        let mut policies = self.deps.source.policies.clone();
        let reached = policies.wait_for(|policy| policy.catalog.revision >= revision);
        let reached = time::timeout_at(deadline.into(), reached).await;
        let catalog = match reached {
            Ok(Ok(policy)) => Some(Arc::clone(&policy.catalog)),
            _ => None,
        };
        spent.catch_up += since.elapsed();
        catalog.ok_or_else(|| FailedRead {
            step: ReadStep::CatchUp {
                expected: revision,
                found: self.deps.source.policies.borrow().catalog.revision,
            },
            reason: Unavailable::Busy,
        })
    }

    /// Calls the leader. Without a response, the call may have taken effect.
    async fn call<T: DeserializeOwned>(
        &self,
        leader: SocketAddr,
        (method, params): (&str, &impl Serialize),
        lane: &Semaphore,
        spent: &mut Spent,
    ) -> Result<T, Unavailable> {
        let since = Instant::now();
        let permit = time::timeout(PERMIT_TIMEOUT, lane.acquire()).await;
        spent.permit += since.elapsed();
        // The semaphore is never closed.
        let Ok(Ok(_permit)) = permit else {
            self.deps.context.metrics.count("handover_full", 1);
            return Err(Unavailable::Busy);
        };
        let Some(client) = self.client(leader) else {
            return Err(Unavailable::Busy);
        };
        self.deps.context.metrics.count("handed_over", 1);
        let since = Instant::now();
        let called = client.call::<Result<T, Unavailable>>(method, params).await;
        spent.response += since.elapsed();
        spent.tries += 1;
        match called {
            Ok(result) => result,
            Err(ClientError::Call(error)) => {
                self.deps.context.metrics.count("handover_refused", 1);
                log::debug!("{leader}: {error}");
                Err(Unavailable::Busy)
            }
            Err(error) => {
                self.deps.context.metrics.count("handover_failed", 1);
                log::debug!("{leader}: {error}");
                Err(Unavailable::Unknown)
            }
        }
    }

    fn client(&self, address: SocketAddr) -> Option<Client> {
        let mut clients = self.clients.borrow_mut();
        if clients.get(&address).is_none() {
            // Connections to former leaders are not needed again soon.
            clients.retain(|_, _| false);
            let client = Client::new(address, &self.deps.secret, CALL_TIMEOUT).ok()?;
            clients.insert(address, client);
        }
        clients.get(&address).cloned()
    }
}
