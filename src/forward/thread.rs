//! The thread of the forward duty: a single-threaded runtime that carries every request.

use {
    super::{
        decide::{self, Way},
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
        ring::{self, Inbox},
        slots,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, header::HOST},
    std::{cell::RefCell, io, rc::Rc, thread::JoinHandle, time::Duration},
    tokio::{sync::oneshot, time},
};

const EVICT_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the duty; requests that a peer provably did not run come back to `slots` of this zone.
/// It ends when `stop` closes.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    inbox: Inbox<Message>,
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
        duty::until(stop, run(duty, inbox))
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

async fn run(duty: Rc<Duty>, mut inbox: Inbox<Message>) {
    let keep = Duration::from_millis(duty.settings.idle_ms);
    let mut evict = time::interval(EVICT_INTERVAL);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(Message::Send(call)) => start(&duty, call),
                Some(Message::Peers(peers)) => duty.state.borrow_mut().replace(peers),
                None => return,
            },
            _ = evict.tick() => duty.pool.borrow_mut().evict(keep),
        }
    }
}

fn start(duty: &Rc<Duty>, call: Call) {
    let duty = Rc::clone(duty);
    tokio::task::spawn_local(async move { duty.carry(call).await });
}

impl Duty {
    /// Takes the request to a peer; one that found no slot here may try several.
    async fn carry(&self, mut call: Call) {
        let spills = call.meta.target == self.context.zone;
        let mut tried = Vec::new();
        let mut reason = Reason::PeerUnreachable;
        while let Some(peer) = self.choose(&call, &tried) {
            let outcome = self.exchange(&peer, &mut call).await;
            let refused = outcome
                .as_ref()
                .is_err_and(|refusal| refusal.ran == Ran::No);
            tried.push(peer.name);
            if !refused || !spills || tried.len() >= self.settings.tries {
                return self.end(call, outcome);
            }
            call.mark_unsent();
            if let Err(refusal) = outcome {
                reason = refusal.reason;
                self.context.metrics.retry(reason);
            }
        }
        self.bring_back(call, reason);
    }

    fn choose(&self, call: &Call, tried: &[String]) -> Option<Peer> {
        let way = Way {
            target: call.meta.target,
            service: call.meta.service,
            own: self.context.zone,
            topology: &self.context.topology,
            tried,
        };
        decide::choose(&self.state.borrow(), way)
    }

    /// Sends the request to `peer` and reads its outcome.
    async fn exchange(&self, peer: &Peer, call: &mut Call) -> Outcome {
        let report = decide::begin(&mut self.state.borrow_mut(), &peer.name);
        let address = peer.address;
        self.context.note(call.meta.id, Step::Forwarded { address });
        let left = call.meta.deadline.since(self.context.clock.now());
        let cancel = call.cancel();
        let outcome = tokio::select! {
            outcome = time::timeout(left, self.attempt(peer, call, left)) => {
                outcome.unwrap_or(Err(Refusal::unknown(Reason::AnswerTimeout)))
            }
            // The connection is closed with it, by which the peer learns that the caller has gone.
            () = cancel::of(cancel) => Err(Refusal::unknown(Reason::Cancelled)),
        };
        decide::end(&mut self.state.borrow_mut(), &peer.name, report);
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
        let mut connection = self.obtain(peer).await.ok_or(unreachable)?;
        call.mark_sent();
        let response = connection
            .try_send_request(request)
            .await
            .map_err(|mut error| {
                // The request comes back only if no byte of it was written.
                if error.take_message().is_some() {
                    unreachable
                } else {
                    Refusal::unknown(Reason::AnswerCut)
                }
            })?;
        if response.status().as_u16() != 200 {
            return Err(refused(response.status().as_u16()));
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

    async fn obtain(&self, peer: &Peer) -> Option<Connection> {
        let keep = Duration::from_millis(self.settings.idle_ms);
        if let Some(connection) = self.pool.borrow_mut().take(peer.address, keep) {
            return Some(connection);
        }
        let limit = Duration::from_millis(self.settings.connect_ms);
        pool::connect(peer.address, limit).await.ok()
    }

    /// Returns a request that did not run to the slots of this VM, once from its own zone.
    fn bring_back(&self, mut call: Call, reason: Reason) {
        if call.meta.target == self.context.zone {
            call.meta.hops = 1;
        } else {
            self.context.metrics.retry(reason);
        }
        call.meta.target = self.context.zone;
        // The slots duty never waits for this one, so there will be room.
        let _ = self.slots.send(slots::Message::Place(call));
    }

    /// Answers the caller, or brings a request that did not run back to its own zone.
    fn end(&self, mut call: Call, outcome: Outcome) {
        match outcome {
            Err(refusal) if refusal.ran == Ran::No => {
                call.mark_unsent();
                self.bring_back(call, refusal.reason);
            }
            outcome => {
                self.context.metrics.count("forwarded_out", 1);
                call.finish(outcome);
            }
        }
    }
}

/// What a peer's refusal of the exchange itself means: only these are sent before the request runs.
fn refused(status: u16) -> Refusal {
    match status {
        400 | 401 | 404 | 408 | 413 => Refusal::not_run(Reason::PeerUnreachable),
        _ => Refusal::unknown(Reason::AnswerCut),
    }
}
