//! Handler that passes callers' requests to the duties and awaits their outcomes.

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

/// Dependencies of the callers' handler.
#[derive(Debug)]
pub struct Dependencies {
    /// Context of this VM.
    pub context: Context,
    /// Membership lease; requests are refused while it is not valid.
    pub lease: Lease,
    /// Router that passes requests to the duties.
    pub router: shift::Router,
    /// Latest ranking of entry VMs, from the look-up duty.
    pub rankings: watch::Receiver<Arc<Ranking>>,
    /// Group of ledgers for new idempotency keys: that of the local region if it has one, otherwise the
    /// first; none if no groups are configured.
    pub group: Option<String>,
}

struct CallersApi {
    deps: Dependencies,
    next_id: Cell<u64>,
    /// Last ranking served, with its encoding.
    encoded: RefCell<Option<(Arc<Ranking>, Bytes)>>,
}

/// Builds the handler for callers: look-ups at `/v1/lookup`, new idempotency keys at `/v1/key` and
/// requests at `/SERVICE/KIND`.
#[must_use]
pub fn handler(deps: Dependencies) -> Handler {
    let api = Rc::new(CallersApi {
        deps,
        next_id: Cell::new(1),
        encoded: RefCell::new(None),
    });
    Rc::new(move |incoming| {
        let api = Rc::clone(&api);
        Box::pin(async move { api.serve(incoming).await })
    })
}

impl CallersApi {
    async fn serve(&self, incoming: Incoming) -> Outgoing {
        match incoming.path() {
            b"/v1/lookup" if incoming.method == "GET" => self.lookup(),
            b"/v1/key" if incoming.method == "POST" => self.mint(),
            b"/v1/lookup" | b"/v1/key" => Outgoing::refusal(405, "method_not_allowed"),
            _ => self.relay(incoming).await,
        }
    }

    /// Responds with a new idempotency key for this VM's group of ledgers, which is nearby.
    fn mint(&self) -> Outgoing {
        let Some(group) = &self.deps.group else {
            return Outgoing::refusal(503, Reason::ClaimUnavailable.name());
        };
        let key = claims::home::mint_key(group, rand::random());
        let body = serde_json::json!({"idempotency_key": key}).to_string();
        Outgoing::new(200, "application/json", body)
    }

    /// Responds with the latest ranking; encodes each ranking once.
    fn lookup(&self) -> Outgoing {
        let ranking = Arc::clone(&self.deps.rankings.borrow());
        let mut last = self.encoded.borrow_mut();
        let body = match &*last {
            Some((source, body)) if Arc::ptr_eq(source, &ranking) => body.clone(),
            _ => {
                let body = encode::encode_ranking(&self.deps.context, &ranking);
                *last = Some((ranking, body.clone()));
                body
            }
        };
        Outgoing::new(200, "application/json", body)
    }

    async fn relay(&self, incoming: Incoming) -> Outgoing {
        let context = &self.deps.context;
        let _guard = context.track_request();
        let id = RequestId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let outcome = self.run(id, incoming).await;
        context.note(id, last_step(&outcome));
        encode::encode_outcome(context, id, outcome)
    }

    /// Reason why this VM accepts no requests at present, if there is one.
    fn obstacle(&self) -> Option<Reason> {
        let context = &self.deps.context;
        if context.is_stopping() {
            return Some(Reason::Stopping);
        }
        let is_joined = self.deps.lease.is_valid(context.clock.now());
        (!is_joined).then_some(Reason::NotJoined)
    }

    async fn run(&self, id: RequestId, incoming: Incoming) -> Outcome {
        let obstacle = self.obstacle();
        let decoded = decode::decode(&self.deps.context, id, incoming);
        let decoded = decoded.map_err(|refusal| obstacle.map_or(refusal, Refusal::not_run))?;
        let version = self.deps.rankings.borrow().version;
        let kind = decoded.meta.kind;
        if obstacle.is_none() {
            self.deps.context.note(id, Step::Entered { kind, version });
        }
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |outcome| drop(tx.send(outcome)));
        let at_most_once = self
            .deps
            .context
            .topology
            .kind_row(decoded.meta.kind)
            .at_most_once;
        let mut call = Call::new(decoded.meta, decoded.key, decoded.payload, reply);
        // Dropped with this future when the caller closes its connection. A request that must run at
        // most once continues, so that a retry with the same key gets its outcome.
        let (_cancel_on_drop, cancel) = cancel::channel();
        call = if at_most_once {
            call.with_unclaimed_key()
        } else {
            call.with_cancel(cancel)
        };
        match obstacle {
            Some(reason) => call.finish(Err(Refusal::not_run(reason))),
            None => self.deps.router.route(call),
        }
        rx.await.unwrap_or(Err(Refusal::unknown(Reason::Stopping)))
    }
}

fn last_step(outcome: &Outcome) -> Step {
    match outcome {
        Ok(response) => Step::Answered {
            status: response.status,
        },
        Err(refusal) => Step::Refused {
            reason: refusal.reason,
            ran: refusal.ran,
        },
    }
}
