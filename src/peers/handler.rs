//! Serves `/rpc` with the methods that duties registered, and `/forward`.

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

/// Serves the peers of this VM. Forwarded requests go to `slots`: their way was decided where
/// they entered the system.
#[must_use]
pub fn handler(
    context: Context,
    lease: Lease,
    module: RpcModule<()>,
    slots: Sender<slots::Message>,
    shift: Sender<shift::Message>,
) -> Handler {
    let methods = rpc::handler(module);
    let context = Rc::new((context, lease));
    Rc::new(move |incoming| match incoming.path() {
        b"/rpc" => methods(incoming),
        b"/forward" => {
            let (context, slots) = (Rc::clone(&context), slots.clone());
            let shift = shift.clone();
            Box::pin(async move {
                let (context, lease) = &*context;
                forward::receive(context, lease, &slots, &shift, &incoming.body).await
            })
        }
        _ => Box::pin(async { Outgoing::refusal(404, "unknown_path") }),
    })
}
