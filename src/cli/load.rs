//! Reads the plan of the verb `load`.

use {
    super::flags::Load,
    crate::load::{Kind, Plan, Steering},
    snafu::{ResultExt, Snafu},
    std::{fs, io, path::PathBuf},
};

pub(super) use crate::load::run;

const DEFAULT_SECONDS: u64 = 10;
const DEFAULT_WORTH: u32 = 10;
const DEFAULT_DEADLINE_MS: u64 = 2_000;
const DEFAULT_CONNECTIONS: usize = 64;
const DEFAULT_POLL_MS: u64 = 500;

/// Why there is no plan.
#[derive(Debug, Snafu)]
pub(super) enum PlanError {
    #[snafu(display("{}: {source}", file.display()))]
    Read { file: PathBuf, source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        file: PathBuf,
        source: serde_json::Error,
    },
    #[snafu(display("{given:?}: expected {expected}"))]
    Flag {
        given: String,
        expected: &'static str,
    },
}

/// The plan of a file, with what the flags add.
pub(super) fn plan(verb: &Load) -> Result<Plan, PlanError> {
    let mut plan = match &verb.plan {
        Some(file) => {
            let text = fs::read_to_string(file).context(ReadSnafu { file })?;
            serde_json::from_str(&text).context(ParseSnafu { file })?
        }
        None => empty(),
    };
    plan.entries.extend(&verb.entry);
    plan.upstreams.extend(&verb.upstream);
    for name in &verb.steering {
        plan.steerings.push(steering(name)?);
    }
    if plan.steerings.is_empty() {
        plan.steerings.push(Steering::Siskinstep);
    }
    for given in &verb.kind {
        plan.kinds.push(kind(given)?);
    }
    plan.seconds = verb.seconds.unwrap_or(plan.seconds);
    plan.threads = verb.threads.unwrap_or(plan.threads);
    plan.connections = verb.connections.unwrap_or(plan.connections);
    Ok(plan)
}

fn empty() -> Plan {
    Plan {
        entries: Vec::new(),
        upstreams: Vec::new(),
        steerings: Vec::new(),
        seconds: DEFAULT_SECONDS,
        threads: 1,
        connections: DEFAULT_CONNECTIONS,
        poll_ms: DEFAULT_POLL_MS,
        seed: 0,
        kinds: Vec::new(),
    }
}

fn steering(given: &str) -> Result<Steering, PlanError> {
    let all = [
        Steering::Siskinstep,
        Steering::RoundRobin,
        Steering::LeastLoad,
    ];
    let expected = "siskinstep, round_robin or least_load";
    let found = all.into_iter().find(|steering| steering.name() == given);
    found.ok_or_else(|| FlagSnafu { given, expected }.build())
}

/// Reads `PATH=RATE` or `PATH=RATE=WORTH`.
pub(super) fn kind(given: &str) -> Result<Kind, PlanError> {
    let expected = "PATH=RATE or PATH=RATE=WORTH, such as /cellwatch/check=200";
    let wrong = || FlagSnafu { given, expected }.build();
    let mut parts = given.split('=');
    let path = parts.next().unwrap_or_default().to_owned();
    let rate = parts.next().and_then(|text| text.parse().ok());
    let worth = parts.next().map_or(Ok(DEFAULT_WORTH), str::parse);
    Ok(Kind {
        path,
        rate: rate.ok_or_else(wrong)?,
        worth: worth.map_err(|_| wrong())?,
        deadline_ms: DEFAULT_DEADLINE_MS,
        once: false,
    })
}
