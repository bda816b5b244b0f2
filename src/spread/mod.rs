//! Brings the accepted configuration to every entry VM, by version, never backwards.

mod decide;
pub mod messages;
mod serve;
pub mod settings;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    messages::{Fetch, Fetched, Subscribers},
    serve::register,
    settings::Settings,
    thread::spawn,
};
