//! The process of an entry VM that follows the catalogue and sends requests directly to any upstream
//! of the fleet.
//!
//! Starts the duties and connects them; makes no decisions. The handler for callers and the wire
//! format of upstreams are provided by the crate that embeds the gateway.

mod settings;
mod wiring;

pub use {
    settings::Settings,
    wiring::{Gateway, GatewayHandle, Readiness, StartError},
};
