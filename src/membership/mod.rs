//! Membership of the fleet of entry VMs: gossip with pings and leases within a zone, summaries
//! between zones.
//!
//! Each VM pings a bounded number of zone peers per round and piggybacks updates on every
//! datagram, so the cost per VM does not grow with the size of the zone. A member that does not
//! respond becomes suspect before it is evicted; it refutes the suspicion with a higher
//! incarnation.

mod codec;
mod decide;
mod lease;
mod merge;
pub mod messages;
mod select;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    lease::Lease,
    messages::{Member, MemberStatus, Members, Message, ZoneSummary},
    settings::Settings,
    thread::{Addresses, BoundSocket, Outputs, SlotsCallback, bind, spawn},
};
