//! A caller's request and its outcome, free of any wire encoding.

use {
    crate::{
        cancel::Cancel,
        clock::Micros,
        keys::{KindKey, RequestId, ServiceKey, ZoneKey},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
};

/// Whether a refused request may have run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Provably not run.
    No,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Its name in answers and log lines.
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

/// Why a request was refused. Each reason is a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// A ring between two duties was full.
    RingFull,
    /// This VM is shutting down.
    Stopping,
    /// No request kind of that name.
    UnknownKind,
    /// A header of the request has a value that is not allowed.
    Malformed,
    /// The request is larger than the settings allow.
    TooLarge,
    /// The request kind requires an idempotency key.
    KeyMissing,
    /// The deadline passed before an upstream was given the request.
    DeadlineExceeded,
    /// No healthy upstream is known here.
    NoUpstream,
    /// Every slot is taken.
    NoSlot,
    /// Shed in favour of requests of higher worth.
    Shed,
    /// The upstream could not be connected to.
    ConnectFailed,
    /// The upstream said that it did not run the request.
    UpstreamRefused,
    /// The upstream's connection ended before the whole answer.
    AnswerCut,
    /// The upstream did not answer in time.
    AnswerTimeout,
    /// The upstream's answer is larger than the settings allow.
    AnswerTooLarge,
    /// The same idempotency key is being run now.
    InProgress,
    /// The same idempotency key may have run before; its outcome is lost.
    MayHaveRun,
    /// The same idempotency key came with another request.
    KeyReused,
    /// A claim could not be made durable on enough VMs.
    ClaimUnavailable,
    /// Requests like this one have crashed upstreams.
    Poisoned,
    /// The retry budget is spent.
    RetryBudget,
    /// The peer VM that was to serve it could not be reached.
    PeerUnreachable,
    /// The caller closed its connection before the answer.
    Cancelled,
    /// The upstream's answer names another request.
    AnswerMismatch,
    /// This VM has not joined the others yet, or not again after it stood still.
    NotJoined,
}

impl Reason {
    /// Every reason, in the order of declaration.
    pub const ALL: [Self; 25] = [
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
    ];

    /// The name used in answers and counters.
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
        }
    }
}

/// A plain refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it may have run.
    pub ran: Ran,
    /// Milliseconds after which a retry is worth trying.
    pub retry_ms: u32,
}

impl Refusal {
    /// A refusal of a request that no upstream was given.
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

    /// A refusal of a request that an upstream may have run.
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

/// A header: name in lower case, value as received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: Bytes,
    /// Value, uninterpreted.
    pub value: Bytes,
}

/// What the caller sent, to be handed to an upstream unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Payload {
    /// Method, such as `POST`.
    pub method: Bytes,
    /// Path and query, starting with `/`.
    pub target: Bytes,
    /// Headers that belong to the request, none that belong to one connection.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// An upstream's complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status, 100 to 599.
    pub status: u16,
    /// Headers that belong to the answer.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Bytes,
}

/// How a request ended.
pub type Outcome = Result<Answer, Refusal>;

/// Hands the outcome to whichever front end took the request.
pub type Reply = Box<dyn FnOnce(Outcome) + Send>;

/// What the decisions need to know of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Meta {
    /// Identity within this process.
    pub id: RequestId,
    /// Service asked for.
    pub service: ServiceKey,
    /// Kind of request.
    pub kind: KindKey,
    /// Availability zone where the request entered the system.
    pub origin: ZoneKey,
    /// Availability zone that is to serve it.
    pub target: ZoneKey,
    /// When the caller stops waiting.
    pub deadline: Micros,
    /// Peers that have forwarded it so far.
    pub hops: u8,
}

/// A request on its way through the duties. Dropping it unanswered refuses it.
pub struct Call {
    /// What the decisions see.
    pub meta: Meta,
    /// Idempotency key, empty if none.
    pub key: Bytes,
    /// What goes to the upstream.
    pub payload: Payload,
    sent: bool,
    end: Option<Box<End>>,
}

/// The caller's end of a call.
struct End {
    reply: Reply,
    cancel: Option<Cancel>,
}

impl Call {
    /// Makes a call that answers through `reply`.
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
            end: Some(Box::new(End {
                reply,
                cancel: None,
            })),
        }
    }

    /// Lets the caller cancel the call, by dropping its end of `cancel`.
    #[must_use]
    pub fn with_cancel(mut self, cancel: Cancel) -> Self {
        if let Some(end) = &mut self.end {
            end.cancel = Some(cancel);
        }
        self
    }

    /// How to learn that the caller cancelled, if it can.
    #[must_use]
    pub fn cancel(&self) -> Option<Cancel> {
        self.end.as_ref()?.cancel.clone()
    }

    /// Whether the caller has cancelled.
    #[must_use]
    pub fn is_cancelled(&self) -> bool {
        let cancel = self.end.as_ref().and_then(|end| end.cancel.as_ref());
        cancel.is_some_and(Cancel::is_cancelled)
    }

    /// Answers the caller.
    pub fn finish(mut self, outcome: Outcome) {
        if let Some(end) = self.end.take() {
            (end.reply)(outcome);
        }
    }

    /// Notes that an upstream may have been given the request from here on.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Notes that the upstream provably did not run it after all.
    pub fn mark_unsent(&mut self) {
        self.sent = false;
    }

    /// Whether an upstream may have been given the request.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.sent
    }

    /// Wraps the reply, so that a duty sees the outcome before the caller does.
    #[must_use]
    pub fn on_finish(mut self, wrap: impl FnOnce(Outcome, Reply) + Send + 'static) -> Self {
        if let Some(end) = self.end.take() {
            let End { reply, cancel } = *end;
            let reply: Reply = Box::new(move |outcome| wrap(outcome, reply));
            self.end = Some(Box::new(End { reply, cancel }));
        }
        self
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        // A duty that ends with calls in its ring must not leave a caller waiting.
        if let Some(end) = self.end.take() {
            let refusal = if self.sent {
                Refusal::unknown(Reason::Stopping)
            } else {
                Refusal::not_run(Reason::Stopping)
            };
            (end.reply)(Err(refusal));
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
