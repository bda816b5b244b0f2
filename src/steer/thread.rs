//! The thread of the steer duty.

use {
    super::{
        catalog,
        decide::{self, Asked, LOOK_MS},
        learn,
        messages::{Ask, Message},
        settings::Settings,
        state::{Effect, State},
    },
    crate::{
        call::{Answer, Payload, Reason, Refusal, Reply},
        cancel::Cancel,
        clock::Micros,
        context::Context,
        courier::{Dispatch, Ended, Report, Target},
        duty,
        keys::FlightKey,
        observe::{Event, note, report},
        ring::{Outbox, Ring, Wait},
    },
    slotmap::SecondaryMap,
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

/// Longest wait without a message, so that windows of pacing end.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// What the duty is wired to.
pub struct Wires {
    /// Who we are.
    pub context: Context,
    /// Own availability zone, by name.
    pub zone: String,
    /// Region of each availability zone, by name.
    pub zones: Vec<(String, String)>,
    /// Takes attempts.
    pub courier: Outbox<Dispatch>,
}

impl std::fmt::Debug for Wires {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Wires").finish_non_exhaustive()
    }
}

/// The content of a request on its way.
struct Held {
    name: String,
    payload: Arc<Payload>,
    cancel: Cancel,
    reply: Reply,
    /// The upstream that it was sent to last.
    upstream: Arc<str>,
}

struct Duty {
    context: Context,
    courier: Outbox<Dispatch>,
    state: State,
    held: SecondaryMap<FlightKey, Held>,
    /// Flights whose attempt the courier had no room for.
    unsent: Vec<FlightKey>,
}

/// Starts the duty; it ends when its ring closes.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(settings: Settings, wires: Wires, ring: Ring<Message>) -> io::Result<JoinHandle<()>> {
    let state = State::new(settings, &wires.zone, &wires.zones);
    let duty = Duty {
        context: wires.context,
        courier: wires.courier,
        state,
        held: SecondaryMap::default(),
        unsent: Vec::new(),
    };
    duty::spawn("steer", move || duty.run(&ring))
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        let look = Duration::from_millis(LOOK_MS);
        loop {
            let wait = if decide::is_waiting(&self.state) {
                look
            } else {
                LONGEST_WAIT
            };
            match ring.recv_within(wait) {
                Wait::Message(Message::Ask(ask)) => self.ask(*ask),
                Wait::Message(Message::Ended(report)) => self.ended(*report),
                Wait::Message(Message::Followed(followed)) => {
                    let now = self.context.clock.now();
                    catalog::adopt(&mut self.state, &followed, now);
                    self.note_catalog(&followed.catalog);
                }
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            let now = self.context.clock.now();
            decide::tick(&mut self.state, rand::random(), now);
            self.carry_out(None);
        }
    }

    fn note_catalog(&self, catalog: &crate::catalog::Catalog) {
        let level = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let metrics = &self.context.metrics;
        metrics.level("catalog_revision", level(catalog.revision));
        metrics.level("version", level(catalog.version));
        metrics.level("upstreams", catalog.upstreams.rows().len());
    }

    fn ask(&mut self, ask: Ask) {
        let now = self.context.clock.now();
        let path = String::from_utf8_lossy(&ask.payload.target);
        let path = path.split('?').next().unwrap_or_default();
        let asked = Asked {
            host: &ask.host,
            path,
            affinity: ask.affinity,
            patience_ms: ask.patience_ms,
            random: rand::random(),
        };
        match decide::arrive(&mut self.state, &asked, now) {
            Ok((key, _route)) => {
                let held = Held {
                    name: ask.name,
                    payload: ask.payload,
                    cancel: ask.cancel,
                    reply: ask.reply,
                    upstream: "".into(),
                };
                self.held.insert(key, held);
                self.carry_out(None);
            }
            Err(refusal) => {
                self.context.metrics.refuse(refusal.reason, refusal.ran);
                let (name, reason) = (&*ask.name, refusal.reason.name());
                note(
                    Event::REFUSED,
                    &[
                        ("request", name.into()),
                        ("reason", reason.into()),
                        ("ran", "no".into()),
                        ("version", self.state.version.into()),
                    ],
                    format_args!("{name} {reason}, host {}, path {path}", ask.host),
                );
                (ask.reply)(Err(refusal));
            }
        }
    }

    fn ended(&mut self, done: Report) {
        let now = self.context.clock.now();
        if let Ended::Failed { reason, ran, .. } = done.ended
            && reason != Reason::Cancelled
        {
            self.context.metrics.fail(reason);
            let held = self.held.get(done.flight);
            let (name, id) = held.map_or(("?", "?"), |held| (&*held.name, &*held.upstream));
            let took_ms = done.took_us / 1_000;
            note(
                Event::ATTEMPT_FAILED,
                &[
                    ("request", name.into()),
                    ("reason", reason.name().into()),
                    ("ran", ran.name().into()),
                    ("upstream", id.into()),
                    ("took_ms", took_ms.into()),
                ],
                format_args!(
                    "{name} {}, ran {ran:?}, upstream {id}, after {took_ms} ms",
                    reason.name()
                ),
            );
        }
        if let Some(opened) = done.connect_us {
            learn::travelled(&mut self.state, done.flight, opened);
        }
        self.note_end(&done, now);
        let random = rand::random();
        decide::ended(
            &mut self.state,
            done.flight,
            done.ended,
            done.took_us.saturating_sub(done.connect_us.unwrap_or(0)),
            random,
            now,
        );
        self.carry_out(done.answer);
    }

    /// What was expected of an attempt, and what came: for finding out why answers are late.
    fn note_end(&self, done: &Report, now: Micros) {
        let Some(flight) = self.state.flights.get(done.flight) else {
            return;
        };
        let Some((key, basis)) = flight.upstream else {
            return;
        };
        let (Some(upstream), Some(held)) =
            (self.state.upstreams.get(key), self.held.get(done.flight))
        else {
            return;
        };
        log::debug!(
            "{} {:?} from {}, service {}, key {:x}, took {} of {} ms, believed load {:.1} of {}, \
             distance {}, place {}, known {}, wait {}",
            held.name,
            done.ended,
            upstream.id,
            flight.service,
            flight.affinity >> 48,
            done.took_us / 1_000,
            now.since(flight.arrived).as_millis(),
            basis.load,
            basis.slots,
            basis.distance,
            basis.rank,
            basis.known,
            basis.waits
        );
    }

    fn carry_out(&mut self, mut answer: Option<Answer>) {
        loop {
            let effects = std::mem::take(&mut self.state.out);
            for effect in effects {
                self.carry_one(effect, &mut answer);
            }
            let Some(key) = self.unsent.pop() else {
                return;
            };
            let failed = Ended::Failed {
                reason: Reason::RingFull,
                ran: crate::call::Ran::No,
                load: None,
            };
            let now = self.context.clock.now();
            decide::ended(&mut self.state, key, failed, 0, rand::random(), now);
        }
    }

    fn carry_one(&mut self, effect: Effect, answer: &mut Option<Answer>) {
        match effect {
            Effect::Send {
                flight,
                address,
                id,
                until,
                basis,
            } => {
                let Some(held) = self.held.get_mut(flight) else {
                    return;
                };
                if held.cancel.is_cancelled() {
                    self.leave(flight);
                    return;
                }
                held.upstream = Arc::clone(&id);
                note(
                    Event::PLACED,
                    &[
                        ("request", held.name.as_str().into()),
                        ("upstream", (*id).into()),
                        ("load", basis.load.into()),
                        ("slots", basis.slots.into()),
                        ("distance", basis.distance.into()),
                        ("place", basis.rank.into()),
                        ("known", basis.known.into()),
                        ("version", self.state.version.into()),
                    ],
                    format_args!(
                        "{} to {id}, load {:.1} of {}, distance {}, place {}",
                        held.name, basis.load, basis.slots, basis.distance, basis.rank
                    ),
                );
                let dispatch = Dispatch {
                    flight,
                    target: Target { address, id },
                    until,
                    payload: Arc::clone(&held.payload),
                    cancel: held.cancel.clone(),
                };
                if self.courier.offer(dispatch).is_err() {
                    report(Event::RING_FULL, format_args!("courier"));
                    self.unsent.push(flight);
                }
            }
            Effect::Deliver(flight) => {
                if let (Some(held), Some(answer)) = (self.held.remove(flight), answer.take()) {
                    (held.reply)(Ok(answer));
                }
            }
            Effect::Refuse(flight, refusal) => self.refuse(flight, refusal),
            Effect::Waits => self.context.metrics.count("waited", 1),
            Effect::Again(reason) => self.context.metrics.retry(reason),
        }
    }

    /// The caller has left before its request was sent.
    fn leave(&mut self, flight: FlightKey) {
        let now = self.context.clock.now();
        let left = Ended::Failed {
            reason: Reason::Cancelled,
            ran: crate::call::Ran::No,
            load: None,
        };
        decide::ended(&mut self.state, flight, left, 0, 0, now);
        decide::forget(&mut self.state, flight);
        self.held.remove(flight);
    }

    fn refuse(&mut self, flight: FlightKey, refusal: Refusal) {
        let Some(held) = self.held.remove(flight) else {
            return;
        };
        self.context.metrics.refuse(refusal.reason, refusal.ran);
        if refusal.reason != Reason::Cancelled {
            note(
                Event::REFUSED,
                &[
                    ("request", held.name.as_str().into()),
                    ("reason", refusal.reason.name().into()),
                    ("ran", refusal.ran.name().into()),
                    ("upstream", (*held.upstream).into()),
                    ("retry_ms", refusal.retry_ms.into()),
                    ("version", self.state.version.into()),
                ],
                format_args!(
                    "{} {}, ran {:?}, back in {} ms",
                    held.name,
                    refusal.reason.name(),
                    refusal.ran,
                    refusal.retry_ms
                ),
            );
        }
        (held.reply)(Err(refusal));
    }
}
