//! Measures size and processing time of state at three sizes each, for `docs/CAPACITY.md`. Not part
//! of CI.

use {
    siskinstep::{
        context::Context,
        keys::ZoneKey,
        lookup::{self, messages::Vm, state::State},
        policy::{self, Amount, Change, Command, Place, Policy, Shift},
        settings::topology::Topology,
    },
    std::{hint::black_box, sync::Arc, time::Instant},
};

const ROUNDS: u32 = 200;

fn main() {
    client_blocks();
    ranking();
    configuration();
}

/// Look-up in a sorted vector that maps the first address of a client block to its ranked zones.
fn client_blocks() {
    println!("client blocks: count, bytes, nanoseconds a look-up");
    for count in [10_000_u32, 85_000, 340_000] {
        let rows: Vec<(u32, [u8; 4])> = (0..count)
            .map(|index| (index * 12_000, [1, 2, 3, 4]))
            .collect();
        let bytes = rows.len() * size_of::<(u32, [u8; 4])>();
        let start = Instant::now();
        let lookups = 1_000_000_u32;
        for lookup in 0..lookups {
            let block = lookup.wrapping_mul(2_654_435_761);
            black_box(rows.partition_point(|(first, _)| *first <= block));
        }
        let nanos = start.elapsed().as_nanos() / u128::from(lookups);
        println!("{count} {bytes} {nanos}");
    }
}

/// Ranking of entry VMs, which is rebuilt on each change of members.
fn ranking() {
    println!("entry VMs: count, microseconds a ranking");
    let mut topology = Topology::default();
    for region in 0..21 {
        let zones = (0..3).map(|zone| format!("r{region}-{zone}")).collect();
        topology.add_region(format!("r{region}"), zones);
    }
    let context = Context::new("vm-0", ZoneKey(0), Arc::new(topology));
    for count in [60_u16, 700, 2_900] {
        let state = State {
            vms: (0..count).map(vm).collect(),
            ..State::default()
        };
        let start = Instant::now();
        for _ in 0..ROUNDS {
            black_box(lookup::rank(&state, &context, lookup::Settings::default()));
        }
        println!(
            "{count} {}",
            start.elapsed().as_micros() / u128::from(ROUNDS)
        );
    }
}

fn vm(index: u16) -> Vm {
    Vm {
        name: format!("vm-{index}"),
        zone: ZoneKey(index % 63),
        callers: "127.0.0.1:1".parse().expect("valid address"),
        free: 5,
        suspect: false,
    }
}

/// Configuration by number of shifts in force: size in total and of one change, time to apply one.
fn configuration() {
    println!("shifts: count, bytes of all, bytes of one change, microseconds to apply one");
    for count in [10_u64, 100, 1_000] {
        let mut state = Policy::default();
        for index in 0..count {
            policy::apply(&mut state, command(index)).expect("expected version is current");
        }
        let total_bytes = serde_json::to_vec(&state.without_receipts())
            .expect("serializable as JSON")
            .len();
        let change_bytes = serde_json::to_vec(&command(0))
            .expect("serializable as JSON")
            .len();
        let start = Instant::now();
        for index in count..count + u64::from(ROUNDS) {
            policy::apply(&mut state, command(index)).expect("expected version is current");
        }
        let micros = start.elapsed().as_micros() / u128::from(ROUNDS);
        println!("{count} {total_bytes} {change_bytes} {micros}");
    }
}

fn command(index: u64) -> Command {
    let shift = Shift {
        name: format!("shift-{index}"),
        service: format!("service-{index}"),
        from: Place::Region("derwent".to_owned()),
        to: Place::Region("tamar".to_owned()),
        amount: Amount::Permille(100),
        cap: Amount::Permille(200),
    };
    Command {
        id: format!("c-{index}"),
        operator: "bench".to_owned(),
        expected: index,
        change: Change::PutShift(shift),
    }
}
