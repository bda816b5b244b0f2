//! Handler for peers: `/rpc` with the methods that the duties registered, and `/forward`.

use {
    crate::{
        context::Context,
        edge::{Handler, Outgoing, rpc},
        forward,
        membership::Lease,
        ring::Sender,
        shift, slots,
    },
    jsonrpsee::RpcModule,
    std::rc::Rc,
};

/// Builds the handler for peers of this VM. Forwarded requests go to `slots`: they were routed by the
/// entry VM that received them from the caller.
#[must_use]
pub fn handler(
    context: Context,
    lease: Lease,
    module: RpcModule<()>,
    slots: Sender<slots::Message>,
    shift: Sender<shift::Message>,
) -> Handler {
    let methods = rpc::handler(module);
    let shared = Rc::new((context, lease));
    Rc::new(move |incoming| match incoming.path() {
        b"/rpc" => methods(incoming),
        b"/forward" => {
            let (shared, slots) = (Rc::clone(&shared), slots.clone());
            let shift = shift.clone();
            Box::pin(async move {
                let (context, lease) = &*shared;
                forward::receive(context, lease, &slots, &shift, &incoming.body).await
            })
        }
        _ => Box::pin(async { Outgoing::refusal(404, "unknown_path") }),
    })
}
