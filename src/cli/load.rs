//! Builds the plan of the subcommand `load` from a file and flags.

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

/// Reason for which no plan could be built.
#[derive(Debug, Snafu)]
pub(super) enum PlanError {
    #[snafu(display("{}: {source}", file.display()))]
    Read { file: PathBuf, source: io::Error },
    #[snafu(display("{}: {source}", file.display()))]
    Parse {
        file: PathBuf,
        source: serde_json::Error,
    },
    #[snafu(display("{input:?}: expected {expected}"))]
    InvalidFlag {
        input: String,
        expected: &'static str,
    },
}

/// Returns the plan of the file, or the default plan, with the flags applied: lists are appended
/// to, single values are overridden.
pub(super) fn plan(args: &Load) -> Result<Plan, PlanError> {
    let mut plan = match &args.plan {
        Some(file) => {
            let text = fs::read_to_string(file).context(ReadSnafu { file })?;
            serde_json::from_str(&text).context(ParseSnafu { file })?
        }
        None => default_plan(),
    };
    plan.entries.extend(&args.entry);
    plan.upstreams.extend(&args.upstream);
    for name in &args.steering {
        plan.steerings.push(steering(name)?);
    }
    if plan.steerings.is_empty() {
        plan.steerings.push(Steering::Siskinstep);
    }
    for input in &args.kind {
        plan.kinds.push(kind(input)?);
    }
    plan.seconds = args.seconds.unwrap_or(plan.seconds);
    plan.threads = args.threads.unwrap_or(plan.threads);
    plan.connections = args.connections.unwrap_or(plan.connections);
    Ok(plan)
}

fn default_plan() -> Plan {
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

fn steering(input: &str) -> Result<Steering, PlanError> {
    let all = [
        Steering::Siskinstep,
        Steering::RoundRobin,
        Steering::LeastLoad,
    ];
    let expected = "siskinstep, round_robin or least_load";
    let found = all.into_iter().find(|steering| steering.name() == input);
    found.ok_or_else(|| InvalidFlagSnafu { input, expected }.build())
}

/// Parses `PATH=RATE` or `PATH=RATE=WORTH`.
pub(super) fn kind(input: &str) -> Result<Kind, PlanError> {
    let expected = "PATH=RATE or PATH=RATE=WORTH, such as /cellwatch/check=200";
    let invalid = || InvalidFlagSnafu { input, expected }.build();
    let mut parts = input.split('=');
    let path = parts.next().unwrap_or_default().to_owned();
    let rate = parts.next().and_then(|text| text.parse().ok());
    let worth = parts.next().map_or(Ok(DEFAULT_WORTH), str::parse);
    Ok(Kind {
        path,
        rate: rate.ok_or_else(invalid)?,
        worth: worth.map_err(|_| invalid())?,
        deadline_ms: DEFAULT_DEADLINE_MS,
        once: false,
    })
}
