//! Tests of the order of waiting requests, beside first-come as the baseline: the same queue with a single flow.

use {
    super::{Flow, Outcome, Queue, count_ahead, last_behind, push, record_sent, scan, withdraw},
    crate::{clock::Micros, fuzz, keys::InFlightKey},
    bolero::TypeGenerator,
    rand::{SeedableRng, rngs::StdRng, seq::SliceRandom},
    slotmap::SlotMap,
};

/// Requests that may wait, as in the settings of the steer duty.
const MAX_WAITING: usize = 512;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    Fair,
    FirstCome,
}

/// A service that is sent one request per tick.
struct Rig {
    order: Order,
    queue: Queue,
    /// Workspace and tick of the arrival of each waiting request.
    requests: SlotMap<InFlightKey, (usize, u64)>,
    now: u64,
    /// Ticks after which a waiting request ends.
    timeout: u64,
    /// Requests sent and longest wait in ticks, by workspace.
    sent: Vec<usize>,
    longest: Vec<u64>,
}

fn name(workspace: usize) -> Flow {
    Flow::Route(format!("{workspace}").into())
}

impl Rig {
    fn new(order: Order, workspaces: usize) -> Self {
        Self {
            order,
            queue: Queue::default(),
            requests: SlotMap::default(),
            now: 0,
            timeout: u64::MAX,
            sent: vec![0; workspaces],
            longest: vec![0; workspaces],
        }
    }

    fn flow(&self, workspace: usize) -> Flow {
        match self.order {
            Order::Fair => name(workspace),
            Order::FirstCome => Flow::All,
        }
    }

    fn arrive(&mut self, workspace: usize) {
        let flow = self.flow(workspace);
        if self.queue.len() == MAX_WAITING {
            let Some(last) = last_behind(&self.queue, 0, &flow) else {
                return;
            };
            withdraw(&mut self.queue, last);
        }
        let key = self.requests.insert((workspace, self.now));
        push(&mut self.queue, key, 0, flow, Micros(self.now));
    }

    /// Sends one request, if any waits, and returns its workspace.
    fn tick(&mut self) -> Option<usize> {
        self.now += 1;
        let mut sent = None;
        let (requests, now, timeout) = (&self.requests, self.now, self.timeout);
        scan(&mut self.queue, |key| {
            let (workspace, arrived) = requests[key];
            if now - arrived > timeout {
                Outcome::Ended
            } else if sent.is_none() {
                sent = Some((workspace, now - arrived));
                Outcome::Sent
            } else {
                Outcome::Waits
            }
        });
        assert!(
            sent.is_some() || self.queue.is_empty(),
            "idle while requests wait"
        );
        assert_bounded(&self.queue);
        let (workspace, wait) = sent?;
        self.sent[workspace] += 1;
        self.longest[workspace] = self.longest[workspace].max(wait);
        Some(workspace)
    }
}

/// Checks that a rank has state only while requests wait, and no more flows than those.
fn assert_bounded(queue: &Queue) {
    for (rank, clock) in queue.clocks.rows() {
        let waiting = queue.rows.iter().filter(|row| row.rank == *rank).count();
        assert!(waiting > 0 && clock.served.len() <= waiting);
    }
}

/// Ten workspaces use 10/16 of the service together; the first one then sends eight times as much, 17/16 in all.
fn eight_times(order: Order) -> Rig {
    let mut rig = Rig::new(order, 10);
    // The slot is in use from the start.
    for _ in 0..16 {
        rig.arrive(0);
    }
    for tick in 0..8_000 {
        for workspace in 0..10 {
            let interval = if workspace == 0 { 2 } else { 16 };
            if (tick + workspace) % interval == 0 {
                rig.arrive(workspace);
            }
        }
        rig.tick();
    }
    rig
}

/// Guards against a workspace whose excess delays the requests of others. A small workspace has one request at a time,
/// and each other one is sent at most one before it.
#[test]
fn a_workspace_that_sends_eight_times_its_usual_rate_delays_its_own_requests() {
    let fair = eight_times(Order::Fair);
    assert!(fair.longest[1..].iter().all(|wait| *wait <= 10));
    assert!(fair.longest[0] > 400);
    assert!(fair.sent[1..].iter().all(|sent| *sent >= 499));
    // What the small ones leave goes to the first.
    assert_eq!(fair.sent.iter().sum::<usize>(), 8_000);
    let baseline = eight_times(Order::FirstCome);
    assert!(baseline.longest.iter().all(|wait| *wait > 400));
}

/// Guards against a workspace that gets more by repeating at once whatever was sent, with many requests or with one:
/// the one that is forgotten at the tag at which it was just sent would be sent again and again at that tag.
#[test]
fn immediate_repeats_gain_nothing() {
    let run = |order, repeated: usize, others: usize| {
        let mut rig = Rig::new(order, 10);
        for workspace in 0..10 {
            for _ in 0..if workspace == 0 { repeated } else { others } {
                rig.arrive(workspace);
            }
        }
        for _ in 0..1_000 {
            if let Some(workspace) = rig.tick() {
                rig.arrive(workspace);
            }
        }
        rig.sent
    };
    for (repeated, others) in [(1, 1), (1, 20), (50, 1), (50, 20)] {
        let sent = run(Order::Fair, repeated, others);
        assert!(sent.iter().all(|sent| sent.abs_diff(100) <= 1), "{sent:?}");
    }
    // By arrival, 50 of 59 requests are those of the first.
    let sent = run(Order::FirstCome, 50, 1);
    assert!(sent[0] > 840 && sent[1] <= 17, "{sent:?}");
}

/// Guards against state for each workspace that ever sent a request, and against new workspaces without end that keep a
/// waiting one from its next tag.
#[test]
fn thousands_of_workspaces_leave_no_state_and_starve_none() {
    let run = |order| {
        let mut rig = Rig::new(order, 5_001);
        for _ in 0..100 {
            rig.arrive(0);
        }
        for workspace in 1..=5_000 {
            rig.arrive(workspace);
            if rig.tick() == Some(0) {
                rig.arrive(0);
            }
        }
        while rig.tick().is_some() {}
        assert!(rig.queue.clocks.is_empty());
        rig
    };
    let fair = run(Order::Fair);
    assert!(fair.sent[1..].iter().all(|sent| *sent == 1));
    // The queue holds about 100 requests, and time advances at least once in as many ticks.
    assert!(fair.sent[0] >= 100 + 5_000 / 200, "{}", fair.sent[0]);
    let waits = |rig: &Rig| rig.longest[1..].iter().copied().max().unwrap_or(0);
    assert!(waits(&fair) < waits(&run(Order::FirstCome)) / 4);
}

/// Workspaces that send 1 to 128 requests per 100 ticks, 255 in all, which time out after 300 ticks.
fn overloaded(order: Order) -> Vec<usize> {
    let mut rig = Rig::new(order, 8);
    rig.timeout = 300;
    let mut random = StdRng::seed_from_u64(1);
    let mut arrivals = Vec::new();
    for tick in 0..10_000_u64 {
        for workspace in 0..8 {
            let per_100 = 1_u64 << workspace;
            let count = (tick + 1) * per_100 / 100 - tick * per_100 / 100;
            arrivals.extend((0..count).map(|_| workspace));
        }
        arrivals.shuffle(&mut random);
        for workspace in arrivals.drain(..) {
            rig.arrive(workspace);
        }
        rig.tick();
    }
    rig.sent
}

/// Guards against workspaces that are served less than a quarter as often as all, though they ask for it: when requests
/// time out, when the queue is full, and against tags that a flow pays for requests that were never sent.
#[test]
fn no_workspace_is_served_less_than_a_quarter_as_often_as_all() {
    let sent = overloaded(Order::Fair);
    // By max-min, those up to 16 per 100 ticks get what they ask for, and the other three 23 each.
    for (workspace, sent) in sent.iter().enumerate() {
        let share = 100 * (1_usize << workspace).min(23);
        assert!(sent.abs_diff(share) * 20 <= share, "{workspace}: {sent}");
    }
    let sent = overloaded(Order::FirstCome);
    // Each gets 100/255 of what it asks for, also the fifth, which by max-min gets all of that.
    assert!(sent[4] * 2 < 100 * 16, "{sent:?}");
    assert!(sent[7] > 100 * 45, "{sent:?}");
}

/// Guards against another order than by rank and arrival in deployments without workspaces, also for a request that is
/// added after later ones.
#[test]
fn one_flow_is_ordered_by_rank_and_arrival() {
    fuzz::check(200, |rows: &Vec<(u8, u8, bool)>| {
        let (mut queue, mut arena) = (Queue::default(), SlotMap::<InFlightKey, ()>::default());
        let mut expected: Vec<(u32, u64, InFlightKey)> = Vec::new();
        for (rank, arrived, sends) in rows {
            let (rank, arrived) = (u32::from(rank % 3), u64::from(arrived % 16));
            let key = arena.insert(());
            let is_before = |row: &(u32, u64, InFlightKey)| (row.0, row.1) <= (rank, arrived);
            assert_eq!(
                count_ahead(&queue, rank, &Flow::All),
                expected.iter().filter(|row| row.0 <= rank).count()
            );
            assert_eq!(last_behind(&queue, rank, &Flow::All), None);
            expected.insert(expected.partition_point(is_before), (rank, arrived, key));
            push(&mut queue, key, rank, Flow::All, Micros(arrived));
            if *sends {
                send_first(&mut queue);
                expected.remove(0);
            }
            assert!(queue.keys().eq(expected.iter().map(|row| row.2)));
        }
    });
}

fn send_first(queue: &mut Queue) -> Option<InFlightKey> {
    let mut sent = None;
    scan(queue, |key| {
        if sent.is_some() {
            return Outcome::Waits;
        }
        sent = Some(key);
        Outcome::Sent
    });
    sent
}

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    /// A request of a flow and rank arrives.
    Arrive(u8, u8),
    Send,
    /// A request is sent without waiting, if none is ahead.
    Direct(u8, u8),
    /// A waiting request ends.
    End(u8),
}

const FLOWS: usize = 5;
const RANKS: usize = 2;

/// Max-min by its definition, for equal requests: while a flow waits, no other gets more than it does.
#[derive(Default)]
struct Oracle {
    /// Waiting requests by rank and flow, in the order of arrival.
    waiting: [[Vec<InFlightKey>; FLOWS]; RANKS],
    /// By how many requests the second flow got ahead of the first in the worst interval up to now in which the first
    /// waited.
    lead: [[[i32; FLOWS]; FLOWS]; RANKS],
}

impl Oracle {
    fn record(&mut self, rank: usize, sent: usize) {
        for one in 0..FLOWS {
            for other in 0..FLOWS {
                let lead = &mut self.lead[rank][one][other];
                let gained = i32::from(other == sent) - i32::from(one == sent);
                *lead = (*lead + gained).max(0);
                if self.waiting[rank][one].is_empty() {
                    *lead = 0;
                }
                // One request at the tag before that of the waiting one, and one at the same tag.
                assert!(*lead <= 2, "flow {other} got {lead} more than {one}");
            }
        }
    }

    /// Rank and flow of a waiting request, and its position there.
    fn find(&self, key: InFlightKey) -> (usize, usize, usize) {
        let all = (0..RANKS).flat_map(|rank| (0..FLOWS).map(move |flow| (rank, flow)));
        let mut found = all.filter_map(|(rank, flow)| {
            let index = self.waiting[rank][flow].iter().position(|row| *row == key);
            index.map(|index| (rank, flow, index))
        });
        found.next().unwrap()
    }

    fn end(&mut self, key: InFlightKey) -> (usize, usize, usize) {
        let (rank, flow, index) = self.find(key);
        self.waiting[rank][flow].remove(index);
        if self.waiting[rank][flow].is_empty() {
            self.lead[rank][flow] = [0; FLOWS];
        }
        (rank, flow, index)
    }
}

/// Guards against any sequence of arrivals, sends and ends after which one flow gets more than another that waits,
/// requests of a flow overtake each other, a worse rank is sent first, or state is left over.
#[test]
fn any_sequence_is_max_min_fair() {
    fuzz::check(2_000, |steps: &Vec<Step>| {
        let (mut queue, mut arena) = (Queue::default(), SlotMap::<InFlightKey, ()>::default());
        let mut oracle = Oracle::default();
        let pick = |flow: u8, rank: u8| (usize::from(flow) % FLOWS, u32::from(rank % 2));
        for (now, step) in (0_u64..).zip(steps) {
            match *step {
                Step::Arrive(flow, rank) => {
                    let (flow, rank) = pick(flow, rank);
                    let key = arena.insert(());
                    push(&mut queue, key, rank, name(flow), Micros(now));
                    oracle.waiting[rank as usize][flow].push(key);
                }
                Step::Send => {
                    let Some(key) = send_first(&mut queue) else {
                        assert!(oracle.waiting.iter().flatten().all(Vec::is_empty));
                        continue;
                    };
                    let (rank, flow, index) = oracle.end(key);
                    assert_eq!(index, 0, "overtaken within its flow");
                    let better = oracle.waiting[..rank].iter().flatten();
                    assert!(better.into_iter().all(Vec::is_empty), "overtaken by rank");
                    oracle.record(rank, flow);
                }
                Step::Direct(flow, rank) => {
                    let (flow, rank) = pick(flow, rank);
                    if count_ahead(&queue, rank, &name(flow)) == 0 {
                        record_sent(&mut queue, rank, &name(flow));
                        oracle.record(rank as usize, flow);
                    }
                }
                Step::End(index) => {
                    let len = queue.len().max(1);
                    let key = queue.keys().nth(usize::from(index) % len);
                    if let Some(key) = key {
                        withdraw(&mut queue, key);
                        oracle.end(key);
                    }
                }
            }
            let waiting = oracle.waiting.iter().flatten().map(Vec::len);
            assert_eq!(queue.len(), waiting.sum::<usize>());
            assert_bounded(&queue);
        }
    });
}
