//! Which availability zone serves a request, under the caps of the shifts in force.

pub mod messages;
mod thread;

pub use {messages::Message, thread::spawn};
