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

const IDLE_WAIT: Duration = Duration::from_secs(1);

/// Starts the duty; it sends notices of upstreams to `slots`.
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
            match ring.recv_within(self.until_expiry()) {
                Wait::Message(message) => self.handle(message),
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            self.expire();
            let upstreams = self.state.rows.len();
            self.context.metrics.set_gauge("upstreams", upstreams);
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
                let notices = decide::set_drained(&mut self.state, drained);
                self.notify(notices);
            }
            Message::Stopping => self.state.stopping = true,
        }
    }

    fn announce(&mut self, announcement: &Announcement) -> Lease {
        // An announcement that waited in the ring must not renew a lease that has expired meanwhile.
        self.expire();
        let (name, address) = (announcement.name.clone(), announcement.address);
        let known = self.state.names.get(name.as_str()).is_some();
        let now = self.context.clock.now();
        let (lease, notices) = decide::announce(
            &mut self.state,
            self.settings,
            &self.context,
            now,
            announcement,
        );
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

    fn until_expiry(&self) -> Duration {
        let now = self.context.clock.now();
        let next = self.state.next_expiry();
        next.map_or(IDLE_WAIT, |expires| expires.since(now))
    }

    fn notify(&self, notices: Vec<Notice>) {
        for notice in notices {
            // Blocks while the ring is full: a lost notice would leave a slot count permanently wrong.
            let _ = self.slots.send(slots::Message::Upstream(notice));
        }
    }
}
