//! Interface of the relay to the poison duty.

use {
    super::{messages::Process, monitor::Monitor},
    crate::{
        call::{Answer, Call, Ran, Reason},
        claims::encode::fingerprint,
        relay::Failure,
        settings::topology::Topology,
    },
    std::{net::SocketAddr, sync::Arc},
};

/// Handle of the relay to the poison duty.
#[derive(Clone, Debug)]
pub struct Guard {
    /// Request kinds.
    pub topology: Arc<Topology>,
    /// Access to the duty.
    pub monitor: Monitor,
}

impl Guard {
    /// Failure to return for a poisoned request; `None` if the request may run.
    #[must_use]
    pub fn refusal(&self, call: &Call) -> Option<Failure> {
        let is_poisoned = self.monitor.is_poisoned(|| fingerprint(call));
        is_poisoned.then(|| Failure {
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
        match result {
            Ok(_) => self.monitor.record_response(|| fingerprint(call)),
            Err(failure) if failure.reason == Reason::AnswerCut => {
                let process = Process { address, born: 0 };
                self.monitor.record_cut(fingerprint(call), process);
            }
            Err(_) => {}
        }
    }
}
