//! Starts the duties of an entry VM.

use {
    super::{
        rings::{Receivers, Rings},
        settings::Settings,
        wiring::{StartError, ThreadSnafu},
    },
    crate::{
        announce, claims,
        context::Context,
        drain,
        edge::Secret,
        explain, forward, lookup,
        membership::messages::MembersReceiver,
        poison, relay, shift, slots,
        spread::{self, Dependencies},
    },
    snafu::ResultExt,
    std::{io, sync::Arc, thread::JoinHandle},
    tokio::sync::{oneshot, watch},
};

/// Data that all start functions of an entry VM use.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartInputs<'a> {
    pub context: &'a Context,
    pub settings: &'a Settings,
    pub rings: &'a Rings,
    pub secret: &'a Secret,
}

/// Stops the duties whose rings do not close by themselves, as these duties hold senders to each
/// other. Each of their threads awaits a channel that closes when this is dropped.
#[derive(Debug, Default)]
pub(super) struct StopSignals {
    senders: Vec<oneshot::Sender<()>>,
}

impl StopSignals {
    /// Returns a channel that closes when the stop signals are dropped.
    pub fn subscribe(&mut self) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        self.senders.push(sender);
        receiver
    }
}

/// Starts all duties except spread, ledger and membership.
pub(super) fn start_duties(
    inputs: StartInputs,
    rx: Receivers,
    rankings: watch::Sender<Arc<lookup::Ranking>>,
    stop_signals: &mut StopSignals,
) -> Result<Vec<JoinHandle<()>>, StartError> {
    let StartInputs {
        context,
        settings,
        rings,
        secret,
    } = inputs;
    let slots_tx = || rings.slots.clone();
    let with_name = |name, thread: io::Result<JoinHandle<()>>| thread.context(ThreadSnafu { name });
    let lookup = lookup::spawn(context.clone(), settings.lookup, rx.lookup, rankings);
    let announce = announce::spawn(context.clone(), settings.announce, rx.announce, slots_tx());
    let claims = claims::spawn(
        context.clone(),
        settings.claims.clone(),
        rx.claims,
        rings.claims.clone(),
        stop_signals.subscribe(),
    );
    let claims_send = claims::send::spawn(
        context.clone(),
        settings.claims.clone(),
        secret.clone(),
        rx.ledgers,
        rings.claims.claims.clone(),
        stop_signals.subscribe(),
    );
    let shift = shift::spawn(
        context.clone(),
        settings.shift,
        rx.shift,
        rings.dispatcher(context),
        rings.shifted.clone(),
    );
    let headroom_inputs = shift::HeadroomInputs {
        shift: rings.shift.clone(),
        peers: rings.peers.subscribe(),
    };
    let headroom = shift::spawn_headroom(
        context.clone(),
        settings.shift,
        secret.clone(),
        headroom_inputs,
        stop_signals.subscribe(),
    );
    let slots_thread = slots::spawn(
        context.clone(),
        settings.slots,
        rx.slots,
        rings.slots_outputs.clone(),
    );
    let monitor = poison::Monitor {
        verdicts: rings.verdicts.clone(),
        ring: rings.poison.clone(),
    };
    let topology = Arc::clone(&context.topology);
    let guard = poison::Guard { topology, monitor };
    let relay = relay::spawn(
        context,
        settings.relay,
        rx.relay,
        slots_tx(),
        guard,
        stop_signals.subscribe(),
    );
    let poison = poison::spawn(
        context.clone(),
        settings.poison,
        poison::Dependencies {
            secret: secret.clone(),
            recipients: zone_peers(context, rings.members.clone()),
        },
        rx.poison,
        rx.verdicts,
        [stop_signals.subscribe(), stop_signals.subscribe()],
    );
    let [poison_send, poison] = poison.context(ThreadSnafu { name: "poison" })?;
    let forward = forward::spawn(
        context.clone(),
        settings.forward,
        secret.clone(),
        rx.forward,
        slots_tx(),
        stop_signals.subscribe(),
    );
    let drain = drain::spawn(context.clone(), rx.drain);
    let explain = explain::spawn(settings.explain, rx.explain);
    Ok(vec![
        poison_send,
        poison,
        with_name("drain", drain)?,
        with_name("explain", explain)?,
        with_name("lookup", lookup)?,
        with_name("announce", announce)?,
        with_name("shift", shift)?,
        with_name("claims", claims)?,
        with_name("claims-send", claims_send)?,
        with_name("headroom", headroom)?,
        with_name("slots", slots_thread)?,
        with_name("relay", relay)?,
        with_name("forward", forward)?,
    ])
}

/// Starts the spread duty, which fetches the configuration.
pub(super) fn start_spread(
    inputs: StartInputs,
    deps: Dependencies,
    stop_signals: &mut StopSignals,
) -> Result<JoinHandle<()>, StartError> {
    let (context, secret) = (inputs.context.clone(), inputs.secret.clone());
    let settings = inputs.settings.spread.clone();
    let thread = spread::spawn(context, settings, secret, deps, stop_signals.subscribe());
    thread.context(ThreadSnafu { name: "spread" })
}

/// The other entry VMs of the availability zone, which count charges by themselves.
fn zone_peers(context: &Context, members: MembersReceiver) -> poison::Recipients {
    let (zone, local) = (context.zone, Arc::clone(&context.vm));
    poison::Recipients::All(Box::new(move || {
        let members = members.borrow();
        let rows = members.rows.iter();
        let peers = rows.filter(|row| row.zone == zone && *row.name != *local);
        peers.map(|row| row.peers).collect()
    }))
}
