//! Tests of calls that wait for each other on their way to the leader.

use {
    crate::{
        agree::{SubmitResult, Unavailable},
        catalog::{
            ChangeId, Configuration, Edit, Order, last_reports::LastReports, serve::Source,
            tests::upstream,
        },
        context::Context,
        edge::{self, LOOPBACK, Limits, Listener, ListenerHandle, Secret, rpc},
        handover::{
            self, Dependencies, Message,
            serve::{HandedOrders, ORDERS_METHOD},
        },
        keys::ZoneKey,
        policy::Accepted,
        ring::{self, AsyncSender},
    },
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    std::{future, net::SocketAddr, sync::Arc, sync::mpsc, time::Duration},
    tokio::sync::watch,
};

const WAIT: Duration = Duration::from_secs(30);

fn secret() -> Secret {
    Secret::new("secret-of-the-tests-of-handover")
}

/// A leader that answers the orders of operators, and never those of upstreams.
fn leader(context: &Context) -> ListenerHandle {
    let mut module = RpcModule::new(());
    let answer = async |handed: HandedOrders| {
        if handed.orders.iter().any(|order| order.summary().is_none()) {
            future::pending::<()>().await;
        }
        let accepted = Accepted { version: 1 };
        let rows: Vec<SubmitResult> = handed.orders.iter().map(|_| Ok(Ok(accepted))).collect();
        Ok::<Result<Vec<SubmitResult>, Unavailable>, ErrorObjectOwned>(Ok(rows))
    };
    module
        .register_async_method(ORDERS_METHOD, move |params, _, _| async move {
            answer(rpc::params(&params)?).await
        })
        .unwrap();
    let listener = Listener {
        name: "peers",
        address: LOOPBACK,
        limits: Limits::default(),
        secret: Some(secret()),
    };
    edge::spawn(listener, context.clone(), move || rpc::handler(module)).unwrap()
}

/// Starts the duty on a control VM that knows the leader.
fn start(context: &Context, leader: SocketAddr) -> AsyncSender<Message> {
    let (ring, _) = ring::bounded(1);
    let source = Source {
        policies: watch::channel(Arc::default()).1,
        is_current: watch::channel(true).1,
        is_led: watch::channel(true).1,
        led_until: Arc::default(),
        clock: context.clock,
        members: watch::channel(Arc::default()).1,
        control: watch::channel(Arc::default()).1,
        leader: watch::channel(Some(leader)).1,
        entries: watch::channel(Arc::default()).1,
        last_reports: LastReports::default(),
        ring,
    };
    let dependencies = Dependencies {
        context: context.clone(),
        local: LOOPBACK,
        secret: secret(),
        source,
    };
    let (sender, receiver) = ring::bounded_async(4_096);
    handover::spawn(dependencies, receiver).unwrap();
    sender
}

/// Guards against an operator's order that waits until its caller gives up, behind the reports of many upstreams.
#[test]
fn an_operators_order_does_not_wait_for_reports_of_upstreams() {
    let context = Context::new("control-1", ZoneKey(0), Arc::default());
    let leader = leader(&context);
    let sender = start(&context, leader.address);
    let (results, received) = mpsc::channel();
    for number in 0..2_000 {
        let order = Box::new(Order::Report {
            id: format!("u{number}"),
            upstream: upstream("10.0.0.1:80", 1, 1),
        });
        let results = results.clone();
        let reply = Box::new(move |result: SubmitResult| drop(results.send((false, result))));
        assert!(sender.offer(Message::Order { order, reply }).is_ok());
    }
    let order = Box::new(Order::Configure {
        base: 0,
        version: 1,
        identity: ChangeId(1, 1),
        edit: Edit::Replace(Configuration::default()),
    });
    let reply = Box::new(move |result: SubmitResult| drop(results.send((true, result))));
    assert!(sender.offer(Message::Order { order, reply }).is_ok());
    // The reports are answered when their calls time out, the order before any of them.
    let (is_operators, result) = received.recv_timeout(WAIT).unwrap();
    assert!(is_operators, "{result:?}");
    assert!(matches!(result, Ok(Ok(_))), "{result:?}");
}
