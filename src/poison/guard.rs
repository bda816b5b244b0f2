//! What the relay asks and tells the poison duty. Costs nothing while no request is charged.

use {
    super::messages::Message,
    crate::{
        call::{Answer, Call, Ran, Reason},
        claims::encode::fingerprint,
        ledger::Fingerprint,
        relay::Failure,
        ring::Sender,
        settings::topology::Topology,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
};

/// Requests that are charged and those of them that are refused, both sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Charged with a loss at least.
    pub charged: Vec<Fingerprint>,
    /// Charged with so many that they are refused.
    pub poisoned: Vec<Fingerprint>,
}

/// The relay's way to the poison duty.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Request kinds.
    pub topology: Arc<Topology>,
    /// Latest verdicts.
    pub verdicts: watch::Receiver<Arc<Verdicts>>,
    /// The duty.
    pub ring: Sender<Message>,
}

impl Guard {
    /// Whether a request is to be refused, and what to tell its caller.
    #[must_use]
    pub fn refuse(&self, call: &Call) -> Option<Failure> {
        let verdicts = self.verdicts.borrow();
        if verdicts.poisoned.is_empty() {
            return None;
        }
        let found = verdicts.poisoned.binary_search(&fingerprint(call));
        found.is_ok().then(|| Failure {
            reason: Reason::Poisoned,
            ran: self.ran(call),
        })
    }

    /// A request under a claimed key is another one than those that crashed upstreams; without
    /// one it may be a resend of them.
    fn ran(&self, call: &Call) -> Ran {
        if self.topology.kind_row(call.meta.kind).once {
            Ran::No
        } else {
            Ran::Unknown
        }
    }

    /// Takes note of how an attempt ended.
    pub fn note(&self, call: &Call, address: SocketAddr, result: &Result<Answer, Failure>) {
        let message = match result {
            Ok(_) if self.is_charged(call) => Message::Answered(fingerprint(call)),
            Err(failure) if failure.reason == Reason::AnswerCut => Message::Cut {
                print: fingerprint(call),
                address,
            },
            _ => return,
        };
        // News beyond a full ring is lost; the next crash brings it again.
        let _ = self.ring.offer(message);
    }

    fn is_charged(&self, call: &Call) -> bool {
        let verdicts = self.verdicts.borrow();
        let charged = &verdicts.charged;
        !charged.is_empty() && charged.binary_search(&fingerprint(call)).is_ok()
    }
}
