//! Messages of the explain duty.

use {
    crate::{
        call::{Ran, Reason},
        clock::Micros,
        keys::{KindKey, RequestId, ZoneKey},
    },
    std::net::SocketAddr,
};

/// One decision about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It entered the system here.
    Entered {
        /// Kind of request.
        kind: KindKey,
        /// Version of the configuration in force.
        version: u64,
    },
    /// A shift moved it to another zone.
    Shifted {
        /// Zone that is to serve it.
        target: ZoneKey,
    },
    /// It was given to an upstream.
    Dispatched {
        /// Address of the upstream.
        address: SocketAddr,
        /// Number of the attempt, from one.
        attempt: u64,
    },
    /// It was sent to a peer VM.
    Forwarded {
        /// Address of the peer listener.
        address: SocketAddr,
    },
    /// An attempt brought no answer.
    Failed {
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        ran: Ran,
    },
    /// The caller got an upstream's answer.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The caller got a refusal.
    Refused {
        /// Why.
        reason: Reason,
        /// Whether it may have run.
        ran: Ran,
    },
}

/// A decision with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Note {
    /// Request that it concerns.
    pub request: RequestId,
    /// When it was made.
    pub at: Micros,
    /// What was decided.
    pub step: Step,
}

/// What the duty is told.
pub enum Message {
    /// A decision.
    Note(Note),
    /// Asks for the decisions about a request, oldest first.
    Read {
        /// The request.
        request: RequestId,
        /// Takes the decisions.
        reply: Box<dyn FnOnce(Vec<Note>) + Send>,
    },
}
