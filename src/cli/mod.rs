//! Command-line interface for operators.

mod flags;
mod load;
mod parse;
mod render;
mod run;
#[cfg(test)]
mod tests;

pub use run::run;
