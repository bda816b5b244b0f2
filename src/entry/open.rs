//! Opens the listeners of an entry VM.

use {
    super::{duties::Base, links::Links, wiring::StartError},
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

/// The listeners.
#[derive(Debug)]
pub(super) struct Open {
    pub callers: ListenerHandle,
    pub upstreams: ListenerHandle,
    pub peers: ListenerHandle,
    pub admin: ListenerHandle,
}

impl Open {
    /// Stops accepting, and lets open requests end.
    pub fn join(self) {
        self.callers.join();
        self.upstreams.join();
        self.peers.join();
        self.admin.join();
    }
}

/// Opens the listeners.
pub(super) fn open(
    base: Base,
    links: &Links,
    tables: watch::Receiver<Arc<lookup::Ranking>>,
    module: RpcModule<()>,
) -> Result<Open, StartError> {
    let Base {
        context,
        settings,
        rings,
        secret,
    } = base;
    let addresses = settings.listeners;
    let listen = |name, address, secret, make: Box<dyn FnOnce() -> Handler + Send>| {
        let listener = Listener {
            name,
            address,
            limits: settings.vm.limits,
            secret,
        };
        edge::spawn(listener, context.clone(), make)
    };
    let region = &context.topology.regions[usize::from(context.topology.region_of(context.zone).0)];
    let router = shift::Router {
        shift: rings.shift.clone(),
        dispatcher: rings.dispatcher(context),
        shifted: rings.shifted.subscribe(),
    };
    let front = Dependencies {
        context: context.clone(),
        lease: links.lease.clone(),
        router,
        rankings: tables,
        group: claims::home::local_group(&settings.claims.groups, region),
    };
    let (told, announce) = (context.clone(), rings.announce.clone());
    let (served, slots) = (context.clone(), rings.slots.clone());
    let lease = links.lease.clone();
    let arrivals = rings.shift.clone();
    let board = admin::Board {
        context: context.clone(),
        slots: Some(rings.slots.clone()),
        shift: Some(rings.shift.clone()),
        drain: Some(rings.out.drain.clone()),
        poison: Some(rings.poison.clone()),
        depths: rings.depths(),
    };
    let callers = Box::new(move || callers::handler(front));
    let upstreams = Box::new(move || announce::handler(&told, announce));
    let peers = Box::new(move || peers::handler(served, lease, module, slots, arrivals));
    let admin = Box::new(move || admin::handler(board));
    Ok(Open {
        callers: listen("callers", addresses.callers, None, callers)?,
        upstreams: listen("upstreams", addresses.upstreams, None, upstreams)?,
        peers: listen("peers", addresses.peers, Some(secret.clone()), peers)?,
        admin: listen("admin", addresses.admin, None, admin)?,
    })
}
