//! Which entry VMs are alive: heartbeats and leases within a zone, summaries between zones.
//!
//! Each VM pings a bounded number of zone peers a round and tells what it knows with every
//! datagram, so the cost of a VM does not grow with its zone. A member that does not answer is
//! suspect before it is evicted; it refutes a suspicion with a higher incarnation.

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
    messages::{Member, Members, Message, Standing, Summary},
    settings::Settings,
    thread::{Addresses, Bound, Outputs, TakeSlots, bind, spawn},
};
