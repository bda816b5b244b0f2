//! Listener of an entry VM for other VMs of the system: JSON-RPC and forwarded requests.

mod handler;

pub use handler::handler;
