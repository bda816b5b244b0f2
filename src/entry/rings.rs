//! The rings between the duties of an entry VM.

use {
    crate::{
        admin, announce, claims,
        context::Context,
        drain, explain, forward, lookup, membership, poison,
        relay::Dispatch,
        ring::{self, Inbox, Ring},
        shift, slots,
        spread::Subscribers,
    },
    std::sync::Arc,
    tokio::sync::watch,
};

/// The sending end of each duty's ring.
#[derive(Clone, Debug)]
pub(super) struct Rings {
    pub lookup: ring::Sender<lookup::Message>,
    pub announce: ring::Sender<announce::Message>,
    pub shift: ring::Sender<shift::Message>,
    pub poison: ring::Sender<poison::Message>,
    pub verdicts: watch::Receiver<Arc<poison::Verdicts>>,
    pub seen: membership::messages::MembersReceiver,
    pub claims: claims::Outputs,
    pub slots: ring::Sender<slots::Message>,
    pub membership: ring::Sender<membership::Message>,
    pub explain: ring::Sender<explain::Message>,
    pub out: slots::Outputs,
    pub peers: watch::Sender<Arc<Vec<forward::Peer>>>,
    pub shifted: watch::Sender<shift::ShiftedServices>,
}

/// The receiving end of each duty's ring.
pub(super) struct Ends {
    pub lookup: Ring<lookup::Message>,
    pub announce: Ring<announce::Message>,
    pub shift: Ring<shift::Message>,
    pub claims: Ring<claims::Message>,
    pub poison: Ring<poison::Message>,
    pub verdicts: watch::Sender<Arc<poison::Verdicts>>,
    pub ledgers: Inbox<claims::Broadcast>,
    pub slots: Ring<slots::Message>,
    pub explain: Ring<explain::Message>,
    pub drain: Ring<drain::Message>,
    pub relay: Inbox<Dispatch>,
    pub forward: Inbox<forward::Message>,
}

/// Makes every ring.
pub(super) fn rings(
    capacity: usize,
    membership: ring::Sender<membership::Message>,
    seen: membership::messages::MembersReceiver,
) -> (Rings, Ends) {
    let (lookup, lookup_end) = ring::bounded(capacity);
    let (announce, announce_end) = ring::bounded(capacity);
    let (shift, shift_end) = ring::bounded(capacity);
    let (poison, poison_end) = ring::bounded(capacity);
    let (verdicts_end, verdicts) = watch::channel(Arc::default());
    let (claims, claims_end) = ring::bounded(capacity);
    let (ledgers, ledgers_end) = ring::awaited(capacity);
    let (slots, slots_end) = ring::bounded(capacity);
    let (explain, explain_end) = ring::bounded(capacity);
    let (drain, drain_end) = ring::bounded(capacity);
    let (relay, relay_end) = ring::awaited(capacity);
    let (forward, forward_end) = ring::awaited(capacity);
    let wires = claims::Outputs {
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
        seen,
        claims: wires,
        slots,
        membership,
        explain,
        peers: watch::channel(Arc::default()).0,
        shifted: watch::channel(Arc::default()).0,
        out: slots::Outputs {
            relay,
            forward,
            drain,
        },
    };
    let ends = Ends {
        lookup: lookup_end,
        announce: announce_end,
        shift: shift_end,
        claims: claims_end,
        poison: poison_end,
        verdicts: verdicts_end,
        ledgers: ledgers_end,
        slots: slots_end,
        explain: explain_end,
        drain: drain_end,
        relay: relay_end,
        forward: forward_end,
    };
    (rings, ends)
}

impl Rings {
    /// The duties after the shift duty.
    pub fn dispatcher(&self, context: &Context) -> shift::Dispatcher {
        shift::Dispatcher {
            topology: Arc::clone(&context.topology),
            claims: self.claims.claims.clone(),
            slots: self.slots.clone(),
        }
    }

    /// The duties that act on the configuration.
    pub fn subscribers(&self) -> Subscribers {
        Subscribers {
            announce: self.announce.clone(),
            lookup: self.lookup.clone(),
            shift: self.shift.clone(),
            slots: self.slots.clone(),
            membership: self.membership.clone(),
        }
    }

    /// Reads how many messages wait in each ring.
    pub fn depths(&self) -> admin::Depths {
        let rings = self.clone();
        admin::Depths::new(move || {
            vec![
                ("ring_announce", rings.announce.depth()),
                ("ring_claims", rings.claims.claims.depth()),
                ("ring_claims_send", rings.claims.ledgers.depth()),
                ("ring_drain", rings.out.drain.depth()),
                ("ring_explain", rings.explain.depth()),
                ("ring_forward", rings.out.forward.depth()),
                ("ring_lookup", rings.lookup.depth()),
                ("ring_membership", rings.membership.depth()),
                ("ring_poison", rings.poison.depth()),
                ("ring_relay", rings.out.relay.depth()),
                ("ring_shift", rings.shift.depth()),
                ("ring_slots", rings.slots.depth()),
            ]
        })
    }
}
