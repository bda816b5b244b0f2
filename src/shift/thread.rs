//! The thread of the shift duty.

use {
    super::messages::Message,
    crate::{
        call::{Reason, Refusal},
        claims,
        ring::{Rejected, Ring, Sender},
    },
    std::{io, thread::JoinHandle},
};

/// Starts the duty; requests go on to `claims`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(ring: Ring<Message>, claims: Sender<claims::Message>) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("shift".to_owned())
        .spawn(move || run(&ring, &claims))
}

fn run(ring: &Ring<Message>, claims: &Sender<claims::Message>) {
    while let Some(message) = ring.recv() {
        match message {
            Message::Route(call) => {
                if let Err(Rejected::Full(claims::Message::Place(call))) =
                    claims.offer(claims::Message::Place(call))
                {
                    call.finish(Err(Refusal::not_run(Reason::RingFull)));
                }
            }
            Message::Policy(_) => {}
        }
    }
}
