//! Prints what state costs at three sizes each, for `docs/CAPACITY.md`. Not part of CI.

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
    blocks();
    ranking();
    configuration();
}

/// Client blocks as one sorted vector from block to ranked zones.
fn blocks() {
    println!("client blocks: count, bytes, nanoseconds a look-up");
    for count in [10_000_u32, 85_000, 340_000] {
        let rows: Vec<(u32, [u8; 4])> = (0..count).map(|at| (at * 12_000, [1, 2, 3, 4])).collect();
        let bytes = rows.len() * size_of::<(u32, [u8; 4])>();
        let start = Instant::now();
        let looks = 1_000_000_u32;
        for look in 0..looks {
            let block = look.wrapping_mul(2_654_435_761);
            black_box(rows.partition_point(|(first, _)| *first <= block));
        }
        let nanos = start.elapsed().as_nanos() / u128::from(looks);
        println!("{count} {bytes} {nanos}");
    }
}

/// The ranking of entry VMs, made anew at each change of members.
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

fn vm(at: u16) -> Vm {
    Vm {
        name: format!("vm-{at}"),
        zone: ZoneKey(at % 63),
        callers: "127.0.0.1:1".parse().expect("an address"),
        free: 5,
        suspect: false,
    }
}

/// The configuration: shifts in force, bytes of the whole and of one change, time to apply one.
fn configuration() {
    println!("shifts: count, bytes of all, bytes of one change, microseconds to apply one");
    for count in [10_u64, 100, 1_000] {
        let mut state = Policy::default();
        for at in 0..count {
            policy::apply(&mut state, command(at)).expect("a free version");
        }
        let whole = serde_json::to_vec(&state.without_receipts())
            .expect("JSON")
            .len();
        let one = serde_json::to_vec(&command(0)).expect("JSON").len();
        let start = Instant::now();
        for at in count..count + u64::from(ROUNDS) {
            policy::apply(&mut state, command(at)).expect("a free version");
        }
        let micros = start.elapsed().as_micros() / u128::from(ROUNDS);
        println!("{count} {whole} {one} {micros}");
    }
}

fn command(at: u64) -> Command {
    let shift = Shift {
        name: format!("shift-{at}"),
        service: format!("service-{at}"),
        from: Place::Region("derwent".to_owned()),
        to: Place::Region("tamar".to_owned()),
        amount: Amount::Permille(100),
        cap: Amount::Permille(200),
    };
    Command {
        id: format!("c-{at}"),
        operator: "bench".to_owned(),
        expected: at,
        change: Change::PutShift(shift),
    }
}
