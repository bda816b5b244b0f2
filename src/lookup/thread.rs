//! The thread of the look-up duty.

use {
    super::{
        decide,
        messages::{Message, Ranking},
        settings::Settings,
        state::State,
    },
    crate::{context::Context, duty, ring::Ring},
    std::{io, sync::Arc, thread::JoinHandle},
    tokio::sync::watch,
};

/// Starts the duty; rankings go out through `tables`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    tables: watch::Sender<Arc<Ranking>>,
) -> io::Result<JoinHandle<()>> {
    let run = move || run(&context, settings, &ring, &tables);
    duty::spawn("lookup", run)
}

fn run(
    context: &Context,
    settings: Settings,
    ring: &Ring<Message>,
    tables: &watch::Sender<Arc<Ranking>>,
) {
    let mut state = State::default();
    while let Some(message) = ring.recv() {
        match message {
            Message::Vms(vms) => state.vms = vms,
            Message::Policy(policy) => state.policy = policy,
            Message::Stopping => state.stopping = true,
        }
        let table = decide::rank(&state, context, settings);
        tables.send_if_modified(|last| {
            let changed = **last != table;
            if changed {
                *last = Arc::new(table);
            }
            changed
        });
    }
}
