//! Runs the subcommand on the command line.

use {
    super::{
        flags::{Siskinstep, SiskinstepCmd},
        load, parse,
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

const DEFAULT_SECRET_FILE: &str = "siskinstep.secret";
const DEFAULT_OPERATOR: &str = "operator";
const DEFAULT_HISTORY_LIMIT: usize = 20;
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_CONTROL_PORT: u16 = 7_101;

/// Reason for which a subcommand failed.
#[derive(Debug, Snafu)]
enum CliError {
    #[snafu(display("{source}"), context(false))]
    Parse { source: parse::ParseError },
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
    #[snafu(display("the entry VM rejected the query: {text}"))]
    Refused { text: String },
    #[snafu(display("{argument}: expected {expected}"))]
    InvalidArgument {
        argument: &'static str,
        expected: &'static str,
    },
}

/// Runs the subcommand on the command line of this process. Prints an error to stderr and returns
/// a failure code if it fails.
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
    let options = GlobalOptions::new(&flags)?;
    match flags.subcommand {
        SiskinstepCmd::Shift(args) => {
            let amount = parse::amount(&args.amount)?;
            let cap = args.cap.as_deref().map_or(Ok(amount), parse::amount)?;
            options.submit(Change::PutShift(Shift {
                name: args.name,
                service: args.service,
                from: parse::place(&args.from)?,
                to: parse::place(&args.to)?,
                amount,
                cap,
            }))
        }
        SiskinstepCmd::EndShift(args) => options.submit(Change::EndShift(args.name)),
        SiskinstepCmd::Drain(args) => options.submit(Change::PutDrain(parse::drain(&args.target)?)),
        SiskinstepCmd::Undrain(args) => {
            options.submit(Change::EndDrain(parse::drain(&args.target)?))
        }
        SiskinstepCmd::Cap(args) => options.submit(Change::PutCap(Cap {
            service: args.service,
            to: parse::place(&args.to)?,
            amount: parse::amount(&args.amount)?,
        })),
        SiskinstepCmd::EndCap(args) => options.submit(Change::EndCap {
            service: args.service,
            to: parse::place(&args.to)?,
        }),
        SiskinstepCmd::Status(_) => options.status(),
        SiskinstepCmd::Fleet(_) => options.fleet(),
        SiskinstepCmd::History(args) => {
            options.history(args.limit.unwrap_or(DEFAULT_HISTORY_LIMIT))
        }
        SiskinstepCmd::Explain(args) => explain(args.entry, &args.request),
        SiskinstepCmd::Members(_) => options.members(None),
        SiskinstepCmd::AddMember(args) => options.members(Some(&MemberChange::Add {
            name: args.name,
            peers: args.peers,
            operators: args.operators,
        })),
        SiskinstepCmd::RemoveMember(args) => {
            options.members(Some(&MemberChange::Remove { name: args.name }))
        }
        SiskinstepCmd::Check(args) => check(&args.role, &args.file),
        SiskinstepCmd::Events(_) => {
            print!("{}", events::table());
            Ok(())
        }
        SiskinstepCmd::Load(args) => {
            let report = load::run(&load::plan(&args)?)?;
            render::print(options.format, &report, Report::text);
            Ok(())
        }
        SiskinstepCmd::Dev(args) => Ok(dev::run(args.once)?),
    }
}

fn check(role: &str, file: &Path) -> Result<(), CliError> {
    match role {
        "entry" => drop(settings::load(file, entry::Settings::read)?),
        "control" => drop(settings::load(file, control::Settings::read)?),
        _ => {
            let expected = "entry or control";
            return InvalidArgumentSnafu {
                argument: "role",
                expected,
            }
            .fail();
        }
    }
    println!("{}: settings are valid", file.display());
    Ok(())
}

fn explain(entry: SocketAddr, request: &str) -> Result<(), CliError> {
    let target = format!("http://{entry}/explain/{request}");
    let mut response = outbound::agent(EXPLAIN_TIMEOUT).get(target).call()?;
    let text = response.body_mut().read_to_string()?;
    if !response.status().is_success() {
        return RefusedSnafu { text }.fail();
    }
    println!("{text}");
    Ok(())
}

/// Options that all subcommands share.
struct GlobalOptions {
    control: Vec<SocketAddr>,
    secret: PathBuf,
    format: Format,
    operator: String,
    id: Option<String>,
    expected: Option<u64>,
    dry_run: bool,
}

impl GlobalOptions {
    fn new(flags: &Siskinstep) -> Result<Self, CliError> {
        let format = match flags.output.as_deref() {
            None | Some("text") => Format::Text,
            Some("json") => Format::Json,
            Some(_) => {
                let expected = "text or json";
                return InvalidArgumentSnafu {
                    argument: "--output",
                    expected,
                }
                .fail();
            }
        };
        let default_address = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_CONTROL_PORT));
        let control = if flags.control.is_empty() {
            vec![default_address]
        } else {
            flags.control.clone()
        };
        Ok(Self {
            control,
            secret: flags
                .secret
                .clone()
                .unwrap_or_else(|| DEFAULT_SECRET_FILE.into()),
            format,
            operator: flags
                .operator
                .clone()
                .unwrap_or_else(|| DEFAULT_OPERATOR.to_owned()),
            id: flags.id.clone(),
            expected: flags.expected,
            dry_run: flags.dry_run,
        })
    }

    /// Submits a change, or validates it in a dry run, and prints the result.
    fn submit(&self, change: Change) -> Result<(), CliError> {
        let operator = self.connect()?;
        let runtime = runtime()?;
        let expected = match self.expected {
            Some(version) => version,
            None => runtime.block_on(operator.status())?.version,
        };
        let id = self.id.clone().unwrap_or_else(random_id);
        let command = Command {
            id,
            operator: self.operator.clone(),
            expected,
            change,
        };
        eprintln!("command {} on version {expected}", command.id);
        let accepted = if self.dry_run {
            runtime.block_on(operator.check(&command))?
        } else {
            runtime.block_on(operator.submit(&command))?
        };
        let dry_run = self.dry_run;
        render::print(self.format, &accepted, |accepted| {
            let text = render::accepted(*accepted);
            if dry_run {
                format!("dry run: would be {text}")
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

    /// Applies a membership change, if there is one, and prints the members.
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

fn random_id() -> String {
    format!("c-{:016x}", rand::random::<u64>())
}
