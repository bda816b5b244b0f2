//! Siskinstep: global traffic steering.
//!
//! Every duty is a module with its own state, messages and tests; each runs on a thread of its
//! own, and bounded rings join them. `docs/DESIGN.md` gives the map.

#[cfg(test)]
mod fuzz;

// Shared vocabulary.
pub mod call;
pub mod cancel;
pub mod clock;
pub mod context;
pub mod duty;
pub mod keys;
pub mod ring;
pub mod settings;
pub mod sorted;

// Duties of an entry VM.
pub mod announce;
pub mod beacon;
pub mod callers;
pub mod claims;
pub mod courier;
pub mod drain;
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

// Duties of a control VM.
pub mod agree;
pub mod catalog;
pub mod operator;
pub mod policy;
pub mod storage;

// Edges and what an operator sees.
pub mod admin;
pub mod edge;
pub mod explain;
pub mod lines;
pub mod observe;

// Processes.
pub mod cli;
pub mod control;
pub mod daemon;
pub mod dev;
pub mod entry;
pub mod gateway;
pub mod load;
