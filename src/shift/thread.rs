//! The thread of the shift duty.

use {
    super::messages::Message,
    crate::{
        call::{Reason, Refusal},
        ring::{Rejected, Ring, Sender},
        slots,
    },
    std::{io, thread::JoinHandle},
};

/// Starts the duty; requests go on to `slots`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(ring: Ring<Message>, slots: Sender<slots::Message>) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("shift".to_owned())
        .spawn(move || run(&ring, &slots))
}

fn run(ring: &Ring<Message>, slots: &Sender<slots::Message>) {
    while let Some(message) = ring.recv() {
        match message {
            Message::Route(call) => {
                if let Err(Rejected::Full(slots::Message::Place(call))) =
                    slots.offer(slots::Message::Place(call))
                {
                    call.finish(Err(Refusal::not_run(Reason::RingFull)));
                }
            }
            Message::Policy(_) => {}
        }
    }
}
