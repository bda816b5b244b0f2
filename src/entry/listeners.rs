//! Starts the listeners of an entry VM.

use {
    super::{duties::StartInputs, watches::SharedState, wiring::StartError},
    crate::{
        admin, announce,
        callers::{self, Dependencies},
        claims,
        edge::{self, Handler, Listener, ListenerHandle},
        lookup, peers, shift,
    },
    jsonrpsee::RpcModule,
    std::sync::Arc,
    tokio::sync::watch,
};

/// Running listeners of an entry VM.
#[derive(Debug)]
pub(super) struct OpenListeners {
    pub callers: ListenerHandle,
    pub upstreams: ListenerHandle,
    pub peers: ListenerHandle,
    pub admin: ListenerHandle,
}

impl OpenListeners {
    /// Stops accepting connections, and waits until open requests have completed.
    pub fn join(self) {
        self.callers.join();
        self.upstreams.join();
        self.peers.join();
        self.admin.join();
    }
}

/// Starts the listeners.
pub(super) fn open_listeners(
    inputs: StartInputs,
    shared: &SharedState,
    rankings: watch::Receiver<Arc<lookup::Ranking>>,
    module: RpcModule<()>,
) -> Result<OpenListeners, StartError> {
    let StartInputs {
        context,
        settings,
        rings,
        secret,
    } = inputs;
    let addresses = settings.listeners;
    let start = |name, address, secret, make_handler: Box<dyn FnOnce() -> Handler + Send>| {
        let listener = Listener {
            name,
            address,
            limits: settings.vm.limits,
            secret,
        };
        edge::spawn(listener, context.clone(), make_handler)
    };
    let region = &context.topology.regions[usize::from(context.topology.region_of(context.zone).0)];
    let router = shift::Router {
        shift: rings.shift.clone(),
        dispatcher: rings.dispatcher(context),
        shifted: rings.shifted.subscribe(),
    };
    let callers_deps = Dependencies {
        context: context.clone(),
        lease: shared.lease.clone(),
        router,
        rankings,
        group: claims::home::local_group(&settings.claims.groups, region),
    };
    let (announce_context, announce) = (context.clone(), rings.announce.clone());
    let (peers_context, slots) = (context.clone(), rings.slots.clone());
    let lease = shared.lease.clone();
    let shift = rings.shift.clone();
    let admin_deps = admin::Dependencies {
        context: context.clone(),
        slots: Some(rings.slots.clone()),
        shift: Some(rings.shift.clone()),
        drain: Some(rings.slots_outputs.drain.clone()),
        poison: Some(rings.poison.clone()),
        depths: rings.depths(),
    };
    let callers = Box::new(move || callers::handler(callers_deps));
    let upstreams = Box::new(move || announce::handler(&announce_context, announce));
    let peers = Box::new(move || peers::handler(peers_context, lease, module, slots, shift));
    let admin = Box::new(move || admin::handler(admin_deps));
    Ok(OpenListeners {
        callers: start("callers", addresses.callers, None, callers)?,
        upstreams: start("upstreams", addresses.upstreams, None, upstreams)?,
        peers: start("peers", addresses.peers, Some(secret.clone()), peers)?,
        admin: start("admin", addresses.admin, None, admin)?,
    })
}
