//! The thread of the explain duty.

use {
    super::{messages::Message, settings::Settings, state::State},
    crate::{
        duty,
        ring::{Ring, Wait},
    },
    std::{io, thread::JoinHandle, time::Duration},
};

const GATHER_PAUSE: Duration = Duration::from_millis(2);

/// Starts the duty.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(settings: Settings, ring: Ring<Message>) -> io::Result<JoinHandle<()>> {
    duty::spawn("explain", move || run(settings, &ring))
}

fn run(settings: Settings, ring: &Ring<Message>) {
    let mut state = State::default();
    while let Some(message) = ring.recv() {
        handle(&mut state, settings, message);
        while let Wait::Message(message) = ring.recv_within(Duration::ZERO) {
            handle(&mut state, settings, message);
        }
        // Notes gather meanwhile, so that each does not wake this thread at a request's cost.
        std::thread::sleep(GATHER_PAUSE);
    }
}

fn handle(state: &mut State, settings: Settings, message: Message) {
    match message {
        Message::Note(note) => state.remember(note, settings.notes),
        Message::Read { request, reply } => reply(state.of(request)),
    }
}
