//! Selects the availability zone that serves a request, according to the shifts in force.
//!
//! A request moves to another zone only within the amount and the cap of its shift, every cap on
//! the target, and the headroom that the target has granted.

mod decide;
mod grant;
mod headroom;
mod limit;
pub mod messages;
mod router;
pub mod settings;
pub mod state;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    grant::HeadroomRequest,
    headroom::{HeadroomInputs, register, spawn_headroom},
    messages::{Demand, Message, Status},
    router::{Dispatcher, Router, ShiftedServices},
    settings::Settings,
    thread::spawn,
};
