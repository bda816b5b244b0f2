//! State of the steer duty: upstreams, services and requests in progress.

use {
    super::{
        allotment::Awaiting,
        bodies::Bodies,
        budget::{RetryBudget, SlackShare},
        fleet::RecentMax,
        locality::Locality,
        pacing::RegionPacer,
        settings::Settings,
    },
    crate::{
        backpressure,
        balance::{self, Average, Estimate, Expected, Rankings},
        call::{Reason, Refusal},
        catalog::{Route, Service},
        clock::Micros,
        courier::Load,
        fairness::{self, Flow},
        keys::{InFlightKey, UpstreamKey, WorkspaceKey},
        routes::Index,
        shares::{Hold, LeaseRequest, Token},
        sorted::Sorted,
        workspaces::{self, Credential},
    },
    slotmap::SlotMap,
    std::{net::SocketAddr, sync::Arc},
};

/// Distances: local zone, local region, other regions.
pub(super) const DISTANCES: usize = 3;
/// Maximum number of preferred upstreams of an affinity key at one distance.
pub(super) const MAX_PREFERRED: usize = 2;
/// Milliseconds for which an upstream is assumed to have a key's data cached. Upstreams do not report the
/// size of their caches; at 10 requests per second and 100 cached keys, a key stays cached for about this time.
const CACHED_MS: u64 = 10_000;
/// Affinity keys remembered for each upstream: twice what it serves in that time at 50 requests per second.
const MAX_KEYS: usize = 1_024;

/// Token bucket for the requests that a cold upstream may be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStart {
    /// Time from which it is warm.
    pub(super) until: Micros,
    /// Requests that may be sent now.
    pub(super) tokens: f64,
    /// Time at which `tokens` was computed.
    pub(super) updated: Micros,
}

/// An upstream as seen by this VM.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) id: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) zone: Arc<str>,
    /// 0 in the local zone, 1 in the local region, 2 in other regions.
    pub(super) distance: u8,
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) born: u64,
    /// Sequence number of the report from which its row was made.
    pub(super) seq: u64,
    /// Whether it may be sent requests: neither leaving nor in an evacuated zone.
    pub(super) eligible: bool,
    /// Requests of this VM in flight there.
    pub(super) in_flight_count: u32,
    /// Load that it reported.
    pub(super) reported: Estimate,
    /// Moving average of its work time relative to the expected one, and the time of the newest sample.
    pub(super) slowness: (f64, Micros),
    /// Moving average of the share of attempts that failed there.
    pub(super) failure_rate: f64,
    /// Consecutive failures.
    pub(super) failures: u32,
    /// End of its back-off.
    pub(super) backoff_until: Micros,
    pub(super) slow_start: Option<SlowStart>,
    /// Affinity keys of the requests that it responded to, and the times of the responses.
    pub(super) recent_keys: Sorted<u64, Micros>,
}

/// A service as seen by this VM.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) service: Service,
    /// Its upstreams, by distance.
    pub(super) upstreams: [Vec<UpstreamKey>; DISTANCES],
    /// The highest number of slots of an upstream.
    pub(super) most_slots: u32,
    /// Preferred upstreams of affinity keys.
    pub(super) rankings: Rankings<DISTANCES>,
    /// Waiting requests.
    pub(super) waiting: fairness::Queue,
    /// Moving averages of an upstream's work time in microseconds: for affinity keys that it recently served
    /// for this VM, and by distance and affinity rank for others, which it may have served for other VMs.
    pub(super) cached_us: f64,
    pub(super) uncached_us: [[f64; MAX_PREFERRED]; DISTANCES],
    /// Moving averages of the work time of all requests in microseconds, by distance.
    pub(super) work_us: [f64; DISTANCES],
    /// Average load that other VMs cause at the upstreams, by distance.
    pub(super) average_load: [Average; DISTANCES],
    /// Rate of completed requests.
    pub(super) completions: Rate,
    /// Limits retries.
    pub(super) budget: RetryBudget,
    /// Limits the change of the share of requests that leave the region.
    pub(super) pacer: RegionPacer,
    /// Selects the affinity keys that stay in the local zone.
    pub(super) locality: Locality,
}

/// Events per second, averaged exponentially over about a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    per_s: f64,
    at: Micros,
}

impl Rate {
    /// Averaging time in seconds.
    const SPAN_S: f64 = 1.0;

    pub(super) fn record(&mut self, now: Micros) {
        self.per_s = self.read(now) + 1.0 / Self::SPAN_S;
        self.at = now;
    }

    pub(super) fn read(&self, now: Micros) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / Self::SPAN_S).exp()
    }
}

/// A request that waits or is in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) route: Arc<Route>,
    pub(super) credential: Credential,
    /// Workspace that it was admitted as.
    pub(super) workspace: Option<WorkspaceKey>,
    /// Flow that it belongs to while it waits.
    pub(super) flow: Flow,
    /// Priority when capacity is scarce: the workspace's if it has one, otherwise the route's.
    pub(super) rank: u32,
    pub(super) service: Arc<str>,
    pub(super) affinity: u64,
    /// Whether any upstream serves it equally well, as it has no affinity key.
    pub(super) is_keyless: bool,
    /// Drawn anew for each request.
    pub(super) random: u64,
    /// Size of the body.
    pub(super) body_bytes: u64,
    pub(super) arrived: Micros,
    /// Time at which it times out.
    pub(super) deadline: Micros,
    /// Latest time to send it.
    pub(super) send_by: Micros,
    /// Upstream of the current attempt, and the basis of its choice.
    pub(super) upstream: Option<(UpstreamKey, Basis)>,
    /// Upstreams that it has been sent to, one entry for each send.
    pub(super) tried: Vec<UpstreamKey>,
    /// One of these that refused it despite free slots: worth a second attempt, as the key's data may be
    /// cached there.
    pub(super) retry_same: Option<UpstreamKey>,
    /// Attempts that an upstream may have run.
    pub(super) possible_runs: u32,
    /// Token that it has taken of its workspace's limit.
    pub(super) token: Option<Token>,
}

impl InFlight {
    pub(super) fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }

    /// Whether it may be sent to upstreams in `region`: its route and its workspace both allow it.
    pub(super) fn may_enter(
        &self,
        region: Option<&Arc<str>>,
        workspaces: &workspaces::Index,
    ) -> bool {
        let workspace = self.workspace.and_then(|key| workspaces.get(key));
        let allows = |homes: &[String]| {
            homes.is_empty()
                || region.is_some_and(|region| homes.iter().any(|home| **home == **region))
        };
        allows(&self.route.homes) && workspace.is_none_or(|workspace| allows(&workspace.homes))
    }
}

/// Action that the thread has to carry out.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Sends the request to an upstream.
    Send {
        in_flight: InFlightKey,
        upstream: UpstreamKey,
        address: SocketAddr,
        id: Arc<str>,
        /// Incarnation of the upstream.
        born: u64,
        deadline: Micros,
        /// Whether callers need an API key.
        is_checked: bool,
        /// Name of the caller's workspace.
        workspace: Option<Arc<str>>,
        /// Basis of the choice, for the log.
        basis: Basis,
    },
    /// Takes back an attempt that has not been sent yet: the caller's identity has changed.
    Revoke(InFlightKey),
    /// Calls the leader of the control VMs for tokens of limits.
    Lease(LeaseRequest),
    /// Delivers the response that has arrived.
    Deliver(InFlightKey),
    /// Refuses the request without an upstream's response.
    Refuse(InFlightKey, Refusal),
    /// The request was queued.
    Queued,
    /// The request is retried, for this reason.
    Retry(Reason),
}

/// Relation of a placement to the local zone and region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Preference {
    /// The request went where its key prefers.
    Met,
    /// The key prefers the local zone, but no upstream there could be selected.
    Spilled,
    /// The request may not be served in the local region.
    RemoteHome,
}

/// Basis of a placement.
#[derive(Clone, Copy, Debug)]
pub(super) struct Basis {
    /// Estimated requests at the upstream.
    pub(super) load: f64,
    pub(super) slots: u32,
    pub(super) distance: u8,
    /// Rank among the preferred upstreams of the affinity key; `MAX_PREFERRED` for any other upstream.
    pub(super) affinity_rank: usize,
    pub(super) preference: Preference,
    /// Whether a wait at the upstream was expected.
    pub(super) expects_wait: bool,
    /// Whether the upstream was assumed to have the key's data cached.
    pub(super) cached: bool,
}

/// Complete state of the duty.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    /// Local zone and region, and the region of each zone, by name.
    pub(super) zone: Arc<str>,
    pub(super) region: Arc<str>,
    pub(super) regions: Sorted<String, Arc<str>>,
    pub(super) version: u64,
    /// Maximum size of a request body in bytes, as configured.
    pub(super) body_bytes: u64,
    pub(super) index: Index,
    pub(super) workspaces: workspaces::Index,
    /// Whether any control VM can be reached.
    pub(super) is_control_reachable: bool,
    pub(super) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(super) ids: Sorted<Arc<str>, UpstreamKey>,
    pub(super) pools: Sorted<Arc<str>, Pool>,
    /// Current weights of the smooth weighted round-robin, by route and service.
    pub(super) splits: Sorted<Arc<str>, Vec<i128>>,
    pub(super) in_flight: SlotMap<InFlightKey, InFlight>,
    /// Bodies in flight to upstreams.
    pub(super) bodies: Bodies,
    /// Part of the fixed retry slack that this VM may use.
    pub(super) slack_share: SlackShare,
    /// Time after a start from which the other entry VMs are known.
    pub(super) discovery_end: Micros,
    /// Number of serving entry VMs by zone.
    pub(super) entry_vms: Sorted<String, RecentMax>,
    /// Moving average of the time to open a connection in microseconds, by distance.
    pub(super) connect_us: [f64; DISTANCES],
    /// What the responses of upstreams said about further requests.
    pub(super) pressure: backpressure::State,
    /// Tokens of the limits of workspaces, and the requests that wait for one, in order of arrival.
    pub(super) hold: Hold,
    pub(super) awaiting: Vec<Awaiting>,
    pub(super) effects: Vec<Effect>,
}

impl State {
    pub(super) fn new(
        settings: Settings,
        zone: &str,
        zones: &[(String, String)],
        started: Micros,
    ) -> Self {
        let mut regions: Sorted<String, Arc<str>> = Sorted::default();
        for (name, region) in zones {
            regions.insert(name.clone(), region.as_str().into());
        }
        let region = regions.get(zone).cloned().unwrap_or_else(|| "".into());
        Self {
            slack_share: SlackShare::new(settings.retry_ms, started),
            settings,
            zone: zone.into(),
            region,
            regions,
            version: 0,
            body_bytes: u64::MAX,
            index: Index::default(),
            workspaces: workspaces::Index::default(),
            is_control_reachable: false,
            upstreams: SlotMap::default(),
            ids: Sorted::default(),
            pools: Sorted::default(),
            splits: Sorted::default(),
            in_flight: SlotMap::default(),
            bodies: Bodies::default(),
            discovery_end: Micros(0),
            entry_vms: Sorted::default(),
            connect_us: [0.0; DISTANCES],
            pressure: backpressure::State::default(),
            hold: Hold::new("", 0),
            awaiting: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Number of serving entry VMs, at least one.
    pub(super) fn entry_count(&self) -> u32 {
        let rows = self.entry_vms.rows().iter();
        let sum: u32 = rows.map(|(_, count)| count.current()).sum();
        sum.max(1)
    }

    /// Number of entry VMs that may have served lately, at least one.
    pub(super) fn recent_entry_count(&self, now: Micros) -> u32 {
        let rows = self.entry_vms.rows().iter();
        let sum: u32 = rows.map(|(_, count)| count.read(now)).sum();
        sum.max(1)
    }

    /// Number of entry VMs in `zone` that may have served lately.
    pub(super) fn recent_entry_count_in(&self, zone: &str, now: Micros) -> u32 {
        let count = self.entry_vms.get(zone);
        count.map_or(0, |count| count.read(now))
    }
}

impl Pool {
    /// Keys of all its upstreams.
    pub(super) fn keys(&self) -> impl Iterator<Item = &UpstreamKey> + Clone {
        self.upstreams.iter().flatten()
    }
}

impl Upstream {
    /// Expected requests at the upstream, where a report is valid with a half-life of `decay_ms`.
    pub(super) fn expect(&self, peers: Average, now: Micros, decay_ms: u64) -> Expected {
        self.reported
            .expect(self.in_flight_count, self.slots, peers, now, decay_ms)
    }

    /// Limits its requests for `cold_ms` from now on. A slow start that lasts longer continues.
    pub(super) fn extend_slow_start(&mut self, cold_ms: u64, now: Micros) {
        let until = now.plus_millis(cold_ms);
        match &mut self.slow_start {
            Some(active) if now < active.until => active.until = active.until.max(until),
            _ => {
                self.slow_start = Some(SlowStart {
                    until,
                    tokens: 0.0,
                    updated: now,
                });
            }
        }
    }

    /// Whether it recently responded to a request with that affinity key.
    pub(super) fn has_cached(&self, key: u64, now: Micros) -> bool {
        let at = self.recent_keys.get(&key);
        at.is_some_and(|at| now < at.plus_millis(CACHED_MS))
    }

    /// Records that it responded to a request with that affinity key.
    pub(super) fn record_key(&mut self, key: u64, now: Micros) {
        if self.recent_keys.len() >= MAX_KEYS {
            self.recent_keys
                .retain(|_, at| now < at.plus_millis(CACHED_MS));
        }
        if self.recent_keys.len() < MAX_KEYS {
            self.recent_keys.insert(key, now);
        }
    }

    /// Factor by which its work time exceeds the average at this moment, as far as it reports that.
    pub(super) fn present_slowness(&self, now: Micros) -> f64 {
        self.reported.slowness(self.slowness(now), now)
    }

    /// Factor by which its work time usually exceeds the average. Decays without new samples, so that the upstream
    /// is tried again.
    pub(super) fn slowness(&self, now: Micros) -> f64 {
        /// Half-life of a deviation in seconds.
        const HALF_LIFE_S: f64 = 3.0;
        let (slowness, at) = self.slowness;
        1.0 + (slowness - 1.0) * (-now.since(at).as_secs_f64() / HALF_LIFE_S).exp2()
    }

    /// Records the load reported in the response to a request of this VM.
    pub(super) fn record_load(&mut self, load: Load, decay_ms: u64, now: Micros) {
        let load = balance::Load {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            slow_percent: load.slow_percent,
            at: now,
        };
        self.reported.record(load, self.in_flight_count, decay_ms);
        if load.slots > 0 {
            self.slots = load.slots;
        }
    }
}
