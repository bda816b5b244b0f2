//! Rings and watch channels between the duties of an entry VM.

use {
    crate::{
        admin, announce, claims,
        context::Context,
        drain, explain, forward, lookup, membership, poison,
        relay::Dispatch,
        ring::{self, AsyncReceiver, Ring},
        shift, slots,
        spread::Subscribers,
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// Senders to the duties, and the watch channels that connect them.
#[derive(Clone, Debug)]
pub(super) struct Rings {
    pub lookup: ring::Sender<lookup::Message>,
    pub announce: ring::Sender<announce::Message>,
    pub shift: ring::Sender<shift::Message>,
    pub poison: ring::Sender<poison::Message>,
    pub verdicts: watch::Receiver<Arc<poison::Verdicts>>,
    pub members: membership::messages::MembersReceiver,
    pub claims: claims::Outputs,
    pub slots: ring::Sender<slots::Message>,
    pub membership: ring::Sender<membership::Message>,
    pub explain: ring::Sender<explain::Message>,
    pub slots_outputs: slots::Outputs,
    pub peers: watch::Sender<Arc<Vec<forward::Peer>>>,
    pub shifted: watch::Sender<shift::ShiftedServices>,
}

/// Receivers of the duties, and the sender with which the poison duty publishes its verdicts.
pub(super) struct Receivers {
    pub lookup: Ring<lookup::Message>,
    pub announce: Ring<announce::Message>,
    pub shift: Ring<shift::Message>,
    pub claims: Ring<claims::Message>,
    pub poison: Ring<poison::Message>,
    pub verdicts: watch::Sender<Arc<poison::Verdicts>>,
    pub ledgers: AsyncReceiver<claims::Broadcast>,
    pub slots: Ring<slots::Message>,
    pub explain: Ring<explain::Message>,
    pub drain: Ring<drain::Message>,
    pub relay: AsyncReceiver<Dispatch>,
    pub forward: AsyncReceiver<forward::Message>,
}

/// Creates the rings and watch channels.
pub(super) fn rings(
    capacity: usize,
    membership: ring::Sender<membership::Message>,
    members: membership::messages::MembersReceiver,
) -> (Rings, Receivers) {
    let (lookup, lookup_rx) = ring::bounded(capacity);
    let (announce, announce_rx) = ring::bounded(capacity);
    let (shift, shift_rx) = ring::bounded(capacity);
    let (poison, poison_rx) = ring::bounded(capacity);
    let (verdicts_tx, verdicts) = watch::channel(Arc::default());
    let (claims, claims_rx) = ring::bounded(capacity);
    let (ledgers, ledgers_rx) = ring::bounded_async(capacity);
    let (slots, slots_rx) = ring::bounded(capacity);
    let (explain, explain_rx) = ring::bounded(capacity);
    let (drain, drain_rx) = ring::bounded(capacity);
    let (relay, relay_rx) = ring::bounded_async(capacity);
    let (forward, forward_rx) = ring::bounded_async(capacity);
    let claims_outputs = claims::Outputs {
        claims,
        ledgers,
        slots: slots.clone(),
    };
    let rings = Rings {
        lookup,
        announce,
        shift,
        poison,
        verdicts,
        members,
        claims: claims_outputs,
        slots,
        membership,
        explain,
        peers: watch::channel(Arc::default()).0,
        shifted: watch::channel(Arc::default()).0,
        slots_outputs: slots::Outputs {
            relay,
            forward,
            drain,
        },
    };
    let receivers = Receivers {
        lookup: lookup_rx,
        announce: announce_rx,
        shift: shift_rx,
        claims: claims_rx,
        poison: poison_rx,
        verdicts: verdicts_tx,
        ledgers: ledgers_rx,
        slots: slots_rx,
        explain: explain_rx,
        drain: drain_rx,
        relay: relay_rx,
        forward: forward_rx,
    };
    (rings, receivers)
}

impl Rings {
    /// Returns the dispatcher to the duties that process a request after the shift duty.
    pub fn dispatcher(&self, context: &Context) -> shift::Dispatcher {
        shift::Dispatcher {
            topology: Arc::clone(&context.topology),
            claims: self.claims.claims.clone(),
            slots: self.slots.clone(),
        }
    }

    /// Returns the senders to the duties that receive the configuration.
    pub fn subscribers(&self) -> Subscribers {
        Subscribers {
            announce: self.announce.clone(),
            lookup: self.lookup.clone(),
            shift: self.shift.clone(),
            slots: self.slots.clone(),
            membership: self.membership.clone(),
        }
    }

    /// Returns a reader of the number of queued messages per ring.
    pub fn depths(&self) -> admin::RingDepths {
        let rings = self.clone();
        admin::RingDepths::new(move || {
            vec![
                ("ring_announce", rings.announce.depth()),
                ("ring_claims", rings.claims.claims.depth()),
                ("ring_claims_send", rings.claims.ledgers.depth()),
                ("ring_drain", rings.slots_outputs.drain.depth()),
                ("ring_explain", rings.explain.depth()),
                ("ring_forward", rings.slots_outputs.forward.depth()),
                ("ring_lookup", rings.lookup.depth()),
                ("ring_membership", rings.membership.depth()),
                ("ring_poison", rings.poison.depth()),
                ("ring_relay", rings.slots_outputs.relay.depth()),
                ("ring_shift", rings.shift.depth()),
                ("ring_slots", rings.slots.depth()),
            ]
        })
    }
}
