//! The thread of the drain duty.

use {
    super::{
        decide::{self, Change, Location},
        messages::Message,
        state::State,
    },
    crate::{
        context::Context,
        duty,
        observe::{Event, report},
        ring::{Ring, Wait},
    },
    std::{io, thread::JoinHandle, time::Duration},
};

const IDLE_WAIT: Duration = Duration::from_mins(1);
/// Interval at which the requests in flight are counted while this VM is drained.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the duty.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(context: Context, ring: Ring<Message>) -> io::Result<JoinHandle<()>> {
    duty::spawn("drain", move || run(&context, &ring))
}

fn run(context: &Context, ring: &Ring<Message>) {
    let zones = &context.topology.zones;
    let zone = zones
        .get(usize::from(context.zone.0))
        .map_or("", |zone| &zone.name);
    let location = Location {
        vm: &context.vm,
        zone,
    };
    let mut state = State::default();
    loop {
        let wait = if state.has_vm_drain() {
            COUNT_INTERVAL
        } else {
            IDLE_WAIT
        };
        let now = || context.clock.now();
        match ring.recv_within(wait) {
            Wait::Message(Message::Update { policy, draining }) => {
                let changes = decide::update(&mut state, location, &policy, &draining, now());
                report_changes(context, changes);
            }
            Wait::Message(Message::Read(reply)) => reply(decide::progress(&state, now())),
            Wait::Timeout => {}
            Wait::Closed => return,
        }
        let changes = decide::record_in_flight(&mut state, context.in_flight(), now());
        report_changes(context, changes);
        context.metrics.set_gauge("draining", state.running());
    }
}

fn report_changes(context: &Context, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Started(drain, cause) => {
                report(
                    Event::DRAIN_BEGAN,
                    format_args!("{drain} ({})", cause.name()),
                );
            }
            Change::Done(drain, cause, took_ms) => {
                let cause = cause.name();
                report(
                    Event::DRAIN_DONE,
                    format_args!("{drain} ({cause}) after {took_ms} ms"),
                );
                context.metrics.count("drains_done", 1);
                context.metrics.count("drain_ms_sum", took_ms);
                let took = usize::try_from(took_ms).unwrap_or(usize::MAX);
                context.metrics.set_gauge("drain_ms", took);
            }
        }
    }
}
