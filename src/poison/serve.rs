//! RPC methods of the poison duty on the peer listener.

use {
    super::messages::{Charge, Lift, Message},
    crate::{edge::rpc, ring::Sender},
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
};

/// Method that charges a request with a lost upstream.
pub(super) const CHARGE: &str = "poison.charge";
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
        let charge: Charge = rpc::params(&params)?;
        offer(&ring, Message::Charged(charge))
    })?;
    let ring = poison.clone();
    module.register_method(LIFT, move |params, _, _| {
        let lift: Lift = rpc::params(&params)?;
        let notify_peers = false;
        offer(&ring, Message::Lift { lift, notify_peers })
    })?;
    Ok(())
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
