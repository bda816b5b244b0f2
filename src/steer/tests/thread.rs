//! Tests of the duty's thread: what the courier learns of callers.

use {
    super::at,
    crate::{
        backpressure::Notice,
        call::{Outcome, Payload, Ran, Reason},
        cancel::{self, Guard},
        catalog::{
            Catalog,
            follow::CatalogView,
            tests::{route, service},
        },
        context::Context,
        courier::{Dispatch, Ended, Report},
        keys::ZoneKey,
        poison::{Monitor, Verdicts},
        ring::{self, AsyncReceiver, Sender},
        steer::{Dependencies, Message, Request, Settings, spawn},
        workspaces::tests::{credential, workspace},
    },
    std::{
        sync::{
            Arc,
            mpsc::{self, Receiver},
        },
        time::{Duration, Instant},
    },
    tokio::{runtime::Runtime, sync::watch},
};

const WAIT: Duration = Duration::from_mins(1);

/// A running duty, with the other ends of its channels.
struct Duty {
    ring: Sender<Message>,
    courier: AsyncReceiver<Dispatch>,
    runtime: Runtime,
    catalog: Catalog,
}

impl Duty {
    /// Starts the duty with an upstream and the workspace `acme` with the key `a1`.
    fn start() -> Self {
        let (sender, ring) = ring::bounded(16);
        let (courier_tx, courier) = ring::bounded_async(16);
        let (poison, _) = ring::bounded(16);
        let deps = Dependencies {
            context: Context::new("entry-1", ZoneKey(0), Arc::default()),
            zone: "a".to_owned(),
            zones: vec![("a".to_owned(), "r".to_owned())],
            courier: courier_tx,
            leases: ring::bounded_async(16).0,
            monitor: Monitor {
                verdicts: watch::channel(Arc::<Verdicts>::default()).1,
                ring: poison,
            },
        };
        spawn(Settings::default(), deps, ring).unwrap();
        let mut catalog = Catalog::default();
        catalog.version = 1;
        catalog.services.put("s", service(), 1);
        catalog.routes.put("one", route("h", "/one/"), 1);
        catalog.upstreams.put("a1", at("a", 1), 1);
        catalog.has_workspaces = true;
        catalog.workspaces.put("acme", workspace(&["a1"]), 1);
        let runtime = tokio::runtime::Builder::new_current_thread().build();
        let duty = Self {
            ring: sender,
            courier,
            runtime: runtime.unwrap(),
            catalog,
        };
        duty.update();
        duty
    }

    fn update(&self) {
        let view = CatalogView {
            catalog: Arc::new(self.catalog.clone()),
            control: Arc::default(),
            zones: Arc::default(),
            leader: None,
        };
        let message = Message::CatalogUpdate(Box::new(view));
        self.ring.send(message).unwrap();
    }

    /// Sends a request with an API key.
    fn ask(&self, key: &str) -> (Receiver<Outcome>, Guard) {
        let (reply, outcome) = mpsc::channel();
        let (guard, cancel) = cancel::channel();
        let payload = Payload {
            method: "GET".into(),
            target: "/one/x".into(),
            headers: Vec::new(),
            body: "".into(),
        };
        let request = Request {
            name: "7".to_owned(),
            host: "h".to_owned(),
            affinity: None,
            credential: credential(key),
            timeout_ms: None,
            payload: Arc::new(payload),
            cancel,
            reply: Box::new(move |outcome| drop(reply.send(outcome))),
        };
        let message = Message::Request(Box::new(request));
        self.ring.send(message).unwrap();
        (outcome, guard)
    }

    fn dispatched(&mut self) -> Dispatch {
        let next = self.courier.recv();
        self.runtime.block_on(next).unwrap()
    }
}

fn refused(outcome: &Receiver<Outcome>) -> (Reason, Ran) {
    let refusal = outcome.recv_timeout(WAIT).unwrap().unwrap_err();
    (refusal.reason, refusal.ran)
}

/// Guards against an attempt that waits at the courier while its caller's key is removed, and is sent as that caller.
#[test]
fn the_attempt_of_a_removed_key_is_taken_back_from_the_courier() {
    let mut duty = Duty::start();
    duty.ring.send(Message::ControlReachable(true)).unwrap();
    let (outcome, _guard) = duty.ask("a1");
    let dispatch = duty.dispatched();
    assert!(dispatch.caller.is_checked);
    assert_eq!(dispatch.caller.workspace.as_deref(), Some("acme"));
    let revoked = dispatch.caller.revoked.clone().unwrap();
    assert!(!revoked.is_cancelled());
    duty.catalog.workspaces.put("acme", workspace(&["a2"]), 2);
    duty.update();
    let limit = Instant::now() + WAIT;
    while !revoked.is_cancelled() {
        assert!(Instant::now() < limit, "not taken back");
        std::thread::sleep(Duration::from_millis(5));
    }
    let report = Report {
        in_flight: dispatch.in_flight,
        target: dispatch.target.clone(),
        ended: Ended::Failed {
            reason: Reason::IdentityUnknown,
            ran: Ran::No,
            load: None,
        },
        notice: Notice::default(),
        answer: None,
        connect_us: None,
        took_us: 0,
    };
    let message = Message::AttemptEnded(Box::new(report));
    duty.ring.send(message).unwrap();
    assert_eq!(refused(&outcome), (Reason::Unauthorized, Ran::No));
}

/// Guards against a new key that gets 401 while this VM cannot learn of it, and against 503 for a wrong key while it can.
#[test]
fn unknown_keys_are_refused_for_good_only_while_control_vms_can_be_reached() {
    let duty = Duty::start();
    for (is_reachable, expected) in [
        (None, Reason::IdentityUnknown),
        (Some(true), Reason::Unauthorized),
        (Some(false), Reason::IdentityUnknown),
    ] {
        if let Some(is_reachable) = is_reachable {
            let message = Message::ControlReachable(is_reachable);
            duty.ring.send(message).unwrap();
        }
        let (outcome, _guard) = duty.ask("c1");
        assert_eq!(refused(&outcome), (expected, Ran::No), "{is_reachable:?}");
    }
}
