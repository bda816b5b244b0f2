//! The heartbeat datagram of an entry VM.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Content of a heartbeat datagram: the state of the sending entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Name of the entry VM.
    pub vm: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of its caller listener.
    pub callers: SocketAddr,
    /// Start time in milliseconds since the Unix epoch on the sender's clock.
    pub incarnation: u64,
    /// Heartbeat counter, ascending within an incarnation.
    pub beat: u64,
    /// Whether it accepts requests of callers.
    pub ready: bool,
}

impl Beacon {
    /// Encodes the datagram.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a datagram; `None` if it is malformed.
    ///
    /// ```
    /// assert!(siskinstep::beacon::Beacon::decode(b"?").is_none());
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
