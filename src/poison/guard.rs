//! Interface of the relay to the poison duty. Hashes requests only while some request is charged,
//! or when an upstream's connection is cut.

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

/// Fingerprints of charged requests and of those that are refused, both sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Requests charged with at least one loss.
    pub charged: Vec<Fingerprint>,
    /// Requests charged with enough losses to be refused.
    pub poisoned: Vec<Fingerprint>,
}

/// Handle of the relay to the poison duty.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Request kinds.
    pub topology: Arc<Topology>,
    /// Latest verdicts.
    pub verdicts: watch::Receiver<Arc<Verdicts>>,
    /// Ring of the duty.
    pub ring: Sender<Message>,
}

impl Guard {
    /// Failure to return for a poisoned request; `None` if the request may run.
    #[must_use]
    pub fn refusal(&self, call: &Call) -> Option<Failure> {
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

    /// A request of an at-most-once kind has a claim on its key, so it is not one of those that
    /// crashed upstreams; any other request may be a resend of one of them.
    fn ran(&self, call: &Call) -> Ran {
        if self.topology.kind_row(call.meta.kind).at_most_once {
            Ran::No
        } else {
            Ran::Unknown
        }
    }

    /// Reports the result of an attempt at an upstream to the duty, if it is relevant.
    pub fn record_result(
        &self,
        call: &Call,
        address: SocketAddr,
        result: &Result<Answer, Failure>,
    ) {
        let message = match result {
            Ok(_) if self.is_charged(call) => Message::Responded(fingerprint(call)),
            Err(failure) if failure.reason == Reason::AnswerCut => Message::Cut {
                fingerprint: fingerprint(call),
                address,
            },
            _ => return,
        };
        // If the ring is full, the report is lost; the next crash is reported again.
        let _ = self.ring.offer(message);
    }

    fn is_charged(&self, call: &Call) -> bool {
        let verdicts = self.verdicts.borrow();
        let charged = &verdicts.charged;
        !charged.is_empty() && charged.binary_search(&fingerprint(call)).is_ok()
    }
}
