//! The thread of the announce duty.

use {
    super::{
        decide,
        messages::{Announcement, Lease, Message, Notice},
        settings::Settings,
        state::State,
    },
    crate::{
        context::Context,
        observe::{Event, report},
        ring::{Ring, Sender, Wait},
        slots,
    },
    std::{io, thread::JoinHandle, time::Duration},
};

const IDLE: Duration = Duration::from_secs(1);

/// Starts the duty; what it learns goes to `slots`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    slots: Sender<slots::Message>,
) -> io::Result<JoinHandle<()>> {
    let run = move || run(&context, settings, &ring, &slots);
    std::thread::Builder::new()
        .name("announce".to_owned())
        .spawn(run)
}

fn run(
    context: &Context,
    settings: Settings,
    ring: &Ring<Message>,
    slots: &Sender<slots::Message>,
) {
    let mut state = State::default();
    loop {
        match ring.recv_within(until_lapse(context, &state)) {
            Wait::Message(Message::Announce {
                announcement,
                reply,
            }) => {
                log_announcement(&state, &announcement);
                let notices =
                    decide::announce(&mut state, settings, context.clock.now(), announcement);
                notify(slots, notices);
                reply(Lease {
                    lease_ms: settings.lease_ms,
                    renew_ms: settings.renew_ms,
                });
            }
            Wait::Timeout => {}
            Wait::Closed => return,
        }
        for (name, notice) in decide::lapse(&mut state, context.clock.now()) {
            report(Event::UPSTREAM_LAPSED, format_args!("{name}"));
            notify(slots, vec![notice]);
        }
        context.metrics.level("upstreams", state.rows.len());
    }
}

fn until_lapse(context: &Context, state: &State) -> Duration {
    let now = context.clock.now();
    state.next_lapse().map_or(IDLE, |lapse| lapse.since(now))
}

fn log_announcement(state: &State, said: &Announcement) {
    let known = state.names.get(said.name.as_str()).is_some();
    if said.leaving && known {
        report(Event::UPSTREAM_LEAVING, format_args!("{}", said.name));
    } else if !said.leaving && !known {
        report(
            Event::UPSTREAM_JOINED,
            format_args!("{} at {}", said.name, said.address),
        );
    }
}

fn notify(slots: &Sender<slots::Message>, notices: Vec<Notice>) {
    for notice in notices {
        // Waits for room: a lost notice would leave a slot count wrong for good.
        let _ = slots.send(slots::Message::Upstream(notice));
    }
}
