//! A caller's request and its outcome, independent of any wire encoding.

use {
    crate::{
        cancel::Cancel,
        clock::Micros,
        keys::{KindKey, RequestId, ServiceKey, ZoneKey},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Whether an upstream may have executed a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request was definitely not executed.
    No,
    /// The request may have been executed.
    Unknown,
}

impl Ran {
    /// Name used in responses and log lines.
    ///
    /// ```
    /// assert_eq!(siskinstep::call::Ran::Unknown.name(), "unknown");
    /// ```
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// Reason for a refusal. Each reason is counted separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A ring between two duties is full.
    RingFull,
    /// This VM is shutting down.
    Stopping,
    /// The request kind is not declared in the settings.
    UnknownKind,
    /// A request header has an invalid value.
    Malformed,
    /// The request exceeds the size limit in the settings.
    TooLarge,
    /// The request kind requires an idempotency key, and the request has none.
    KeyMissing,
    /// The deadline expired before the request was sent to an upstream.
    DeadlineExceeded,
    /// No healthy upstream is known to this VM.
    NoUpstream,
    /// All slots are in use.
    NoSlot,
    /// Shed under overload in favour of requests with a higher `worth`.
    Shed,
    /// The connection to the upstream could not be established.
    ConnectFailed,
    /// The upstream reported that it did not execute the request.
    UpstreamRefused,
    /// The upstream closed the connection before the response was complete.
    AnswerCut,
    /// The upstream did not respond within the timeout.
    AnswerTimeout,
    /// The upstream's response exceeds the size limit in the settings.
    AnswerTooLarge,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// A request with the same idempotency key may have been executed; its outcome is lost.
    MayHaveRun,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The claim could not be stored durably on enough VMs.
    ClaimUnavailable,
    /// Requests with the same fingerprint have crashed upstreams.
    Poisoned,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The peer VM to which the request was forwarded is unreachable.
    PeerUnreachable,
    /// The caller closed its connection before the response was sent.
    Cancelled,
    /// The upstream's response carries the ID of another request, or its status is invalid.
    AnswerMismatch,
    /// This VM has not joined the fleet yet, or not rejoined after it was suspended.
    NotJoined,
    /// The caller's credential is missing, malformed or unknown.
    Unauthorized,
    /// The caller's API key is not known to this VM, but may be valid: the key may be newer than this VM's
    /// configuration, or it has just moved to another workspace.
    IdentityUnknown,
    /// The workspace has used up its limit.
    OverLimit,
    /// No control VM said whether the workspace's limit permits the request.
    LimitUnknown,
    /// The upstream has restricted further requests since it was selected; the request was not sent to it.
    UpstreamHeld,
}

impl Reason {
    /// All reasons, in declaration order.
    pub const ALL: [Self; 30] = [
        Self::RingFull,
        Self::Stopping,
        Self::UnknownKind,
        Self::Malformed,
        Self::TooLarge,
        Self::KeyMissing,
        Self::DeadlineExceeded,
        Self::NoUpstream,
        Self::NoSlot,
        Self::Shed,
        Self::ConnectFailed,
        Self::UpstreamRefused,
        Self::AnswerCut,
        Self::AnswerTimeout,
        Self::AnswerTooLarge,
        Self::InProgress,
        Self::MayHaveRun,
        Self::KeyReused,
        Self::ClaimUnavailable,
        Self::Poisoned,
        Self::RetryBudget,
        Self::PeerUnreachable,
        Self::Cancelled,
        Self::AnswerMismatch,
        Self::NotJoined,
        Self::Unauthorized,
        Self::IdentityUnknown,
        Self::OverLimit,
        Self::LimitUnknown,
        Self::UpstreamHeld,
    ];

    /// Name used in responses and as a metric label.
    ///
    /// ```
    /// assert_eq!(siskinstep::call::Reason::NoSlot.name(), "no_slot");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RingFull => "ring_full",
            Self::Stopping => "stopping",
            Self::UnknownKind => "unknown_kind",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::KeyMissing => "key_missing",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::NoUpstream => "no_upstream",
            Self::NoSlot => "no_slot",
            Self::Shed => "shed",
            Self::ConnectFailed => "connect_failed",
            Self::UpstreamRefused => "upstream_refused",
            Self::AnswerCut => "answer_cut",
            Self::AnswerTimeout => "answer_timeout",
            Self::AnswerTooLarge => "answer_too_large",
            Self::InProgress => "in_progress",
            Self::MayHaveRun => "may_have_run",
            Self::KeyReused => "key_reused",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::Poisoned => "poisoned",
            Self::RetryBudget => "retry_budget",
            Self::PeerUnreachable => "peer_unreachable",
            Self::Cancelled => "cancelled",
            Self::AnswerMismatch => "answer_mismatch",
            Self::NotJoined => "not_joined",
            Self::Unauthorized => "unauthorized",
            Self::IdentityUnknown => "identity_unknown",
            Self::OverLimit => "over_limit",
            Self::LimitUnknown => "limit_unknown",
            Self::UpstreamHeld => "upstream_held",
        }
    }
}

/// A refusal: no upstream response is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether an upstream may have executed the request.
    pub ran: Ran,
    /// Suggested delay before a retry, in milliseconds.
    pub retry_ms: u32,
}

impl Refusal {
    /// Refusal of a request that was not sent to any upstream.
    ///
    /// ```
    /// use siskinstep::call::{Ran, Reason, Refusal};
    /// assert_eq!(Refusal::not_run(Reason::NoSlot).ran, Ran::No);
    /// ```
    #[must_use]
    pub const fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_ms: DEFAULT_RETRY_MS,
        }
    }

    /// Refusal of a request that an upstream may have executed.
    ///
    /// ```
    /// use siskinstep::call::{Ran, Reason, Refusal};
    /// assert_eq!(Refusal::unknown(Reason::AnswerCut).ran, Ran::Unknown);
    /// ```
    #[must_use]
    pub const fn unknown(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_ms: DEFAULT_RETRY_MS,
        }
    }
}

const DEFAULT_RETRY_MS: u32 = 200;

/// An HTTP header; the value is kept as received.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Bytes,
    /// Value, uninterpreted.
    pub value: Bytes,
}

impl std::fmt::Debug for Header {
    /// Omits the value of headers with credentials, so that no log line contains one.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = f.debug_struct("Header");
        out.field("name", &self.name);
        if is_credential(&self.name) {
            return out.finish_non_exhaustive();
        }
        out.field("value", &self.value).finish()
    }
}

/// Whether a header carries credentials: `authorization`, `proxy-authorization` and other names that contain it,
/// in any case.
fn is_credential(name: &[u8]) -> bool {
    const NAME: &[u8] = b"authorization";
    let mut parts = name.windows(NAME.len());
    parts.any(|part| part.eq_ignore_ascii_case(NAME))
}

/// Request content from the caller, forwarded to the upstream unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Method, such as `POST`.
    pub method: Bytes,
    /// Path and query, starting with `/`.
    pub target: Bytes,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// Whether a response may have this HTTP status. Statuses below 200 announce a response and are none themselves;
/// those above 599 are not assigned to any class.
///
/// ```
/// use siskinstep::call::is_valid_status;
/// assert!(is_valid_status(200) && is_valid_status(599));
/// assert!(!is_valid_status(100) && !is_valid_status(600));
/// ```
#[must_use]
pub const fn is_valid_status(status: u16) -> bool {
    200 <= status && status <= 599
}

/// An upstream's complete response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status, 200 to 599.
    pub status: u16,
    /// End-to-end headers of the response.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

/// Result of a request: the upstream's response or a refusal.
pub type Outcome = Result<Answer, Refusal>;

/// Callback that delivers the outcome to the front end that accepted the request.
pub type Reply = Box<dyn FnOnce(Outcome) + Send>;

/// Request attributes that the decision code uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Meta {
    /// ID, unique within this process.
    pub id: RequestId,
    /// Requested service.
    pub service: ServiceKey,
    /// Request kind.
    pub kind: KindKey,
    /// Availability zone in which the request entered the system.
    pub origin: ZoneKey,
    /// Availability zone selected to serve the request.
    pub target: ZoneKey,
    /// Instant at which the caller's timeout expires.
    pub deadline: Micros,
    /// Number of peers that have forwarded the request so far.
    pub hops: u8,
}

/// A request in progress, passed between duties. Dropping it without an outcome refuses it.
pub struct Call {
    /// Attributes for the decision code.
    pub meta: Meta,
    /// Idempotency key, empty if none.
    pub key: Bytes,
    /// Request content for the upstream.
    pub payload: Payload,
    sent: bool,
    /// Whether its key is not claimed yet: an earlier attempt with the key may have run.
    unclaimed: bool,
    caller: Option<Box<CallerHandle>>,
}

/// The caller's side of a call: reply callback and cancellation.
struct CallerHandle {
    reply: Reply,
    cancel: Option<Cancel>,
}

impl Call {
    /// Creates a call that delivers its outcome through `reply`.
    ///
    /// ```
    /// # use siskinstep::call::{Call, Meta, Payload, Refusal, Reason};
    /// # use siskinstep::{clock::Micros, keys::{KindKey, RequestId, ServiceKey, ZoneKey}};
    /// # let meta = Meta { id: RequestId(1), service: ServiceKey(0), kind: KindKey(0),
    /// #     origin: ZoneKey(0), target: ZoneKey(0), deadline: Micros(9), hops: 0 };
    /// # let payload = Payload { method: "GET".into(), target: "/".into(), headers: vec![],
    /// #     body: Default::default() };
    /// let (tx, rx) = std::sync::mpsc::channel();
    /// let reply = Box::new(move |outcome| tx.send(outcome).unwrap());
    /// let call = Call::new(meta, Default::default(), payload, reply);
    /// call.finish(Err(Refusal::not_run(Reason::NoSlot)));
    /// assert!(rx.recv().unwrap().is_err());
    /// ```
    #[must_use]
    pub fn new(meta: Meta, key: Bytes, payload: Payload, reply: Reply) -> Self {
        Self {
            meta,
            key,
            payload,
            sent: false,
            unclaimed: false,
            caller: Some(Box::new(CallerHandle {
                reply,
                cancel: None,
            })),
        }
    }

    /// Adds a cancellation signal; the caller cancels by dropping the matching guard.
    #[must_use]
    pub fn with_cancel(mut self, cancel: Cancel) -> Self {
        if let Some(caller) = &mut self.caller {
            caller.cancel = Some(cancel);
        }
        self
    }

    /// Records that its key is still to be claimed. Until then, no refusal states that the request did not
    /// run, as an earlier attempt with the key may have run it.
    ///
    /// ```
    /// # use siskinstep::call::{Call, Meta, Payload, Ran, Refusal, Reason};
    /// # use siskinstep::{clock::Micros, keys::{KindKey, RequestId, ServiceKey, ZoneKey}};
    /// # let meta = Meta { id: RequestId(1), service: ServiceKey(0), kind: KindKey(0),
    /// #     origin: ZoneKey(0), target: ZoneKey(0), deadline: Micros(9), hops: 0 };
    /// # let payload = Payload { method: "GET".into(), target: "/".into(), headers: vec![],
    /// #     body: Default::default() };
    /// let (tx, rx) = std::sync::mpsc::channel();
    /// let reply = Box::new(move |outcome| tx.send(outcome).unwrap());
    /// let call = Call::new(meta, "key".into(), payload, reply).with_unclaimed_key();
    /// call.finish(Err(Refusal::not_run(Reason::Stopping)));
    /// assert_eq!(rx.recv().unwrap().unwrap_err().ran, Ran::Unknown);
    /// ```
    #[must_use]
    pub fn with_unclaimed_key(mut self) -> Self {
        self.unclaimed = true;
        self
    }

    /// Records that the claims duty has decided about its key.
    pub fn mark_claimed(&mut self) {
        self.unclaimed = false;
    }

    /// Cancellation signal, or `None` if the call cannot be cancelled or has an outcome.
    #[must_use]
    pub fn cancel(&self) -> Option<Cancel> {
        self.caller.as_ref()?.cancel.clone()
    }

    /// Whether the caller has cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        let cancel = self
            .caller
            .as_ref()
            .and_then(|caller| caller.cancel.as_ref());
        cancel.is_some_and(Cancel::is_cancelled)
    }

    /// Delivers the outcome to the caller.
    pub fn finish(mut self, outcome: Outcome) {
        let is_unclaimed = self.unclaimed;
        let outcome = outcome.map_err(|refusal| {
            let ran = if is_unclaimed {
                Ran::Unknown
            } else {
                refusal.ran
            };
            Refusal { ran, ..refusal }
        });
        if let Some(caller) = self.caller.take() {
            (caller.reply)(outcome);
        }
    }

    /// Records that the request may have been sent to an upstream.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Records that the request was definitely not executed by the upstream it was sent to.
    pub fn mark_unsent(&mut self) {
        self.sent = false;
    }

    /// Whether the request may have been sent to an upstream.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.sent
    }

    /// Wraps the reply callback, so that a duty can process the outcome before the caller gets it.
    #[must_use]
    pub fn on_finish(mut self, wrap: impl FnOnce(Outcome, Reply) + Send + 'static) -> Self {
        if let Some(caller) = self.caller.take() {
            let CallerHandle { reply, cancel } = *caller;
            let reply: Reply = Box::new(move |outcome| wrap(outcome, reply));
            self.caller = Some(Box::new(CallerHandle { reply, cancel }));
        }
        self
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // A duty that exits with calls left in its ring must not leave their callers waiting.
        if let Some(caller) = self.caller.take() {
            let refusal = if self.sent || self.unclaimed {
                Refusal::unknown(Reason::Stopping)
            } else {
                Refusal::not_run(Reason::Stopping)
            };
            (caller.reply)(Err(refusal));
        }
    }
}

impl std::fmt::Debug for Call {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Call")
            .field("meta", &self.meta)
            .finish_non_exhaustive()
    }
}
