//! The data folder of a control VM: hard state, log segments and snapshots.
//!
//! | file | holds |
//! |---|---|
//! | `lock` | nothing; locked by the process that uses the folder |
//! | `state` | hard state, replaced as a whole |
//! | `log-N` | frames of entries, appended; `N` rises with each file |
//! | `snapshot-I` | state up to index `I`, replaced as a whole |
//!
//! One batch is one frame and one sync. Only the last frame of the last segment may be torn; it is
//! cut off. Damage anywhere else is an error that names the file and the offset.

mod errors;
mod files;
mod folder;
mod frames;
pub mod messages;
mod recover;
#[cfg(test)]
mod tests;
mod thread;

pub use {
    errors::StorageError,
    folder::Folder,
    messages::{Ack, Batch, Entry, Hard, Position, Recovered, Snapshot},
    thread::{Message, Report, spawn},
};
