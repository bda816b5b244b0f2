//! Tests of the replicated log: scripted faults, and random histories checked against an oracle.

mod fuzz;
mod oracle;
mod outbox;
mod placement;
mod scripted;
mod size;
mod world;
