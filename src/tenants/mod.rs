//! Tenants: who a caller is and what it may do.

pub mod digest;

pub use digest::Digest;
