//! The thread of the explain duty.

use {
    super::{messages::Message, settings::Settings, state::State},
    crate::ring::Ring,
    std::{io, thread::JoinHandle},
};

/// Starts the duty.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(settings: Settings, ring: Ring<Message>) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("explain".to_owned())
        .spawn(move || run(settings, &ring))
}

fn run(settings: Settings, ring: &Ring<Message>) {
    let mut state = State::default();
    while let Some(message) = ring.recv() {
        match message {
            Message::Note(note) => state.remember(note, settings.notes),
            Message::Read { request, reply } => reply(state.of(request)),
        }
    }
}
