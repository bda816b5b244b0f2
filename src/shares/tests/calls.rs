//! Calls between the duties of an entry VM and a control VM.

use {
    super::{call, row},
    crate::{
        catalog::{Workspace, last_reports::LastReports, serve::Source},
        context::Context,
        edge::{self, LOOPBACK, Limits, Listener, Secret, rpc},
        keys::ZoneKey,
        policy::Policy,
        ring,
        shares::{Settings, serve, thread},
    },
    jsonrpsee::RpcModule,
    std::{net::SocketAddr, sync::Arc, sync::mpsc, time::Duration},
    tokio::sync::{oneshot, watch},
};

const WAIT: Duration = Duration::from_secs(30);

fn policy() -> Policy {
    let mut policy = Policy::default();
    let workspace = Workspace {
        keys: Vec::new(),
        rank: None,
        rate: 1_000_000,
        burst: 0,
        homes: Vec::new(),
        source: String::new(),
    };
    let mut catalog = (*policy.catalog).clone();
    catalog.revision = 1;
    catalog.workspaces.put("a", workspace, 1);
    policy.catalog = Arc::new(catalog);
    policy
}

/// Guards against calls that the control VM's duty never gets, and against tokens from a control VM that does not lead.
#[test]
fn only_the_leader_grants_tokens() {
    let context = Context::new("one", ZoneKey(0), Arc::default());
    let local: SocketAddr = ([127, 0, 0, 1], 9).into();
    let (leader, leader_rx) = watch::channel(Some(local));
    let (agree, _agree) = ring::bounded(1);
    let source = Source {
        policies: watch::channel(Arc::new(policy())).1,
        is_current: watch::channel(true).1,
        is_led: watch::channel(true).1,
        led_until: Arc::default(),
        clock: context.clock,
        members: watch::channel(Arc::default()).1,
        control: watch::channel(Arc::default()).1,
        leader: leader_rx,
        entries: watch::channel(Arc::default()).1,
        last_reports: LastReports::default(),
        ring: agree,
    };
    let (shares, shares_ring) = ring::bounded(16);
    let settings = Settings::default();
    serve::spawn(context.clone(), settings, local, source, shares_ring).unwrap();
    let mut module = RpcModule::new(());
    serve::register(&mut module, shares).unwrap();
    let secret = Secret::new("secret-of-the-tests-of-shares");
    let listener = Listener {
        name: "peers",
        address: LOOPBACK,
        limits: Limits::default(),
        secret: Some(secret.clone()),
    };
    let listener = edge::spawn(listener, context.clone(), move || rpc::handler(module)).unwrap();
    let (calls, calls_receiver) = ring::bounded_async(4);
    let (answers, answers_rx) = mpsc::channel();
    let deps = thread::Dependencies {
        context,
        secret,
        leader: watch::channel(Some(listener.address)).1,
    };
    let (_stop, stopped) = oneshot::channel();
    let on_end = move |answer| answers.send(answer).unwrap();
    thread::spawn(deps, calls_receiver, on_end, stopped).unwrap();
    let ask = |sequence| {
        calls.offer(call("one", sequence, row(0, 0, 1))).unwrap();
        answers_rx.recv_timeout(WAIT).unwrap()
    };
    let is_granted = |sequence| ask(sequence).unwrap().rows[0].granted == 1;
    // The bucket is empty at first.
    assert!((1..1_000).any(is_granted));
    leader.send_replace(None);
    assert_eq!(ask(1_001), None);
}
