//! The operator's command line.

mod flags;
mod load;
mod order;
mod render;
mod run;
#[cfg(test)]
mod tests;

pub use run::run;
