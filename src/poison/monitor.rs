//! Access to the poison duty for the duties that make attempts. Hashes requests only while some request is
//! charged, or when an upstream's connection is cut.

use {
    super::messages::{Message, Process},
    crate::{call::Payload, ledger::Fingerprint, ring::Sender},
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::watch,
    xxhash_rust::xxh3::Xxh3,
};

/// Fingerprints of charged requests and of those that are refused, both sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdicts {
    /// Requests charged with at least one loss.
    pub charged: Vec<Fingerprint>,
    /// Requests charged with enough losses to be refused.
    pub poisoned: Vec<Fingerprint>,
}

/// Latest verdicts, and the ring of the duty.
#[derive(Clone, Debug)]
pub struct Monitor {
    /// Latest verdicts.
    pub verdicts: watch::Receiver<Arc<Verdicts>>,
    /// Ring of the duty.
    pub ring: Sender<Message>,
}

impl Monitor {
    /// Whether the request with this fingerprint is refused.
    #[must_use]
    pub fn is_poisoned(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let verdicts = self.verdicts.borrow();
        !verdicts.poisoned.is_empty() && verdicts.poisoned.binary_search(&fingerprint()).is_ok()
    }

    /// Records that an upstream responded to a request.
    pub fn record_response(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        let verdicts = self.verdicts.borrow();
        if verdicts.charged.is_empty() {
            return;
        }
        let fingerprint = fingerprint();
        if verdicts.charged.binary_search(&fingerprint).is_ok() {
            self.offer(Message::Responded(fingerprint));
        }
    }

    /// Records that a connection was cut after a request was written to it.
    pub fn record_cut(&self, fingerprint: Fingerprint, process: Process) {
        self.offer(Message::Cut {
            fingerprint,
            process,
        });
    }

    /// Records that an upstream with a cut connection refuses new ones.
    pub fn record_loss(&self, address: SocketAddr) {
        self.offer(Message::Lost(address));
    }

    fn offer(&self, message: Message) {
        // If the ring is full, the report is lost; the next crash is reported again.
        let _ = self.ring.offer(message);
    }
}

/// Hash of what a caller repeats when it sends a request again: host, method, target and body.
///
/// ```
/// use siskinstep::{call::Payload, poison::fingerprint};
/// let payload = |target: &'static str| Payload {
///     method: "GET".into(), target: target.into(), headers: Vec::new(), body: Default::default(),
/// };
/// assert_eq!(fingerprint(&payload("/a")), fingerprint(&payload("/a")));
/// assert_ne!(fingerprint(&payload("/a")), fingerprint(&payload("/b")));
/// ```
#[must_use]
pub fn fingerprint(payload: &Payload) -> Fingerprint {
    let mut headers = payload.headers.iter();
    let host = headers.find(|header| header.name == "host");
    let host = host.map_or(&b""[..], |header| &header.value);
    let mut hash = Xxh3::new();
    for field in [host, &payload.method, &payload.target, &payload.body] {
        hash.update(&field.len().to_le_bytes());
        hash.update(field);
    }
    let digest = hash.digest128();
    #[allow(
        clippy::cast_possible_truncation,
        reason = "the two halves of the hash"
    )]
    let halves = ((digest >> 64) as u64, digest as u64);
    Fingerprint(halves.0, halves.1)
}
