//! Thread of the steer duty.

use {
    super::{
        allotment, catalog,
        decide::{self, QUEUE_SCAN_MS, RequestHead},
        identity, learn,
        messages::{Message, Request},
        pressure, queue,
        settings::Settings,
        state::{Effect, State},
    },
    crate::{
        call::{Answer, Payload, Reason, Refusal, Reply},
        cancel::{self, Cancel, Guard},
        clock::Micros,
        context::Context,
        courier::{Caller, Dispatch, Ended, Report, Target},
        duty,
        keys::InFlightKey,
        observe::{Event, report, report_with},
        poison::{Monitor, fingerprint},
        ring::{AsyncSender, Ring, Wait},
        shares::{Hold, LeaseRequest},
    },
    slotmap::SecondaryMap,
    std::{io, sync::Arc, thread::JoinHandle, time::Duration},
};

/// Milliseconds after which the caller of a refused poison request may retry: at once would not help, as the
/// verdict holds until the upstreams are fixed.
const POISON_RETRY_MS: u32 = 30_000;
/// Maximum wait without a message, so that pacing windows end.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Dependencies of the duty.
pub struct Dependencies {
    /// Context of this process.
    pub context: Context,
    /// Local availability zone, by name.
    pub zone: String,
    /// Region of each availability zone, by name.
    pub zones: Vec<(String, String)>,
    /// Ring to the courier duty, which makes the attempts.
    pub courier: AsyncSender<Dispatch>,
    /// Ring to the duty that calls the leader of the control VMs for tokens of limits.
    pub leases: AsyncSender<LeaseRequest>,
    /// Requests that are refused since they have crashed upstreams.
    pub monitor: Monitor,
}

impl std::fmt::Debug for Dependencies {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Dependencies").finish_non_exhaustive()
    }
}

/// Content of a request in progress, and its reply channel.
struct PendingRequest {
    name: String,
    payload: Arc<Payload>,
    cancel: Cancel,
    reply: Reply,
    /// Upstream that it was last sent to.
    upstream: Arc<str>,
    /// Held until the attempt may no longer be sent.
    unrevoked: Option<Guard>,
}

struct Duty {
    context: Context,
    courier: AsyncSender<Dispatch>,
    leases: AsyncSender<LeaseRequest>,
    monitor: Monitor,
    state: State,
    pending: SecondaryMap<InFlightKey, PendingRequest>,
    /// Requests whose attempt was not sent because the courier's ring was full.
    unsent: Vec<InFlightKey>,
}

/// Starts the duty, which ends when its ring closes.
///
/// # Errors
/// The thread cannot start.
pub fn spawn(
    settings: Settings,
    deps: Dependencies,
    ring: Ring<Message>,
) -> io::Result<JoinHandle<()>> {
    let mut state = State::new(settings, &deps.zone, &deps.zones, deps.context.clock.now());
    state.hold = Hold::new(&deps.context.vm, deps.context.incarnation);
    let duty = Duty {
        context: deps.context,
        courier: deps.courier,
        leases: deps.leases,
        monitor: deps.monitor,
        state,
        pending: SecondaryMap::default(),
        unsent: Vec::new(),
    };
    duty::spawn("steer", move || duty.run(&ring))
}

impl Duty {
    fn run(mut self, ring: &Ring<Message>) {
        let scan = Duration::from_millis(QUEUE_SCAN_MS);
        loop {
            let wait = if queue::has_waiting(&self.state) {
                scan
            } else {
                MAX_WAIT
            };
            let now = self.context.clock.now();
            let next = allotment::next_tick(&self.state, now).map(|next| next.since(now));
            let wait = next.map_or(wait, |next| next.min(wait));
            match ring.recv_within(wait) {
                Wait::Message(Message::Request(request)) => self.admit(*request),
                Wait::Message(Message::AttemptEnded(report)) => self.finish_attempt(*report),
                Wait::Message(Message::CatalogUpdate(followed)) => {
                    let now = self.context.clock.now();
                    if catalog::apply(&mut self.state, &followed, now) {
                        identity::refuse_changed(&mut self.state, rand::random(), now);
                        allotment::apply_workspaces(&mut self.state);
                    }
                    self.record_catalog(&followed.catalog);
                }
                Wait::Message(Message::LeaseAnswer(answer)) => {
                    let now = self.context.clock.now();
                    allotment::apply_answer(&mut self.state, answer.as_ref(), rand::random(), now);
                }
                Wait::Message(Message::ControlReachable(is_reachable)) => {
                    self.state.is_control_reachable = is_reachable;
                }
                Wait::Timeout => {}
                Wait::Closed => return,
            }
            let now = self.context.clock.now();
            decide::tick(&mut self.state, rand::random(), now);
            self.apply_effects(None);
        }
    }

    fn record_catalog(&self, catalog: &crate::catalog::Catalog) {
        let gauge = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        let metrics = &self.context.metrics;
        metrics.set_gauge("catalog_revision", gauge(catalog.revision));
        metrics.set_gauge("version", gauge(catalog.version));
        metrics.set_gauge("upstreams", catalog.upstreams.rows().len());
    }

    fn admit(&mut self, request: Request) {
        let now = self.context.clock.now();
        let path = String::from_utf8_lossy(&request.payload.target);
        let path = path.split('?').next().unwrap_or_default();
        let head = RequestHead {
            host: &request.host,
            path,
            affinity: request.affinity,
            credential: request.credential,
            timeout_ms: request.timeout_ms,
            body_bytes: request.payload.body.len() as u64,
            random: rand::random(),
        };
        let admitted = if self.is_poisoned(&request.payload) {
            Err(Refusal {
                retry_ms: POISON_RETRY_MS,
                ..Refusal::not_run(Reason::Poisoned)
            })
        } else {
            decide::admit(&mut self.state, &head, now)
        };
        match admitted {
            Ok((key, _route)) => {
                let pending = PendingRequest {
                    name: request.name,
                    payload: request.payload,
                    cancel: request.cancel,
                    reply: request.reply,
                    upstream: "".into(),
                    unrevoked: None,
                };
                self.pending.insert(key, pending);
                self.apply_effects(None);
            }
            Err(refusal) => {
                self.context
                    .metrics
                    .count_refusal(refusal.reason, refusal.ran);
                let (name, reason) = (&*request.name, refusal.reason.name());
                report_with(
                    Event::REFUSED,
                    &[
                        ("request", name.into()),
                        ("reason", reason.into()),
                        ("ran", "no".into()),
                        ("version", self.state.version.into()),
                    ],
                    format_args!("{name} {reason}, host {}, path {path}", request.host),
                );
                (request.reply)(Err(refusal));
            }
        }
    }

    fn is_poisoned(&self, payload: &Payload) -> bool {
        self.monitor.is_poisoned(|| fingerprint(payload))
    }

    fn finish_attempt(&mut self, done: Report) {
        let now = self.context.clock.now();
        if let Ended::Failed { reason, ran, .. } = done.ended
            && reason != Reason::Cancelled
        {
            self.context.metrics.count_failure(reason);
            let pending = self.pending.get(done.in_flight);
            let (name, id) =
                pending.map_or(("?", "?"), |pending| (&*pending.name, &*pending.upstream));
            let took_ms = done.took_us / 1_000;
            report_with(
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
        if let Some(connect_us) = done.connect_us {
            learn::record_connect_time(&mut self.state, done.in_flight, connect_us);
        }
        self.log_attempt(&done, now);
        let random = rand::random();
        pressure::heed(&mut self.state, &done.target, done.notice, random, now);
        decide::finish_attempt(
            &mut self.state,
            done.in_flight,
            done.ended,
            done.took_us.saturating_sub(done.connect_us.unwrap_or(0)),
            random,
            now,
        );
        self.apply_effects(done.answer);
    }

    /// Logs the estimate for an attempt and its outcome, to diagnose late responses.
    fn log_attempt(&self, done: &Report, now: Micros) {
        let Some(in_flight) = self.state.in_flight.get(done.in_flight) else {
            return;
        };
        let Some((key, basis)) = in_flight.upstream else {
            return;
        };
        let (Some(upstream), Some(pending)) = (
            self.state.upstreams.get(key),
            self.pending.get(done.in_flight),
        ) else {
            return;
        };
        log::debug!(
            "{} {:?} from {}, service {}, key {:x}, took {} of {} ms, estimated load {:.1} of {} slots, \
             distance {}, affinity rank {}, cached {}, wait expected {}",
            pending.name,
            done.ended,
            upstream.id,
            in_flight.service,
            in_flight.affinity >> 48,
            done.took_us / 1_000,
            now.since(in_flight.arrived).as_millis(),
            basis.load,
            basis.slots,
            basis.distance,
            basis.affinity_rank,
            basis.cached,
            basis.expects_wait
        );
    }

    fn apply_effects(&mut self, mut response: Option<Answer>) {
        loop {
            let effects = std::mem::take(&mut self.state.effects);
            if effects.is_empty() {
                let Some(key) = self.unsent.pop() else {
                    return;
                };
                self.fail_unsent(key, Reason::RingFull);
            }
            // An effect may lead to others, such as a refusal in place of an attempt.
            for effect in effects {
                self.apply_effect(effect, &mut response);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect, response: &mut Option<Answer>) {
        match effect {
            Effect::Send {
                in_flight,
                upstream,
                address,
                id,
                born,
                deadline,
                is_checked,
                workspace,
                basis,
            } => {
                let Some(pending) = self.pending.get_mut(in_flight) else {
                    return;
                };
                if pending.cancel.is_cancelled() {
                    self.cancel(in_flight);
                    return;
                }
                // It may have become one while it waited, or with its last attempt.
                if self.monitor.is_poisoned(|| fingerprint(&pending.payload)) {
                    self.fail_unsent(in_flight, Reason::Poisoned);
                    return;
                }
                pending.upstream = Arc::clone(&id);
                report_with(
                    Event::PLACED,
                    &[
                        ("request", pending.name.as_str().into()),
                        ("upstream", (*id).into()),
                        ("load", basis.load.into()),
                        ("slots", basis.slots.into()),
                        ("distance", basis.distance.into()),
                        ("place", basis.affinity_rank.into()),
                        ("known", basis.cached.into()),
                        ("version", self.state.version.into()),
                    ],
                    format_args!(
                        "{} to {id}, estimated load {:.1} of {} slots, distance {}, affinity rank {}",
                        pending.name, basis.load, basis.slots, basis.distance, basis.affinity_rank
                    ),
                );
                let (guard, revoked) = is_checked.then(cancel::channel).unzip();
                pending.unrevoked = guard;
                let dispatch = Dispatch {
                    in_flight,
                    target: Target {
                        address,
                        id,
                        born,
                        key: upstream,
                    },
                    until: deadline,
                    payload: Arc::clone(&pending.payload),
                    caller: Caller {
                        is_checked,
                        workspace,
                        revoked,
                    },
                    cancel: pending.cancel.clone(),
                };
                if self.courier.offer(dispatch).is_err() {
                    report(Event::RING_FULL, format_args!("courier"));
                    self.unsent.push(in_flight);
                }
            }
            Effect::Revoke(in_flight) => {
                if let Some(pending) = self.pending.get_mut(in_flight) {
                    pending.unrevoked = None;
                }
            }
            Effect::Lease(request) => {
                if self.leases.offer(request).is_err() {
                    report(Event::RING_FULL, format_args!("shares"));
                    self.state.hold.failed(self.context.clock.now());
                }
            }
            Effect::Deliver(in_flight) => {
                if let (Some(pending), Some(response)) =
                    (self.pending.remove(in_flight), response.take())
                {
                    (pending.reply)(Ok(response));
                }
            }
            Effect::Refuse(in_flight, refusal) => self.refuse(in_flight, refusal),
            Effect::Queued => self.context.metrics.count("waited", 1),
            Effect::Retry(reason) => self.context.metrics.count_retry(reason),
        }
    }

    /// Ends a request whose caller disconnected before it was sent.
    fn cancel(&mut self, in_flight: InFlightKey) {
        self.fail_unsent(in_flight, Reason::Cancelled);
        queue::discard(&mut self.state, in_flight);
        self.pending.remove(in_flight);
    }

    /// Ends an attempt that was not sent.
    fn fail_unsent(&mut self, in_flight: InFlightKey, reason: Reason) {
        let now = self.context.clock.now();
        let failed = Ended::Failed {
            reason,
            ran: crate::call::Ran::No,
            load: None,
        };
        decide::finish_attempt(&mut self.state, in_flight, failed, 0, rand::random(), now);
    }

    fn refuse(&mut self, in_flight: InFlightKey, refusal: Refusal) {
        let Some(pending) = self.pending.remove(in_flight) else {
            return;
        };
        self.context
            .metrics
            .count_refusal(refusal.reason, refusal.ran);
        if refusal.reason != Reason::Cancelled {
            report_with(
                Event::REFUSED,
                &[
                    ("request", pending.name.as_str().into()),
                    ("reason", refusal.reason.name().into()),
                    ("ran", refusal.ran.name().into()),
                    ("upstream", (*pending.upstream).into()),
                    ("retry_ms", refusal.retry_ms.into()),
                    ("version", self.state.version.into()),
                ],
                format_args!(
                    "{} {}, ran {:?}, retry after {} ms",
                    pending.name,
                    refusal.reason.name(),
                    refusal.ran,
                    refusal.retry_ms
                ),
            );
        }
        (pending.reply)(Err(refusal));
    }
}
