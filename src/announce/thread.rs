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
        duty,
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
    let duty = Duty {
        context,
        settings,
        slots,
        state: State::default(),
    };
    duty::spawn("announce", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    settings: Settings,
    slots: Sender<slots::Message>,
    state: State,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        loop {
            match ring.recv_within(self.until_lapse()) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            self.expire();
            let upstreams = self.state.rows.len();
            self.context.metrics.level("upstreams", upstreams);
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Announce {
                announcement,
                reply,
            } => reply(self.announce(&announcement)),
            Message::Homes(homes) => self.state.homes = homes,
            Message::Policy(policy) => {
                let drained = decide::is_drained(&policy, &self.context);
                self.state.policy = policy;
                let notices = decide::close(&mut self.state, drained);
                self.notify(notices);
            }
            Message::Stopping => self.state.stopping = true,
        }
    }

    fn announce(&mut self, said: &Announcement) -> Lease {
        // A lease that has lapsed must not be renewed by what waited in the ring.
        self.expire();
        let (name, address) = (said.name.clone(), said.address);
        let known = self.state.names.get(name.as_str()).is_some();
        let now = self.context.clock.now();
        let (lease, notices) =
            decide::announce(&mut self.state, self.settings, &self.context, now, said);
        match (known, lease.granted) {
            (false, true) => report(Event::UPSTREAM_JOINED, format_args!("{name} at {address}")),
            (true, false) => report(Event::UPSTREAM_LEAVING, format_args!("{name}")),
            _ => {}
        }
        self.notify(notices);
        lease
    }

    fn expire(&mut self) {
        let now = self.context.clock.now();
        for (name, notice) in decide::expire(&mut self.state, self.settings, now) {
            report(Event::UPSTREAM_LAPSED, format_args!("{name}"));
            self.notify(vec![notice]);
        }
    }

    fn until_lapse(&self) -> Duration {
        let now = self.context.clock.now();
        let next = self.state.next_lapse();
        next.map_or(IDLE, |lapse| lapse.since(now))
    }

    fn notify(&self, notices: Vec<Notice>) {
        for notice in notices {
            // Waits for room: a lost notice would leave a slot count wrong for good.
            let _ = self.slots.send(slots::Message::Upstream(notice));
        }
    }
}
