//! Consensus among the control VMs: a Raft-like replicated log of operators' commands.
//!
//! One replica is the leader of a term. A command is committed once a quorum has it on disk; every
//! replica then applies it in the order of the log.

mod apply;
mod decide;
mod elect;
mod events;
mod install;
mod join;
mod log;
mod member;
pub mod messages;
mod outbox;
mod placement;
mod replicate;
pub mod settings;
pub(crate) mod size;
mod state;
#[cfg(test)]
mod tests;
mod thread;
pub mod transport;
pub mod wire;

pub use {
    messages::{
        ControlVm, Followed, MemberChange, MemberStatus, MembersResult, Message, SubmitResult,
        Unavailable,
    },
    settings::{MemberConfig, Settings},
    thread::{Outputs, Setup, spawn},
    wire::{Envelope, Member},
};
