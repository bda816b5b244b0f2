//! Siskinstep: a global traffic steering system.
//!
//! Every duty is a module with its own state, messages and tests. Each duty runs on its own thread;
//! bounded rings connect the threads. See `docs/DESIGN.md` for an overview.

#[cfg(test)]
mod fuzz;

// Types shared by all duties.
pub mod call;
pub mod cancel;
pub mod clock;
pub mod context;
pub mod duty;
pub mod keys;
pub(crate) mod pack;
pub mod ring;
pub mod settings;
pub mod sorted;

// Duties of an entry VM.
pub mod announce;
pub mod backpressure;
pub mod balance;
pub mod beacon;
pub mod callers;
pub mod claims;
pub mod courier;
pub mod drain;
pub mod fairness;
pub mod forward;
pub mod ledger;
pub mod lookup;
pub mod membership;
pub mod peers;
pub mod poison;
pub mod relay;
pub mod routes;
pub mod shift;
pub mod slots;
pub mod spread;
pub mod steer;
pub mod workspaces;

// Duties of entry VMs and control VMs together.
pub mod shares;

// Duties of a control VM.
pub mod agree;
pub mod catalog;
pub mod handover;
pub mod operator;
pub mod policy;
pub mod storage;

// Network front ends and observability.
pub mod admin;
pub mod edge;
pub mod explain;
pub mod lines;
pub mod observe;

// Executables and their wiring.
pub mod cli;
pub mod control;
pub mod daemon;
pub mod dev;
pub mod entry;
pub mod gateway;
pub mod load;
