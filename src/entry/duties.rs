//! Starts the threads of an entry VM.

use {
    super::{
        rings::{Ends, Rings},
        settings::Settings,
        wiring::{StartError, ThreadSnafu},
    },
    crate::{
        announce, claims,
        context::Context,
        drain,
        edge::Secret,
        explain, forward, lookup, poison, relay, shift, slots,
        spread::{self, Dependencies},
    },
    snafu::ResultExt,
    std::{io, sync::Arc, thread::JoinHandle},
    tokio::sync::{oneshot, watch},
};

/// What every part of an entry VM is built from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Base<'a> {
    pub context: &'a Context,
    pub settings: &'a Settings,
    pub rings: &'a Rings,
    pub secret: &'a Secret,
}

/// Ends the duties that hold each other's rings: each waits on one channel, which closes when
/// this is dropped.
#[derive(Debug, Default)]
pub(super) struct Stops {
    senders: Vec<oneshot::Sender<()>>,
}

impl Stops {
    /// A channel that closes with the process.
    pub fn stop(&mut self) -> oneshot::Receiver<()> {
        let (sender, stopped) = oneshot::channel();
        self.senders.push(sender);
        stopped
    }
}

/// Starts the duties that only talk over rings and to upstreams or peers.
pub(super) fn duties(
    base: Base,
    ends: Ends,
    tables: watch::Sender<Arc<lookup::Ranking>>,
    stops: &mut Stops,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let Base {
        context,
        settings,
        rings,
        secret,
    } = base;
    let slots = || rings.slots.clone();
    let named = |name, thread: io::Result<JoinHandle<()>>| thread.context(ThreadSnafu { name });
    let lookup = lookup::spawn(context.clone(), settings.lookup, ends.lookup, tables);
    let announce = announce::spawn(context.clone(), settings.announce, ends.announce, slots());
    let claims = claims::spawn(
        context.clone(),
        settings.claims.clone(),
        ends.claims,
        rings.claims.clone(),
        stops.stop(),
    );
    let send = claims::send::spawn(
        context.clone(),
        settings.claims.clone(),
        secret.clone(),
        ends.ledgers,
        rings.claims.claims.clone(),
        stops.stop(),
    );
    let shift = shift::spawn(
        context.clone(),
        settings.shift,
        ends.shift,
        rings.dispatcher(context),
        rings.shifted.clone(),
    );
    let sources = shift::Sources {
        shift: rings.shift.clone(),
        peers: rings.peers.subscribe(),
    };
    let headroom = shift::spawn_headroom(
        context.clone(),
        settings.shift,
        secret.clone(),
        sources,
        stops.stop(),
    );
    let placing = slots::spawn(
        context.clone(),
        settings.slots,
        ends.slots,
        rings.out.clone(),
    );
    let guard = poison::Guard {
        topology: Arc::clone(&context.topology),
        verdicts: rings.verdicts.clone(),
        ring: rings.poison.clone(),
    };
    let relay = relay::spawn(
        context,
        settings.relay,
        ends.relay,
        slots(),
        guard,
        stops.stop(),
    );
    let poison = poison::spawn(
        context.clone(),
        settings.poison,
        poison::Dependencies {
            secret: secret.clone(),
            members: rings.seen.clone(),
        },
        ends.poison,
        ends.verdicts,
        [stops.stop(), stops.stop()],
    );
    let [poison_send, poison] = poison.context(ThreadSnafu { name: "poison" })?;
    let forward = forward::spawn(
        context.clone(),
        settings.forward,
        secret.clone(),
        ends.forward,
        slots(),
        stops.stop(),
    );
    let drain = drain::spawn(context.clone(), ends.drain);
    let explain = explain::spawn(settings.explain, ends.explain);
    Ok(vec![
        poison_send,
        poison,
        named("drain", drain)?,
        named("explain", explain)?,
        named("lookup", lookup)?,
        named("announce", announce)?,
        named("shift", shift)?,
        named("claims", claims)?,
        named("claims-send", send)?,
        named("headroom", headroom)?,
        named("slots", placing)?,
        named("relay", relay)?,
        named("forward", forward)?,
    ])
}

/// Starts the duty that follows the configuration.
pub(super) fn follow(
    base: Base,
    deps: Dependencies,
    stops: &mut Stops,
) -> Result<JoinHandle<()>, StartError> {
    let (context, secret) = (base.context.clone(), base.secret.clone());
    let settings = base.settings.spread.clone();
    let thread = spread::spawn(context, settings, secret, deps, stops.stop());
    thread.context(ThreadSnafu { name: "spread" })
}
