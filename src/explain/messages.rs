//! Messages of the explain duty.

use {
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        keys::{KindKey, RequestId, ZoneKey},
    },
    std::net::SocketAddr,
};

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// This VM received the request from its caller.
    Entered {
        /// Kind of request.
        kind: KindKey,
        /// Version of the configuration in force.
        version: u64,
    },
    /// A shift moved the request to another zone.
    Shifted {
        /// Zone that is to serve the request.
        target: ZoneKey,
    },
    /// The request was dispatched to an upstream.
    Dispatched {
        /// Address of the upstream.
        address: SocketAddr,
        /// Number of the attempt, starting at one.
        attempt: u64,
    },
    /// The request was forwarded to a peer VM.
    Forwarded {
        /// Address of that VM's peer listener.
        address: SocketAddr,
    },
    /// An attempt failed.
    Failed {
        /// Reason of the failure.
        reason: Reason,
        /// Whether the upstream may have run the request.
        ran: Ran,
    },
    /// The caller received an upstream's response.
    Answered {
        /// HTTP status of the response.
        status: u16,
    },
    /// The caller received a refusal.
    Refused {
        /// Reason of the refusal.
        reason: Reason,
        /// Whether an upstream may have run the request.
        ran: Ran,
    },
}

/// Record of one decision: the request, the time and the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// Request that the decision concerns.
    pub request: RequestId,
    /// Time of the decision.
    pub at: Micros,
    /// Decision.
    pub step: Step,
}

/// Message to the explain duty.
pub enum Message {
    /// Records a decision.
    Note(Note),
    /// Requests the recorded decisions about a request, oldest first.
    Read {
        /// Request whose decisions are returned.
        request: RequestId,
        /// Receives the decisions; called once, on the thread of the duty.
        reply: Box<dyn FnOnce(Vec<Note>) + Send>,
    },
}
