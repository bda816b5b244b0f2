//! Runs a verb.

use {
    super::{
        flags::{Siskinstep, SiskinstepCmd},
        load, order,
        render::{self, Format},
    },
    crate::{
        agree::MemberChange,
        control, dev,
        edge::{Secret, outbound},
        entry,
        load::{LoadError, Report},
        observe::events,
        operator::{OperatorClient, OperatorError},
        policy::{Cap, Change, Command, Shift},
        settings,
    },
    snafu::{ResultExt, Snafu},
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::ExitCode,
        time::Duration,
    },
};

const DEFAULT_SECRET: &str = "siskinstep.secret";
const DEFAULT_OPERATOR: &str = "operator";
const DEFAULT_HISTORY: usize = 20;
const READ_LIMIT: Duration = Duration::from_secs(5);
const DEFAULT_CONTROL_PORT: u16 = 7_101;

/// Why a verb failed.
#[derive(Debug, Snafu)]
enum CliError {
    #[snafu(display("{source}"), context(false))]
    Order { source: order::OrderError },
    #[snafu(display("{source}"), context(false))]
    Operator { source: OperatorError },
    #[snafu(display("{source}"), context(false))]
    Secret {
        source: crate::edge::secret::SecretError,
    },
    #[snafu(display("{source}"), context(false))]
    Settings { source: settings::SettingsError },
    #[snafu(display("{source}"), context(false))]
    Dev { source: dev::DevError },
    #[snafu(display("{source}"), context(false))]
    Load { source: LoadError },
    #[snafu(display("{source}"), context(false))]
    Plan { source: load::PlanError },
    #[snafu(display("{source}"), context(false))]
    Http { source: ureq::Error },
    #[snafu(display("runtime: {source}"))]
    Runtime { source: std::io::Error },
    #[snafu(display("not known there: {text}"))]
    Unknown { text: String },
    #[snafu(display("{flag}: expected {expected}"))]
    Flag {
        flag: &'static str,
        expected: &'static str,
    },
}

/// Runs the verb on the process's command line.
#[must_use]
pub fn run() -> ExitCode {
    let flags = Siskinstep::from_env_or_exit();
    match dispatch(flags) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(flags: Siskinstep) -> Result<(), CliError> {
    let session = Session::new(&flags)?;
    match flags.subcommand {
        SiskinstepCmd::Shift(verb) => {
            let amount = order::amount(&verb.amount)?;
            let cap = verb.cap.as_deref().map_or(Ok(amount), order::amount)?;
            session.order(Change::PutShift(Shift {
                name: verb.name,
                service: verb.service,
                from: order::place(&verb.from)?,
                to: order::place(&verb.to)?,
                amount,
                cap,
            }))
        }
        SiskinstepCmd::EndShift(verb) => session.order(Change::EndShift(verb.name)),
        SiskinstepCmd::Drain(verb) => session.order(Change::PutDrain(order::drain(&verb.target)?)),
        SiskinstepCmd::Undrain(verb) => {
            session.order(Change::EndDrain(order::drain(&verb.target)?))
        }
        SiskinstepCmd::Cap(verb) => session.order(Change::PutCap(Cap {
            service: verb.service,
            to: order::place(&verb.to)?,
            amount: order::amount(&verb.amount)?,
        })),
        SiskinstepCmd::EndCap(verb) => session.order(Change::EndCap {
            service: verb.service,
            to: order::place(&verb.to)?,
        }),
        SiskinstepCmd::Status(_) => session.status(),
        SiskinstepCmd::Fleet(_) => session.fleet(),
        SiskinstepCmd::History(verb) => session.history(verb.limit.unwrap_or(DEFAULT_HISTORY)),
        SiskinstepCmd::Explain(verb) => explain(verb.entry, &verb.request),
        SiskinstepCmd::Members(_) => session.members(None),
        SiskinstepCmd::AddMember(verb) => session.members(Some(&MemberChange::Add {
            name: verb.name,
            peers: verb.peers,
            operators: verb.operators,
        })),
        SiskinstepCmd::RemoveMember(verb) => {
            session.members(Some(&MemberChange::Remove { name: verb.name }))
        }
        SiskinstepCmd::Check(verb) => check(&verb.role, &verb.file),
        SiskinstepCmd::Events(_) => {
            print!("{}", events::table());
            Ok(())
        }
        SiskinstepCmd::Load(verb) => {
            let report = load::run(&load::plan(&verb)?)?;
            render::print(session.format, &report, Report::text);
            Ok(())
        }
        SiskinstepCmd::Dev(verb) => Ok(dev::run(verb.once)?),
    }
}

fn check(role: &str, file: &Path) -> Result<(), CliError> {
    match role {
        "entry" => drop(settings::load(file, entry::Settings::read)?),
        "control" => drop(settings::load(file, control::Settings::read)?),
        _ => {
            let expected = "entry or control";
            return FlagSnafu {
                flag: "role",
                expected,
            }
            .fail();
        }
    }
    println!("{}: settings are sound", file.display());
    Ok(())
}

fn explain(entry: SocketAddr, request: &str) -> Result<(), CliError> {
    let target = format!("http://{entry}/explain/{request}");
    let mut answer = outbound::agent(READ_LIMIT).get(target).call()?;
    let text = answer.body_mut().read_to_string()?;
    if !answer.status().is_success() {
        return UnknownSnafu { text }.fail();
    }
    println!("{text}");
    Ok(())
}

/// What the flags say that every verb shares.
struct Session {
    control: Vec<SocketAddr>,
    secret: PathBuf,
    format: Format,
    operator: String,
    id: Option<String>,
    expected: Option<u64>,
    dry: bool,
}

impl Session {
    fn new(flags: &Siskinstep) -> Result<Self, CliError> {
        let format = match flags.output.as_deref() {
            None | Some("text") => Format::Text,
            Some("json") => Format::Json,
            Some(_) => {
                let expected = "text or json";
                return FlagSnafu {
                    flag: "--output",
                    expected,
                }
                .fail();
            }
        };
        let local = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_CONTROL_PORT));
        let control = if flags.control.is_empty() {
            vec![local]
        } else {
            flags.control.clone()
        };
        Ok(Self {
            control,
            secret: flags
                .secret
                .clone()
                .unwrap_or_else(|| DEFAULT_SECRET.into()),
            format,
            operator: flags
                .operator
                .clone()
                .unwrap_or_else(|| DEFAULT_OPERATOR.to_owned()),
            id: flags.id.clone(),
            expected: flags.expected,
            dry: flags.dry_run,
        })
    }

    fn order(&self, change: Change) -> Result<(), CliError> {
        let operator = self.connect()?;
        let runtime = runtime()?;
        let expected = match self.expected {
            Some(version) => version,
            None => runtime.block_on(operator.status())?.version,
        };
        let id = self.id.clone().unwrap_or_else(fresh_id);
        let command = Command {
            id,
            operator: self.operator.clone(),
            expected,
            change,
        };
        eprintln!("command {} on version {expected}", command.id);
        let accepted = if self.dry {
            runtime.block_on(operator.check(&command))?
        } else {
            runtime.block_on(operator.submit(&command))?
        };
        let dry = self.dry;
        render::print(self.format, &accepted, |accepted| {
            let text = render::accepted(*accepted);
            if dry {
                format!("dry run, would be {text}")
            } else {
                text
            }
        });
        Ok(())
    }

    fn status(&self) -> Result<(), CliError> {
        let operator = self.connect()?;
        let status = runtime()?.block_on(operator.status())?;
        render::print(self.format, &status, render::status);
        Ok(())
    }

    fn fleet(&self) -> Result<(), CliError> {
        let rows = runtime()?.block_on(self.connect()?.fleet())?;
        render::print(self.format, &rows, |rows| render::fleet(rows));
        Ok(())
    }

    fn history(&self, limit: usize) -> Result<(), CliError> {
        let operator = self.connect()?;
        let receipts = runtime()?.block_on(operator.history(limit))?;
        render::print(self.format, &receipts, |receipts| render::history(receipts));
        Ok(())
    }

    fn members(&self, change: Option<&MemberChange>) -> Result<(), CliError> {
        let operator = self.connect()?;
        let runtime = runtime()?;
        let members = match change {
            Some(change) => runtime.block_on(operator.change_members(change))?,
            None => runtime.block_on(operator.members())?,
        };
        render::print(self.format, &members, |members| render::members(members));
        Ok(())
    }

    fn connect(&self) -> Result<OperatorClient, CliError> {
        let secret = Secret::load(&self.secret)?;
        Ok(OperatorClient::new(self.control.clone(), secret))
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)
}

fn fresh_id() -> String {
    format!("c-{:016x}", rand::random::<u64>())
}
