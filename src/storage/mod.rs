//! The data folder of a control VM: hard state, log segments and snapshots.
//!
//! | file | content |
//! |---|---|
//! | `lock` | empty; locked by the process that uses the folder |
//! | `state` | hard state, replaced atomically |
//! | `log-N` | log segment: appended frames of entries; `N` increases with each file |
//! | `snapshot-I` | state up to index `I`, written atomically |
//!
//! The entries of a batch are written as one frame with one sync. Only the last frame of the last
//! segment may be torn; it is truncated. An unsynced marker before the last frame may be missing;
//! it is restored. Corruption anywhere else is an error with the file and the offset.

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
    messages::{Ack, Batch, Entry, HardState, Position, Recovered, Snapshot},
    thread::{Message, Report, spawn},
};
