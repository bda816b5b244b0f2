//! Thread of the explain duty.

use {
    super::{messages::Message, settings::Settings, state::State},
    crate::{
        duty,
        ring::{Ring, Wait},
    },
    std::{io, thread::JoinHandle, time::Duration},
};

const BATCH_INTERVAL: Duration = Duration::from_millis(2);

/// Starts the thread of the explain duty.
///
/// # Errors
/// The operating system cannot start the thread.
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
        // Messages accumulate during the pause. Otherwise each of them would wake this thread, and
        // the wake-up would be paid for on the request path.
        std::thread::sleep(BATCH_INTERVAL);
    }
}

fn handle(state: &mut State, settings: Settings, message: Message) {
    match message {
        Message::Note(note) => state.record(note, settings.notes),
        Message::Read { request, reply } => reply(state.find(request)),
    }
}
