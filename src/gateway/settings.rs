//! Settings of a gateway.

use {
    crate::{catalog, courier, poison, settings::vm::Vm, steer},
    std::net::SocketAddr,
};

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Settings common to every VM.
    pub vm: Vm,
    /// Name of the local availability zone.
    pub zone: String,
    /// Region of each availability zone, by name.
    pub zones: Vec<(String, String)>,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Maximum size of a caller's request body in bytes; a configuration may allow less.
    pub body_bytes: usize,
    /// Address of the admin listener, which serves the metrics.
    pub admin: SocketAddr,
    /// Port on which control VMs listen for beacons.
    pub beacon_port: u16,
    /// Settings for following the catalogue.
    pub catalog: catalog::Settings,
    /// Settings for placement, queueing and retries.
    pub steer: steer::Settings,
    /// Settings for connections to upstreams.
    pub courier: courier::Settings,
    /// Settings for requests that crash upstreams.
    pub poison: poison::Settings,
    /// Milliseconds for which a stopping VM continues to accept callers, until no caller uses a
    /// look-up response that names it: callers cache these responses for some seconds.
    pub linger_ms: u64,
}
