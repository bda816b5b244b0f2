//! The thread of the shift duty.

use {
    super::{
        decide, grant,
        messages::{Message, Status},
        router::{Dispatcher, ShiftedServices},
        settings::Settings,
        state::{Row, State},
    },
    crate::{call::Call, context::Context, duty, explain::Step, ring::Ring},
    std::{io, sync::Arc, thread::JoinHandle},
    tokio::sync::watch,
};

/// Starts the duty. Requests leave through `dispatcher`; the services whose requests are to be routed
/// through this duty are published on `shifted`.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    ring: Ring<Message>,
    dispatcher: Dispatcher,
    shifted: watch::Sender<ShiftedServices>,
) -> io::Result<JoinHandle<()>> {
    let duty = Duty {
        context,
        settings,
        dispatcher,
        shifted,
        state: State::default(),
    };
    duty::spawn("shift", move || duty.run(&ring))
}

struct Duty {
    context: Context,
    settings: Settings,
    dispatcher: Dispatcher,
    shifted: watch::Sender<ShiftedServices>,
    state: State,
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        while let Some(message) = ring.recv() {
            self.handle(message);
        }
    }

    fn handle(&mut self, message: Message) {
        let now = self.context.clock.now();
        match message {
            Message::Route(call) => self.route(call),
            Message::Policy(policy) => {
                let topology = &self.context.topology;
                decide::apply(&mut self.state, &policy, topology, self.settings, now);
                let shifted = decide::shifted_services(&self.state, self.context.zone);
                self.shifted.send_replace(Arc::new(shifted));
            }
            Message::GrantReceived(grant) => decide::add_grant(&mut self.state, grant, now),
            Message::Grant(request, reply) => {
                reply(grant::grant(&mut self.state, request, self.settings, now));
            }
            Message::Arrived { service, zone } => {
                grant::record_arrival(&mut self.state, service, zone, now);
            }
            Message::Demand(reply) => {
                reply(decide::demand(&mut self.state, self.context.zone, now));
            }
            Message::Read(reply) => reply(self.statuses()),
        }
    }

    /// Sends the request to the next duty. The slots duty passes requests for another zone to the
    /// forward duty, and serves locally those that are returned without having run.
    fn route(&mut self, mut call: Call) {
        let now = self.context.clock.now();
        let is_local_entry = call.meta.hops == 0 && call.meta.target == self.context.zone;
        if is_local_entry
            && let Some(chosen) = decide::route(&mut self.state, &call.meta, self.settings, now)
        {
            let target = chosen.zone;
            call.meta.target = target;
            self.context.note(call.meta.id, Step::Shifted { target });
            self.context.metrics.count("requests_moved", 1);
        }
        self.dispatcher.send(call);
    }

    fn statuses(&self) -> Vec<Status> {
        let keys = self.state.names.rows().iter().map(|(_, key)| *key);
        let rows = keys.filter_map(|key| self.state.rows.get(key));
        rows.map(|row| self.status(row)).collect()
    }

    fn status(&self, row: &Row) -> Status {
        let now = self.context.clock.now();
        let zones = row.to.iter();
        let headroom = zones.map(|zone| decide::headroom(&self.state, row.service, *zone, now));
        Status {
            name: row.order.name.clone(),
            seen: row.seen,
            moved: row.moved,
            headroom: headroom.sum(),
            wait: row.wait,
        }
    }
}
