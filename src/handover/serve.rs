//! Peer methods by which other control VMs hand calls over to the leader.

use {
    crate::{
        agree::{Message, SubmitResult, Unavailable},
        catalog::Order,
        edge::rpc,
        ring::Sender,
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    tokio::sync::oneshot,
};

/// Method that submits an order to the leader's log.
pub(super) const ORDER_METHOD: &str = "handover.order";
/// Method that returns the revision of the newest catalogue, confirmed by a quorum.
pub(super) const READ_METHOD: &str = "handover.read";

/// An order that was handed over.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HandedOrder {
    pub(super) order: Order,
}

/// A read that was handed over.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct HandedRead {}

/// Adds the methods to the module of a peer listener.
///
/// # Errors
/// A method of the same name is registered already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    ring: Sender<Message>,
) -> Result<(), RegisterMethodError> {
    let orders = ring.clone();
    module.register_async_method(ORDER_METHOD, move |params, _, _| {
        let ring = orders.clone();
        async move {
            let handed: HandedOrder = rpc::params(&params)?;
            Ok::<SubmitResult, ErrorObjectOwned>(submit(&ring, Box::new(handed.order)).await)
        }
    })?;
    module.register_async_method(READ_METHOD, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let HandedRead {} = rpc::params(&params)?;
            Ok::<Result<u64, Unavailable>, ErrorObjectOwned>(read(&ring).await)
        }
    })?;
    Ok(())
}

/// Submits an order to the log of this replica.
pub(super) async fn submit(ring: &Sender<Message>, order: Box<Order>) -> SubmitResult {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |result| drop(tx.send(result)));
    if ring.offer(Message::Order { order, reply }).is_err() {
        return Err(Unavailable::Busy);
    }
    rx.await.unwrap_or(Err(Unavailable::Unknown))
}

/// Revision of the newest catalogue, if this replica leads.
pub(super) async fn read(ring: &Sender<Message>) -> Result<u64, Unavailable> {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |result| drop(tx.send(result)));
    if ring.offer(Message::Read { reply }).is_err() {
        return Err(Unavailable::Busy);
    }
    let policy = rx.await.unwrap_or(Err(Unavailable::Busy))?;
    Ok(policy.catalog.revision)
}
