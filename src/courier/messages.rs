//! Messages of the courier duty, and the wire format that a front end supplies.

use {
    crate::{
        backpressure::Notice,
        call::{Answer, Payload, Ran, Reason},
        cancel::Cancel,
        clock::Micros,
        keys::{InFlightKey, UpstreamKey},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, http::response::Parts},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Destination of an attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Name of the upstream that is expected at the address.
    pub id: Arc<str>,
    /// Incarnation of the upstream, 0 if unknown.
    pub born: u64,
    /// Key of the upstream.
    pub key: UpstreamKey,
}

/// What is known of the caller of an attempt.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    /// Whether callers need an API key. If so, upstreams must learn the caller's identity only from this system.
    pub is_checked: bool,
    /// Name of the caller's workspace.
    pub workspace: Option<Arc<str>>,
    /// Signals that the caller is no longer identified as that workspace. An attempt that has been sent continues.
    pub revoked: Option<Cancel>,
}

/// An attempt to dispatch.
#[derive(Debug)]
pub struct Dispatch {
    /// Key of the request, returned in the [`Report`]; all attempts of a request share it.
    pub in_flight: InFlightKey,
    /// Destination of the attempt.
    pub target: Target,
    /// When to abandon the attempt.
    pub until: Micros,
    /// The request to send.
    pub payload: Arc<Payload>,
    /// What is known of the caller.
    pub caller: Caller,
    /// Cancels the attempt when the caller disconnects.
    pub cancel: Cancel,
}

/// Load that an upstream reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it is processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// How long work takes on its machine at this moment, in percent of the usual time; `None` if not reported.
    pub slow_percent: Option<u32>,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The upstream returned a complete response.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// Load that the upstream reported.
        load: Option<Load>,
    },
    /// Another upstream listens at the address; the request was not run.
    Misdirected,
    /// There is no response to deliver.
    Failed {
        /// Reason of the failure.
        reason: Reason,
        /// Whether the upstream may have run the request.
        ran: Ran,
        /// Load that the upstream reported.
        load: Option<Load>,
    },
}

/// What the head of a response states about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The request was run.
    Answer,
    /// The response belongs to another request.
    Mismatch,
    /// The upstream reports that it did not run the request.
    NotRun,
    /// Another upstream listens at the address.
    Misdirected,
}

/// Decoded head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// What it states about the request.
    pub meaning: Meaning,
    /// Whether the response may be delivered as it is: a success carries the upstream's proof that it generated the
    /// response itself, if one is required, and no status promises callers more than the upstream states.
    pub has_proof: bool,
    /// Whether it names the request, or the request has no name.
    pub names_request: bool,
    /// Load that the upstream reports.
    pub load: Option<Load>,
    /// Whether the upstream is shutting down and accepts no further requests.
    pub is_leaving: bool,
    /// Time for which the upstream asks for no further requests.
    pub rest: Option<Duration>,
    /// Milliseconds for which the upstream keeps an idle connection open, if it states them; zero
    /// if it closes the connection after this response.
    pub idle_ms: Option<u64>,
}

/// Encodes a request of a caller, given the milliseconds that remain until its deadline; returns `None` if it
/// cannot be encoded.
pub type Encode = fn(&Payload, &Target, &Caller, u64) -> Option<Request<Full<Bytes>>>;
/// Decodes the head of the response to a request.
pub type Decode = fn(&Parts, &Payload) -> Head;

/// Name of a request, which the upstream returns in its response; `None` if it has none. All attempts of a
/// request share it.
pub type Name = fn(&Payload) -> Option<&[u8]>;

/// Functions that encode requests to upstreams and decode the heads of responses.
#[derive(Clone, Copy, Debug)]
pub struct WireFormat {
    /// Reads the name of a request.
    pub name: Name,
    /// Encodes a request.
    pub encode: Encode,
    /// Decodes the head of a response.
    pub decode: Decode,
}

/// Result of an attempt, reported by the courier duty.
#[derive(Debug)]
pub struct Report {
    /// Key of the request, from the [`Dispatch`].
    pub in_flight: InFlightKey,
    /// Destination of the attempt.
    pub target: Target,
    /// Outcome of the attempt.
    pub ended: Ended,
    /// What the upstream said about further requests.
    pub notice: Notice,
    /// The response, if there is one to deliver.
    pub answer: Option<Answer>,
    /// Microseconds spent on opening a connection; `None` if an idle one was used.
    pub connect_us: Option<u64>,
    /// Duration of the attempt in microseconds.
    pub took_us: u64,
}
