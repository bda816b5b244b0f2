//! Random histories of upstreams that leave and ask for rest periods, against an oracle that follows the requirements.

use {
    super::{World, at, failed},
    crate::{
        backpressure::Notice,
        call::{Ran, Reason},
        catalog::Upstream,
        clock::Micros,
        courier::{Ended, Target},
        fuzz,
        keys::InFlightKey,
        steer::{decide, pressure, state::Effect},
    },
    bolero::TypeGenerator,
    std::sync::Arc,
};

const SEEDS: u64 = 400;
const UPSTREAMS: [&str; 3] = ["a1", "a2", "b1"];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Admit(u8),
    Wait(u8),
    /// Ends one of the attempts in flight.
    Finish {
        which: u8,
        end: End,
    },
    /// The control VMs list an upstream with an incarnation up to two before or after its latest, or not at all.
    List {
        which: u8,
        back: u8,
        is_listed: bool,
    },
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum End {
    Answer { leaves: bool },
    Refuse { rest: u8 },
    Unreachable,
    Cut { leaves: bool },
}

/// What the requirements forbid, by upstream.
#[derive(Default)]
struct Oracle {
    /// Upstream and the latest of its incarnations that said that it leaves.
    left: Vec<(Arc<str>, u64)>,
    /// Upstream, incarnation, start and end of a rest period, and requests in it.
    rests: Vec<(Arc<str>, u64, Micros, Micros, u32)>,
}

impl Oracle {
    fn check_sent(&mut self, id: &Arc<str>, born: u64, now: Micros) {
        let left = |row: &(Arc<str>, u64)| row.0 == *id && born <= row.1;
        assert!(!self.left.iter().any(left), "{id} {born} has left");
        for (name, incarnation, start, end, count) in &mut self.rests {
            if name == id && *incarnation == born && *start <= now && now < *end {
                *count += 1;
                assert!(*count <= 2, "{id} {born} rests until {end:?}");
            }
        }
    }
}

struct Machine {
    world: World,
    oracle: Oracle,
    in_flight: Vec<(InFlightKey, Target)>,
    born: [u64; UPSTREAMS.len()],
    sends: usize,
}

impl Machine {
    fn drain(&mut self) {
        for effect in std::mem::take(&mut self.world.state.effects) {
            if let Effect::Send {
                in_flight,
                upstream,
                address,
                id,
                born,
                ..
            } = effect
            {
                self.oracle.check_sent(&id, born, self.world.now);
                self.sends += 1;
                let key = upstream;
                let target = Target {
                    address,
                    id,
                    born,
                    key,
                };
                self.in_flight.push((in_flight, target));
            }
        }
    }

    fn finish(&mut self, which: u8, end: End) {
        if self.in_flight.is_empty() {
            return;
        }
        let (key, target) = self
            .in_flight
            .swap_remove(usize::from(which) % self.in_flight.len());
        let now = self.world.now;
        let (ended, is_leaving, rest_ms) = match end {
            End::Answer { leaves } => {
                let ended = Ended::Answered {
                    status: 200,
                    load: None,
                };
                (ended, leaves, 0)
            }
            End::Refuse { rest } => {
                let refused = failed(Reason::UpstreamRefused, Ran::No);
                (refused, false, u64::from(rest) * 40)
            }
            End::Unreachable => (failed(Reason::ConnectFailed, Ran::No), false, 0),
            End::Cut { leaves } => (failed(Reason::AnswerCut, Ran::Unknown), leaves, 0),
        };
        let (id, born) = (Arc::clone(&target.id), target.born);
        if is_leaving {
            self.oracle.left.push((Arc::clone(&id), born));
        }
        let end = now.plus_millis(rest_ms);
        if rest_ms > 0 {
            let start = now.plus_millis(500);
            self.oracle.rests.push((id, born, start, end, 0));
        }
        let notice = Notice {
            is_leaving,
            rest_until: (rest_ms > 0).then_some(end),
        };
        let random = u64::from(which) * 7_919;
        pressure::heed(&mut self.world.state, &target, notice, random, now);
        self.world.finish(key, ended);
    }

    fn list(&mut self, which: u8, back: u8, is_listed: bool) {
        let at_index = usize::from(which) % UPSTREAMS.len();
        let latest = &mut self.born[at_index];
        *latest += u64::from(back % 4 == 3);
        let id = UPSTREAMS[at_index];
        let catalog = &mut self.world.catalog;
        catalog.revision += 1;
        if is_listed {
            let row = Upstream {
                born: latest.saturating_sub(u64::from(back % 3)).max(1),
                seq: u64::from(back),
                ..at(&id[..1], 1 + u16::from(which % 3))
            };
            catalog.upstreams.put(id, row, catalog.revision);
        } else {
            catalog.upstreams.remove(id, catalog.revision);
        }
        self.world.apply_catalog();
    }
}

/// Guards against any order of responses and reports in which a request goes to an incarnation that left, or more than
/// two go to one that asked for none.
#[test]
fn no_history_sends_requests_that_upstreams_forbade() {
    let total = std::cell::Cell::new(0);
    fuzz::check(SEEDS, |steps: &Vec<Step>| {
        let rows = UPSTREAMS.map(|id| (id, at(&id[..1], 1)));
        let mut machine = Machine {
            world: World::new(&rows),
            oracle: Oracle::default(),
            in_flight: Vec::new(),
            born: [1; UPSTREAMS.len()],
            sends: 0,
        };
        for step in steps {
            match *step {
                Step::Admit(key) => {
                    machine.world.admit("/again/x", u64::from(key % 4));
                }
                Step::Wait(more) => {
                    machine.world.now = machine.world.now.plus_millis(u64::from(more) * 4);
                    decide::tick(&mut machine.world.state, u64::from(more), machine.world.now);
                }
                Step::Finish { which, end } => machine.finish(which, end),
                Step::List {
                    which,
                    back,
                    is_listed,
                } => machine.list(which, back, is_listed),
            }
            machine.drain();
        }
        total.set(total.get() + machine.sends);
    });
    assert!(total.get() > 1_000, "{}", total.get());
}
