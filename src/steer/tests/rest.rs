//! Tests of upstreams that ask for a rest period.

use {
    super::{World, at, failed, ms},
    crate::{
        backpressure::Notice,
        call::{Ran, Reason},
        catalog::Upstream,
        clock::Micros,
        courier::Target,
        keys::InFlightKey,
        steer::{decide, pressure, queue, state::Effect},
    },
};

impl World {
    /// The upstream of a request asks for no requests for `rest_ms` and refuses it.
    fn refuse_resting(&mut self, key: InFlightKey, rest_ms: u64, random: u64) {
        let (upstream, _) = self.state.in_flight[key].upstream.unwrap();
        let row = &self.state.upstreams[upstream];
        let target = Target {
            address: row.address,
            id: row.id.clone(),
            born: row.born,
            key: upstream,
        };
        let notice = Notice {
            is_leaving: false,
            rest_until: Some(self.now.plus_millis(rest_ms)),
        };
        pressure::heed(&mut self.state, &target, notice, random, self.now);
        self.finish(key, failed(Reason::UpstreamRefused, Ran::No));
    }

    fn is_sent(&mut self, key: u64) -> Option<InFlightKey> {
        let in_flight = self.admit("/one/x", key);
        let is_sent = self.effects().iter().any(|row| row.starts_with("send"));
        if !is_sent {
            queue::discard(&mut self.state, in_flight);
        }
        is_sent.then_some(in_flight)
    }

    /// Retry delay of a request that is refused at once.
    fn retry_ms(&mut self) -> (Reason, u32) {
        self.state.effects.clear();
        self.admit("/one/x", 1);
        match self.state.effects.drain(..).next() {
            Some(Effect::Refuse(_, refusal)) => (refusal.reason, refusal.retry_ms),
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against requests to a resting upstream, against several at the end of its period, and against the full rate
/// right after it.
#[test]
fn a_resting_upstream_gets_one_probe_at_the_end_and_then_a_rising_rate() {
    let mut world = World::new(&[("a1", at("a", 1))]);
    let first = world.is_sent(1).unwrap();
    world.refuse_resting(first, 2_000, 0);
    world.effects();
    let mut sent = Vec::new();
    let mut probe = None;
    for step in 0..200 {
        let now = step * 20;
        world.now = ms(now);
        if let Some(key) = world.is_sent(1) {
            sent.push(now);
            if probe.is_none() {
                probe = Some(key);
            } else {
                world.respond(key);
                world.effects();
            }
        }
        // The probe takes 200 ms. Nothing else is sent meanwhile.
        if now == 2_200 {
            assert_eq!(sent, [2_000]);
            world.respond(probe.unwrap());
            sent.extend(
                world
                    .effects()
                    .iter()
                    .any(|row| row.starts_with("send"))
                    .then_some(now),
            );
        }
    }
    // Half a second, a quarter and so on: the period of two seconds gives a first interval of 500 ms.
    assert_eq!(sent[..5], [2_000, 2_700, 2_960, 3_100, 3_180], "{sent:?}");
    assert!(sent.len() > 30, "{sent:?}");
}

/// Guards against a return to an upstream whose probe was refused, and against one that never comes back.
#[test]
fn a_refused_probe_renews_the_rest() {
    let mut world = World::new(&[("a1", at("a", 1))]);
    let first = world.is_sent(1).unwrap();
    world.refuse_resting(first, 1_000, 0);
    world.now = ms(1_000);
    let probe = world.is_sent(1).unwrap();
    world.refuse_resting(probe, 3_000, 0);
    world.now = ms(3_990);
    assert!(world.is_sent(1).is_none());
    world.now = ms(4_000);
    let probe = world.is_sent(1).unwrap();
    world.finish(probe, failed(Reason::AnswerTimeout, Ran::Unknown));
    world.now = ms(4_740);
    assert!(world.is_sent(1).is_none());
    world.now = ms(4_750);
    assert!(world.is_sent(1).is_some());
}

/// Guards against a shorter period that ends a longer one, and against a second response to the same refusal that moves
/// the end.
#[test]
fn the_latest_end_counts() {
    let mut world = World::new(&[("a1", at("a", 1))]);
    let keys: Vec<_> = (0..3).map(|_| world.is_sent(1).unwrap()).collect();
    world.refuse_resting(keys[0], 2_000, 0);
    world.refuse_resting(keys[1], 500, 0);
    world.refuse_resting(keys[2], 2_000, 100);
    world.now = ms(1_990);
    assert!(world.is_sent(1).is_none());
    world.now = ms(2_000);
    assert!(world.is_sent(1).is_some());
}

/// Guards against entry VMs that all return at the same time.
#[test]
fn the_end_of_the_period_differs_between_entry_vms() {
    let mut ends: Vec<Micros> = (0..60)
        .map(|vm| {
            let mut world = World::new(&[("a1", at("a", 1))]);
            let first = world.is_sent(1).unwrap();
            world.refuse_resting(first, 4_000, vm * 7_919);
            while world.is_sent(1).is_none() && world.now < ms(10_000) {
                world.now = world.now.plus_millis(10);
            }
            world.now
        })
        .collect();
    ends.sort_unstable();
    ends.dedup();
    assert!(ends.len() > 30, "{ends:?}");
    assert!(ends[0] >= ms(4_000) && ends[ends.len() - 1] <= ms(5_000));
}

/// Guards against requests that wait for an upstream which rests for longer than they may wait, and against callers
/// that are told to retry before it accepts requests.
#[test]
fn requests_are_refused_while_all_upstreams_rest_for_long() {
    let mut world = World::new(&[("a1", at("a", 1)), ("a2", at("a", 2))]);
    let key = world.is_sent(1).unwrap();
    for _ in 0..2 {
        // The retry after the first refusal goes to the other upstream.
        world.refuse_resting(key, 30_000, 0);
    }
    world.effects();
    let (reason, retry_ms) = world.retry_ms();
    assert_eq!(reason, Reason::NoSlot);
    assert!((30_000..=32_000).contains(&retry_ms), "{retry_ms}");
    world.now = ms(29_950);
    world.admit("/one/x", 1);
    assert_eq!(world.effects(), ["queued"]);
    world.now = ms(30_000);
    decide::tick(&mut world.state, 7, world.now);
    assert!(world.effects()[0].starts_with("send"));
}

/// Guards against a rest period that a new key of the same incarnation ends, or that outlasts the incarnation.
#[test]
fn a_rest_period_belongs_to_the_incarnation() {
    let listed = |world: &mut World, port: u16, born: u64| {
        let row = Upstream {
            born,
            ..at("a", port)
        };
        world.catalog.revision += 1;
        world
            .catalog
            .upstreams
            .put("a1", row, world.catalog.revision);
        world.apply_catalog();
    };
    let mut world = World::new(&[("a1", at("a", 1))]);
    let first = world.is_sent(1).unwrap();
    world.refuse_resting(first, 5_000, 0);
    listed(&mut world, 9, 1);
    assert!(world.is_sent(1).is_none());
    world.catalog.upstreams.remove("a1", 10);
    world.catalog.revision = 10;
    world.apply_catalog();
    world.now = ms(1_000);
    listed(&mut world, 9, 1);
    assert!(world.is_sent(1).is_none());
    listed(&mut world, 9, 2);
    assert!(world.is_sent(1).is_some());
}
