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

/// Starts the duty, which publishes each changed ranking to `rankings` and exits when its ring
/// closes.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    rankings: watch::Sender<Arc<Ranking>>,
) -> io::Result<JoinHandle<()>> {
    let run = move || run(&context, settings, &ring, &rankings);
    duty::spawn("lookup", run)
}

fn run(
    context: &Context,
    settings: Settings,
    ring: &Ring<Message>,
    rankings: &watch::Sender<Arc<Ranking>>,
) {
    let mut state = State::default();
    while let Some(message) = ring.recv() {
        match message {
            Message::Vms(vms) => state.vms = vms,
            Message::Policy(policy) => state.policy = policy,
            Message::Stopping => state.stopping = true,
        }
        let ranking = decide::rank(&state, context, settings);
        rankings.send_if_modified(|last| {
            let changed = **last != ranking;
            if changed {
                *last = Arc::new(ranking);
            }
            changed
        });
    }
}
