//! Tests of the replicated log: scripted ones, and a state machine fuzzed with faults.

mod fuzz;
mod oracle;
mod scripted;
mod world;
