//! Takes a caller's request to the duties and awaits its outcome.

use {
    super::{decode, encode},
    crate::{
        call::{Call, Outcome, Reason, Refusal},
        cancel, claims,
        context::Context,
        edge::{Handler, Incoming, Outgoing},
        explain::Step,
        keys::RequestId,
        lookup::Ranking,
        membership::Lease,
        shift,
    },
    bytes::Bytes,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
    },
    tokio::sync::{oneshot, watch},
};

/// What the front end is wired to.
#[derive(Debug)]
pub struct Dependencies {
    /// Who we are.
    pub context: Context,
    /// Lease under which this VM serves.
    pub lease: Lease,
    /// Where requests go.
    pub router: shift::Router,
    /// Rankings of the look-up duty.
    pub rankings: watch::Receiver<Arc<Ranking>>,
    /// Group of ledgers that idempotency keys are minted for.
    pub group: Option<String>,
}

struct Local {
    front: Dependencies,
    next: Cell<u64>,
    lookup: RefCell<Option<(Arc<Ranking>, Bytes)>>,
}

/// Serves look-ups at `/v1/lookup`, new idempotency keys at `/v1/key` and requests at `/SERVICE/KIND`.
#[must_use]
pub fn handler(front: Dependencies) -> Handler {
    let local = Rc::new(Local {
        front,
        next: Cell::new(1),
        lookup: RefCell::new(None),
    });
    Rc::new(move |incoming| {
        let local = Rc::clone(&local);
        Box::pin(async move { local.serve(incoming).await })
    })
}

impl Local {
    async fn serve(&self, incoming: Incoming) -> Outgoing {
        match incoming.path() {
            b"/v1/lookup" if incoming.method == "GET" => self.lookup(),
            b"/v1/key" if incoming.method == "POST" => self.mint(),
            b"/v1/lookup" | b"/v1/key" => Outgoing::refusal(405, "method_not_allowed"),
            _ => self.relay(incoming).await,
        }
    }

    /// An idempotency key whose ledgers are near.
    fn mint(&self) -> Outgoing {
        let Some(group) = &self.front.group else {
            return Outgoing::refusal(503, Reason::ClaimUnavailable.name());
        };
        let key = claims::home::mint(group, rand::random());
        let body = serde_json::json!({"idempotency_key": key}).to_string();
        Outgoing::new(200, "application/json", body)
    }

    /// Answers from the last ranking, encoded once.
    fn lookup(&self) -> Outgoing {
        let table = Arc::clone(&self.front.rankings.borrow());
        let mut last = self.lookup.borrow_mut();
        let body = match &*last {
            Some((made_from, body)) if Arc::ptr_eq(made_from, &table) => body.clone(),
            _ => {
                let body = encode::encode_table(&self.front.context, &table);
                *last = Some((table, body.clone()));
                body
            }
        };
        Outgoing::new(200, "application/json", body)
    }

    async fn relay(&self, incoming: Incoming) -> Outgoing {
        let context = &self.front.context;
        let _guard = context.enter();
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        let outcome = self.run(id, incoming).await;
        context.note(id, last_step(&outcome));
        encode::encode_outcome(context, id, outcome)
    }

    async fn run(&self, id: RequestId, incoming: Incoming) -> Outcome {
        if self.front.context.stopping() {
            return Err(Refusal::not_run(Reason::Stopping));
        }
        if !self.front.lease.is_valid(self.front.context.clock.now()) {
            return Err(Refusal::not_run(Reason::NotJoined));
        }
        let decoded = decode::decode(&self.front.context, id, incoming)?;
        let version = self.front.rankings.borrow().version;
        let kind = decoded.meta.kind;
        self.front.context.note(id, Step::Entered { kind, version });
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |outcome| drop(tx.send(outcome)));
        let once = self.front.context.topology.kind_row(decoded.meta.kind).once;
        let mut call = Call::new(decoded.meta, decoded.key, decoded.payload, reply);
        // Dropped with this future when the caller closes its connection. What must run at most
        // once goes on, so that the same key sent again finds its outcome.
        let (_guard, cancel) = cancel::pair();
        if !once {
            call = call.with_cancel(cancel);
        }
        self.front.router.route(call);
        rx.await.unwrap_or(Err(Refusal::unknown(Reason::Stopping)))
    }
}

fn last_step(outcome: &Outcome) -> Step {
    match outcome {
        Ok(answer) => Step::Answered {
            status: answer.status,
        },
        Err(refusal) => Step::Refused {
            reason: refusal.reason,
            ran: refusal.ran,
        },
    }
}
