//! Messages of the agree duty.

use {
    crate::policy::{Accepted, Command, Policy, Rejection},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Why this replica cannot take a command or answer a read now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unavailable {
    /// Another replica leads; its operator address if known. The command was not taken.
    NotLeader {
        /// `IP:port` of the leader's operator listener.
        leader: Option<String>,
    },
    /// No quorum answers. The command was not taken.
    NoQuorum,
    /// The disk is full or fails. The command was not taken.
    Disk {
        /// What the system said.
        detail: String,
    },
    /// The replica is overloaded or shutting down. The command was not taken.
    Busy,
    /// Leadership was lost while the command was on its way: send it again with the same id.
    Unknown,
}

/// The answer to a submitted command.
pub type Submitted = Result<Result<Accepted, Rejection>, Unavailable>;

/// What the duty is told.
pub enum Message {
    /// An operator's command.
    Submit {
        /// The command.
        command: Command,
        /// Takes the answer.
        reply: Box<dyn FnOnce(Submitted) + Send>,
    },
    /// A read under a quorum.
    Read {
        /// Takes the configuration in force.
        reply: Box<dyn FnOnce(Result<Arc<Policy>, Unavailable>) + Send>,
    },
}
