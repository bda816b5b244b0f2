//! RPC methods of the poison duty on the peer listener.

use {
    super::messages::{Charges, Lift, Message},
    crate::{
        catalog::Order,
        edge::rpc,
        handover,
        ring::{AsyncSender, Sender},
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    tokio::sync::oneshot,
};

/// Method that charges requests with a lost upstream.
pub(super) const CHARGE: &str = "poison.charges";
/// Method that lifts charges.
pub(super) const LIFT: &str = "poison.lift";

/// Registers the methods on a peer listener's module.
///
/// # Errors
/// A method is already registered.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    poison: &Sender<Message>,
) -> Result<(), RegisterMethodError> {
    let ring = poison.clone();
    module.register_method(CHARGE, move |params, _, _| {
        let charges: Charges = rpc::params(&params)?;
        offer(&ring, Message::Charged(charges.charges))
    })?;
    let ring = poison.clone();
    module.register_method(LIFT, move |params, _, _| {
        let lift: Lift = rpc::params(&params)?;
        let notify_peers = false;
        offer(&ring, Message::Lift { lift, notify_peers })
    })?;
    Ok(())
}

/// Registers the methods on the peer listener of a control VM, which submits them to the log.
///
/// # Errors
/// A method is already registered.
pub fn register_orders<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    handover: &AsyncSender<handover::Message>,
) -> Result<(), RegisterMethodError> {
    let ring = handover.clone();
    module.register_async_method(CHARGE, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let Charges { charges } = rpc::params(&params)?;
            submit(&ring, Order::Charge { charges }).await
        }
    })?;
    let ring = handover.clone();
    module.register_async_method(LIFT, move |params, _, _| {
        let ring = ring.clone();
        async move {
            let Lift { fingerprint, base } = rpc::params(&params)?;
            submit(&ring, Order::Lift { fingerprint, base }).await
        }
    })?;
    Ok(())
}

async fn submit(
    ring: &AsyncSender<handover::Message>,
    order: Order,
) -> Result<(), ErrorObjectOwned> {
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |result| drop(tx.send(result)));
    let order = Box::new(order);
    let offered = ring.offer(handover::Message::Order { order, reply });
    match rx.await {
        Ok(Ok(Ok(_))) if offered.is_ok() => Ok(()),
        _ => Err(rpc::error(
            rpc::UNAVAILABLE,
            "the log did not accept the order",
            (),
        )),
    }
}

fn offer(ring: &Sender<Message>, message: Message) -> Result<(), ErrorObjectOwned> {
    let full = |_| {
        rpc::error(
            rpc::UNAVAILABLE,
            "the poison duty does not accept updates",
            (),
        )
    };
    ring.offer(message).map_err(full)
}
