//! Compares relayed requests with direct requests to the same upstream in the same run, and
//! measures look-ups.

mod fakes;

use {
    fakes::{Behaviour, Fake, datagram_addresses, entry, topology},
    siskinstep::load::{self, Kind, Plan, Steering},
    std::net::SocketAddr,
};

const RUN_SECONDS: u64 = 5;

/// Number in the environment variable `name`, or `default` if it is unset or invalid.
fn env_number(name: &str, default: u32) -> u32 {
    let value = std::env::var(name).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn plan(entries: Vec<SocketAddr>, upstreams: Vec<SocketAddr>, path: &str, rate: u32) -> Plan {
    let kind = Kind {
        path: path.to_owned(),
        rate,
        worth: 10,
        deadline_ms: 2_000,
        once: false,
    };
    let direct = if upstreams.is_empty() {
        vec![]
    } else {
        vec![Steering::RoundRobin]
    };
    let relayed = vec![Steering::Siskinstep];
    Plan {
        entries,
        upstreams,
        // Direct runs before and after the relayed one show the variation of the machine itself.
        steerings: [direct.clone(), relayed, direct].concat(),
        seconds: RUN_SECONDS,
        threads: 1,
        connections: 256,
        poll_ms: 500,
        seed: 1,
        kinds: vec![kind],
    }
}

fn main() {
    let entry = entry(
        topology(&["fast", "slow"], 2_000),
        0,
        datagram_addresses(1)[0],
        vec![],
    );
    let rate = env_number("RATE", 1_000);
    for (service, service_ms) in [("fast", 0), ("slow", 5)] {
        let behaviour = Behaviour {
            name: service.to_owned(),
            service,
            slots: 200,
            service_ms,
            cold: (0, 0),
            zone: 0,
            zone_ms: 0,
            forced_load: None,
        };
        let fake = Fake::start(behaviour, Some(entry.upstreams()));
        let path = format!("/{service}/ask");
        let plan = plan(vec![entry.callers()], vec![fake.address], &path, rate);
        println!("{service} ({service_ms} ms), {rate}/s");
        print!("{}", load::run(&plan).unwrap().text());
    }
    for rate in [5_000, 20_000, 40_000] {
        let mut plan = plan(vec![entry.callers()], vec![], "/v1/lookup", rate);
        plan.threads = 2;
        plan.connections = 64;
        println!("look-ups, {rate}/s");
        print!("{}", load::run(&plan).unwrap().text());
    }
    entry.stop();
}
