//! The thread of the forward duty: a single-threaded runtime that forwards every request.

use {
    super::{
        decide::{self, Criteria},
        encode,
        messages::{Message, Peer},
        settings::Settings,
        state::State,
    },
    crate::{
        call::{Call, Outcome, Ran, Reason, Refusal},
        cancel,
        context::Context,
        duty,
        edge::{Secret, secret::SECRET_HEADER},
        explain::Step,
        relay::pool::{self, Connection, Pool},
        ring::{self, AsyncReceiver},
        slots,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, header::HOST},
    std::{cell::RefCell, io, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

const EVICT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the duty. Requests that provably did not run at a peer are returned to `slots` of this VM.
/// The duty exits when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    receiver: AsyncReceiver<Message>,
    slots: ring::Sender<slots::Message>,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("forward", move || {
        let duty = Rc::new(Duty {
            context,
            settings,
            secret,
            slots,
            state: RefCell::default(),
            pool: RefCell::default(),
        });
        duty::run_until(stop, run(duty, receiver))
    })
}

struct Duty {
    context: Context,
    settings: Settings,
    secret: Secret,
    slots: ring::Sender<slots::Message>,
    state: RefCell<State>,
    pool: RefCell<Pool>,
}

async fn run(duty: Rc<Duty>, mut receiver: AsyncReceiver<Message>) {
    let idle_limit = Duration::from_millis(duty.settings.idle_ms);
    let mut evict = time::interval(EVICT_INTERVAL);
    loop {
        tokio::select! {
            message = receiver.recv() => match message {
                Some(Message::Send(call)) => start(&duty, call),
                Some(Message::Peers(peers)) => duty.state.borrow_mut().replace(peers),
                None => return,
            },
            _ = evict.tick() => duty.pool.borrow_mut().evict(idle_limit),
        }
    }
}

fn start(duty: &Rc<Duty>, call: Call) {
    let duty = Rc::clone(duty);
    tokio::task::spawn_local(async move { duty.deliver(call).await });
}

impl Duty {
    /// Forwards the request to a peer; a request for this zone may try several.
    async fn deliver(&self, mut call: Call) {
        let is_local = call.meta.target == self.context.zone;
        let mut tried = Vec::new();
        let mut reason = Reason::PeerUnreachable;
        while let Some(peer) = self.choose(&call, &tried) {
            let outcome = self.exchange(&peer, &mut call).await;
            let is_not_run = outcome
                .as_ref()
                .is_err_and(|refusal| refusal.ran == Ran::No);
            tried.push(peer.name);
            if !is_not_run || !is_local || tried.len() >= self.settings.tries {
                return self.complete(call, outcome);
            }
            call.mark_unsent();
            if let Err(refusal) = outcome {
                reason = refusal.reason;
                self.context.metrics.count_retry(reason);
            }
        }
        self.return_to_slots(call, reason);
    }

    fn choose(&self, call: &Call, tried: &[String]) -> Option<Peer> {
        let criteria = Criteria {
            target: call.meta.target,
            service: call.meta.service,
            local: self.context.zone,
            topology: &self.context.topology,
            tried,
        };
        decide::choose(&self.state.borrow(), criteria)
    }

    /// Sends the request to `peer` and reads its outcome.
    async fn exchange(&self, peer: &Peer, call: &mut Call) -> Outcome {
        let report = decide::record_sent(&mut self.state.borrow_mut(), &peer.name);
        let address = peer.address;
        self.context.note(call.meta.id, Step::Forwarded { address });
        let left = call.meta.deadline.since(self.context.clock.now());
        let cancel = call.cancel();
        let outcome = tokio::select! {
            outcome = time::timeout(left, self.attempt(peer, call, left)) => {
                outcome.unwrap_or(Err(Refusal::unknown(Reason::AnswerTimeout)))
            }
            // This closes the connection, which notifies the peer that the caller has disconnected.
            () = cancel::wait(cancel) => Err(Refusal::unknown(Reason::Cancelled)),
        };
        decide::record_done(&mut self.state.borrow_mut(), &peer.name, report);
        if outcome
            .as_ref()
            .is_err_and(|refusal| refusal.ran == Ran::Unknown)
        {
            call.mark_sent();
        }
        outcome
    }

    async fn attempt(&self, peer: &Peer, call: &mut Call, left: Duration) -> Outcome {
        let unreachable = Refusal::not_run(Reason::PeerUnreachable);
        let body = encode::request(&self.context, call, left).map_err(|_| unreachable)?;
        let request = Request::post("/forward")
            .header(HOST, peer.address.to_string())
            .header(SECRET_HEADER, self.secret.expose())
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| unreachable)?;
        let mut connection = self.connection(peer).await.ok_or(unreachable)?;
        call.mark_sent();
        let response = connection
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                // The message is returned only if no byte of it was written.
                if error.take_message().is_some() {
                    unreachable
                } else {
                    Refusal::unknown(Reason::AnswerCut)
                }
            })?;
        if response.status().as_u16() != 200 {
            return Err(refusal_of_status(response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), self.settings.answer_bytes)
            .collect()
            .await;
        let body = body.map_err(|_| Refusal::unknown(Reason::AnswerCut))?;
        let outcome = encode::read_outcome(&body.to_bytes());
        self.pool
            .borrow_mut()
            .keep(peer.address, connection, self.settings.idle_max);
        outcome.unwrap_or(Err(Refusal::unknown(Reason::AnswerCut)))
    }

    async fn connection(&self, peer: &Peer) -> Option<Connection> {
        let idle_limit = Duration::from_millis(self.settings.idle_ms);
        if let Some(connection) = self.pool.borrow_mut().take(peer.address, idle_limit) {
            return Some(connection);
        }
        let limit = Duration::from_millis(self.settings.connect_ms);
        pool::connect(peer.address, limit).await.ok()
    }

    /// Returns a request that did not run to the slots duty. With `hops` set to 1, a request for
    /// this zone is not forwarded again.
    fn return_to_slots(&self, mut call: Call, reason: Reason) {
        if call.meta.target == self.context.zone {
            call.meta.hops = 1;
        } else {
            self.context.metrics.count_retry(reason);
        }
        call.meta.target = self.context.zone;
        // The slots duty never blocks on this duty, so waiting for a free place in the ring cannot deadlock.
        let _ = self.slots.send(slots::Message::Place(call));
    }

    /// Responds to the caller, or returns a request that did not run to the slots of this VM.
    fn complete(&self, mut call: Call, outcome: Outcome) {
        match outcome {
            Err(refusal) if refusal.ran == Ran::No => {
                call.mark_unsent();
                self.return_to_slots(call, refusal.reason);
            }
            outcome => {
                self.context.metrics.count("forwarded_out", 1);
                call.finish(outcome);
            }
        }
    }
}

/// Maps the status of a response without outcome to a refusal. Peers send the listed statuses only
/// before the request runs.
fn refusal_of_status(status: u16) -> Refusal {
    match status {
        400 | 401 | 404 | 408 | 413 => Refusal::not_run(Reason::PeerUnreachable),
        _ => Refusal::unknown(Reason::AnswerCut),
    }
}
