//! Which availability zone serves a request, under the caps of the shifts in force.
//!
//! A request moves only under a shift's amount, its cap, every cap on the target, and headroom
//! that the target granted.

mod ask;
mod decide;
mod grant;
mod limit;
pub mod messages;
mod router;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    ask::{Sources, register, spawn_headroom},
    grant::Ask,
    messages::{Message, Status, Wanted},
    router::{Dispatcher, Router, ShiftedServices},
    settings::Settings,
    thread::spawn,
};
