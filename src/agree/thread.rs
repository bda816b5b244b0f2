//! The thread of the agree duty.

use {
    super::messages::Message,
    crate::{
        context::Context,
        observe::{Event, report},
        policy::{self, Policy},
        ring::Ring,
    },
    std::{io, sync::Arc, thread::JoinHandle},
    tokio::sync::watch,
};

/// Starts the duty; each new configuration goes out through `policies`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    ring: Ring<Message>,
    policies: watch::Sender<Arc<Policy>>,
) -> io::Result<JoinHandle<()>> {
    let run = move || run(&context, &ring, &policies);
    std::thread::Builder::new()
        .name("agree".to_owned())
        .spawn(run)
}

fn run(context: &Context, ring: &Ring<Message>, policies: &watch::Sender<Arc<Policy>>) {
    let mut state = Policy::default();
    while let Some(message) = ring.recv() {
        match message {
            Message::Submit { command, reply } => {
                let answer = policy::apply(&mut state, command);
                if let Ok(accepted) = &answer {
                    report(
                        Event::CONFIG_APPLIED,
                        format_args!("version {}", accepted.version),
                    );
                    policies.send_replace(Arc::new(state.clone()));
                }
                context.metrics.count("commands", 1);
                reply(Ok(answer));
            }
            Message::Read { reply } => reply(Ok(Arc::new(state.clone()))),
        }
    }
}
