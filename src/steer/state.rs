//! What an entry VM knows of upstreams and of requests on their way.

use {
    super::{budget::Budget, moves::Moves, reach::Reach, settings::Settings},
    crate::{
        call::{Reason, Refusal},
        catalog::{Idempotency, Route, Service},
        clock::Micros,
        courier::Load,
        keys::{FlightKey, UpstreamKey},
        routes::Index,
        sorted::Sorted,
    },
    slotmap::SlotMap,
    std::{net::SocketAddr, sync::Arc},
};

/// Distances: own zone, own region, beyond.
pub(super) const DISTANCES: usize = 3;
/// Most upstreams of one distance that an affinity key keeps to.
pub(super) const KEPT: usize = 2;
/// Milliseconds for which an upstream is believed to know an object: how much it keeps is not told;
/// at ten requests a second and a hundred objects kept it is about this.
const KNOWN_MS: u64 = 10_000;
/// Affinity keys remembered for each upstream: twice what it handles in that time at 50 requests a second.
const MOST_KEYS: usize = 1_024;

/// Seconds after which half of what was usual at an upstream no longer counts: a full queue there drains
/// in about that time once nobody adds to it.
const USUAL_S: f64 = 2.0;

/// Seconds without news after which half of what is usual no longer counts.
const SILENT_S: f64 = 0.5;

/// Load that an upstream told, apart from this VM's own requests.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Told {
    /// Requests of others there.
    pub(super) others: f64,
    /// What that usually is: a moving average.
    pub(super) usual: f64,
    /// When it was told.
    pub(super) at: Micros,
}

/// What the upstreams of a service at one distance usually have of others, for each of their slots. An
/// entry VM among many hears each of them seldom, but all together often.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usual {
    share: f64,
    at: Micros,
}

impl Usual {
    pub(super) fn note(&mut self, share: f64, now: Micros) {
        let kept = (-now.since(self.at).as_secs_f64() / USUAL_S).exp2();
        self.share = share + (self.share - share) * kept;
        self.at = now;
    }

    /// Fades when nothing is heard any more: they may have room again, and it is worth a try.
    pub(super) fn read(self, now: Micros) -> f64 {
        self.share * (-now.since(self.at).as_secs_f64() / SILENT_S).exp2()
    }
}

/// Requests that a cold upstream may still be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Warming {
    /// When it is warm.
    pub(super) until: Micros,
    /// Requests that may go now.
    pub(super) credit: f64,
    /// When the credit was counted.
    pub(super) at: Micros,
}

/// An upstream as this VM sees it.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) id: Arc<str>,
    pub(super) service: Arc<str>,
    pub(super) zone: Arc<str>,
    /// 0 in the own zone, 1 in the own region, 2 beyond.
    pub(super) distance: u8,
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) born: u64,
    /// Whether it may be sent anything: not leaving, not in an emptied zone.
    pub(super) open: bool,
    /// Own requests there.
    pub(super) own: u32,
    pub(super) told: Told,
    /// Moving average of its time over the expected one, and when it was last measured.
    pub(super) slow: (f64, Micros),
    /// Moving part of attempts that failed there.
    pub(super) bad: f64,
    /// Failures in a row.
    pub(super) fails: u32,
    /// When it may be tried again.
    pub(super) rests: Micros,
    pub(super) warming: Option<Warming>,
    /// Affinity keys of the requests that it answered, and when.
    pub(super) keys: Sorted<u64, Micros>,
}

/// A service as this VM sees it.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) service: Service,
    pub(super) upstreams: Vec<UpstreamKey>,
    /// Requests that wait, by rank and then by when they must start.
    pub(super) waiting: Vec<FlightKey>,
    /// Moving averages of an upstream's time in microseconds: for objects that this VM knows it has
    /// handled lately, and for others, where it may have for other VMs, by distance and place.
    pub(super) known: f64,
    pub(super) unsure: [[f64; KEPT]; DISTANCES],
    /// Moving averages of the microseconds of all work, by distance.
    pub(super) work: [f64; DISTANCES],
    /// Load of the upstreams there.
    pub(super) usual: [Usual; DISTANCES],
    /// Attempts that ended here a second, as a moving average.
    pub(super) ends: Rate,
    /// First and further attempts.
    pub(super) budget: Budget,
    /// Requests that leave the region.
    pub(super) moves: Moves,
    /// Affinity keys that leave it.
    pub(super) reach: Reach,
}

/// Events a second as an exponential average over about a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Rate {
    per_s: f64,
    at: Micros,
}

impl Rate {
    /// Seconds over which events are averaged.
    const SPAN: f64 = 1.0;

    pub(super) fn note(&mut self, now: Micros) {
        self.per_s = self.read(now) + 1.0 / Self::SPAN;
        self.at = now;
    }

    pub(super) fn read(&self, now: Micros) -> f64 {
        self.per_s * (-now.since(self.at).as_secs_f64() / Self::SPAN).exp()
    }
}

/// A request on its way.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    pub(super) affinity: u64,
    pub(super) arrived: Micros,
    /// When it is given up.
    pub(super) until: Micros,
    /// When it must have been sent, to be of use.
    pub(super) start: Micros,
    /// Where it is, and what that rested on.
    pub(super) upstream: Option<(UpstreamKey, Basis)>,
    /// Where it has been.
    pub(super) tried: Vec<UpstreamKey>,
    /// Of these, one that refused it with room: worth a second try, as it may know the object.
    pub(super) again: Option<UpstreamKey>,
    /// Upstreams that it may have run on.
    pub(super) ran: u32,
}

impl Flight {
    pub(super) fn repeatable(&self) -> bool {
        self.route.kind == Idempotency::Repeatable
    }
}

/// What is to be done.
#[derive(Clone, Debug)]
pub(super) enum Effect {
    /// Send it there.
    Send {
        flight: FlightKey,
        address: SocketAddr,
        id: Arc<str>,
        until: Micros,
        /// What decided it, for the log.
        basis: Basis,
    },
    /// Deliver the answer that has come.
    Deliver(FlightKey),
    /// Answer it without an upstream's answer.
    Refuse(FlightKey, Refusal),
    /// It waits.
    Waits,
    /// It is tried again, and why.
    Again(Reason),
}

/// What a placing rested on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Basis {
    /// Requests believed to be there.
    pub(super) load: f64,
    pub(super) slots: u32,
    pub(super) distance: u8,
    /// Its place among those that the affinity key prefers.
    pub(super) rank: usize,
    /// Whether its key goes to the own zone first, and no room was found there.
    pub(super) spills: bool,
    /// Whether a wait was expected there.
    pub(super) waits: bool,
    /// Whether it was believed to know the object.
    pub(super) known: bool,
}

/// Everything that the duty knows.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    /// Own zone and region, and the region of each zone, by name.
    pub(super) zone: Arc<str>,
    pub(super) region: Arc<str>,
    pub(super) regions: Sorted<String, Arc<str>>,
    pub(super) version: u64,
    pub(super) index: Index,
    pub(super) upstreams: SlotMap<UpstreamKey, Upstream>,
    pub(super) ids: Sorted<Arc<str>, UpstreamKey>,
    pub(super) pools: Sorted<Arc<str>, Pool>,
    /// Weights given out so far, by route and part.
    pub(super) splits: Sorted<Arc<str>, Vec<i64>>,
    pub(super) flights: SlotMap<FlightKey, Flight>,
    /// When the entry VMs are known, after a start.
    pub(super) settled: Micros,
    /// Entry VMs by zone, and all together.
    pub(super) entries: Sorted<String, u32>,
    /// Moving average of the microseconds that a connection takes to open, by distance.
    pub(super) travel: [f64; DISTANCES],
    pub(super) out: Vec<Effect>,
}

impl State {
    pub(super) fn new(settings: Settings, zone: &str, zones: &[(String, String)]) -> Self {
        let mut regions: Sorted<String, Arc<str>> = Sorted::default();
        for (name, region) in zones {
            regions.insert(name.clone(), region.as_str().into());
        }
        let region = regions.get(zone).cloned().unwrap_or_else(|| "".into());
        Self {
            settings,
            zone: zone.into(),
            region,
            regions,
            version: 0,
            index: Index::default(),
            upstreams: SlotMap::default(),
            ids: Sorted::default(),
            pools: Sorted::default(),
            splits: Sorted::default(),
            flights: SlotMap::default(),
            settled: Micros(0),
            entries: Sorted::default(),
            travel: [0.0; DISTANCES],
            out: Vec::new(),
        }
    }

    /// Entry VMs that serve, this one at least.
    pub(super) fn all_entries(&self) -> u32 {
        let sum: u32 = self.entries.rows().iter().map(|(_, count)| count).sum();
        sum.max(1)
    }

    /// Entry VMs that serve in `zone`.
    pub(super) fn entries_in(&self, zone: &str) -> u32 {
        self.entries.get(zone).copied().unwrap_or(0)
    }
}

impl Upstream {
    /// Requests believed to be there: the own ones, and those of others. What was told of them holds for
    /// about as long as a request takes; after that they are as many as usual here, and later as usual
    /// at its `peers`.
    pub(super) fn load(&self, peers: Usual, now: Micros, told_ms: u64) -> f64 {
        let age = now.since(self.told.at).as_secs_f64();
        #[allow(clippy::cast_precision_loss, reason = "a few hundred at most")]
        let half = told_ms.max(1) as f64 / 1_000.0;
        let peers = peers.read(now) * f64::from(self.slots);
        let usual = peers + (self.told.usual - peers) * (-age / USUAL_S).exp2();
        let others = usual + (self.told.others - usual) * (-age / half).exp2();
        f64::from(self.own) + others
    }

    /// Whether it answered a request with that affinity key lately.
    pub(super) fn knows(&self, key: u64, now: Micros) -> bool {
        let at = self.keys.get(&key);
        at.is_some_and(|at| now < at.plus_millis(KNOWN_MS))
    }

    /// Notes that it answered a request with that affinity key.
    pub(super) fn learn_key(&mut self, key: u64, now: Micros) {
        if self.keys.len() >= MOST_KEYS {
            self.keys.retain(|_, at| now < at.plus_millis(KNOWN_MS));
        }
        if self.keys.len() < MOST_KEYS {
            self.keys.insert(key, now);
        }
    }

    /// How many times longer than usual it takes; an old measurement fades, so that it is tried again.
    pub(super) fn slowness(&self, now: Micros) -> f64 {
        /// Seconds after which half of a deviation no longer counts.
        const HALF: f64 = 3.0;
        let (slow, at) = self.slow;
        1.0 + (slow - 1.0) * (-now.since(at).as_secs_f64() / HALF).exp2()
    }

    /// Takes in the load that was told with an answer to one of the own requests.
    pub(super) fn hear(&mut self, load: Load, now: Micros) {
        let all = f64::from(load.running) + f64::from(load.waiting);
        let others = (all - f64::from(self.own)).max(0.0);
        let age = now.since(self.told.at).as_secs_f64();
        let kept = (-age / USUAL_S).exp2();
        self.told = Told {
            others,
            usual: others + (self.told.usual - others) * kept,
            at: now,
        };
        if load.slots > 0 {
            self.slots = load.slots;
        }
    }
}
