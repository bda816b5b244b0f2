//! Selects the route of a request by its host and the longest matching path prefix.

mod state;
#[cfg(test)]
mod tests;

pub use state::Index;
