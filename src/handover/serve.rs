//! Peer methods by which other control VMs hand calls over to the leader.

use {
    crate::{
        agree::{Message, SubmitResult, Unavailable, size},
        catalog::Order,
        edge::rpc,
        policy::Rejection,
        ring::Sender,
    },
    base64::{Engine, prelude::BASE64_STANDARD},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    tokio::sync::oneshot,
};

/// Method that submits orders to the leader's log.
pub(super) const ORDERS_METHOD: &str = "handover.orders";
/// Method that does the same with compressed orders.
pub(super) const PACKED_ORDERS_METHOD: &str = "handover.packed_orders";
/// Method that returns the revision of the newest catalogue, confirmed by a quorum.
pub(super) const READ_METHOD: &str = "handover.read";

/// Orders that were handed over together.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HandedOrders {
    pub(super) orders: Vec<Order>,
}

/// Orders that were handed over together, as compressed JSON in base64.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PackedOrders {
    packed: String,
}

impl HandedOrders {
    /// The orders compressed, if they are too large for a message otherwise.
    ///
    /// # Errors
    /// They are too large also when compressed.
    pub(super) fn packed(&self) -> Result<Option<PackedOrders>, Rejection> {
        // Only configurations are large.
        let is_configuration = |order: &Order| matches!(order, Order::Configure { .. });
        if !self.orders.iter().any(is_configuration) {
            return Ok(None);
        }
        let json = serde_json::to_vec(self).unwrap_or_default();
        let packed = size::pack_large(&json)?;
        Ok(packed.map(|packed| PackedOrders {
            packed: BASE64_STANDARD.encode(packed),
        }))
    }
}

impl PackedOrders {
    fn unpack(&self) -> Option<HandedOrders> {
        let packed = BASE64_STANDARD.decode(&self.packed).ok()?;
        let json = size::unpack(&packed)?;
        serde_json::from_slice(&json).ok()
    }
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
    module.register_async_method(ORDERS_METHOD, move |params, _, _| {
        let ring = orders.clone();
        async move {
            let handed: HandedOrders = rpc::params(&params)?;
            let results = submit(&ring, handed.orders).await;
            Ok::<Result<Vec<SubmitResult>, Unavailable>, ErrorObjectOwned>(Ok(results))
        }
    })?;
    let packed = ring.clone();
    module.register_async_method(PACKED_ORDERS_METHOD, move |params, _, _| {
        let ring = packed.clone();
        async move {
            let packed: PackedOrders = rpc::params(&params)?;
            let Some(handed) = packed.unpack() else {
                let text = "packed: expected compressed orders";
                return Err(rpc::error(rpc::INVALID_PARAMS, text, ()));
            };
            let results = submit(&ring, handed.orders).await;
            Ok::<Result<Vec<SubmitResult>, Unavailable>, ErrorObjectOwned>(Ok(results))
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

/// Submits orders to the log of this replica; one result for each, in their order. All are offered before the
/// first result is awaited, so that they share a write.
pub(super) async fn submit(ring: &Sender<Message>, orders: Vec<Order>) -> Vec<SubmitResult> {
    let offer = |order| {
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |result| drop(tx.send(result)));
        let order = Box::new(order);
        let offered = ring.offer(Message::Order { order, reply });
        offered.is_ok().then_some(rx)
    };
    let offered: Vec<_> = orders.into_iter().map(offer).collect();
    let mut results = Vec::new();
    for offered in offered {
        results.push(match offered {
            Some(rx) => rx.await.unwrap_or(Err(Unavailable::Unknown)),
            None => Err(Unavailable::Busy),
        });
    }
    results
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
