//! Common main loop of the daemons: check settings, start, wait for a signal, stop, exit.

use {
    crate::{
        duty, lines,
        observe::{self, Event, report},
        settings::{self, SettingsError, section::Section},
    },
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{fmt::Display, path::Path, process::ExitCode},
};

/// Exit code for unreadable or invalid settings.
const BAD_SETTINGS: u8 = 2;

/// Runs a daemon with the settings file at `path`; with `check`, exits after checking the settings.
///
/// `start` starts the process and `stop` shuts it down gracefully. Returns on SIGTERM or SIGINT.
pub fn run<S, P, E: Display>(
    path: &Path,
    check: bool,
    read: impl FnOnce(&mut Section<'_>) -> S,
    start: impl FnOnce(S) -> Result<P, E>,
    stop: impl FnOnce(P),
) -> ExitCode {
    observe::start_log();
    duty::exit_on_panic();
    let settings = match settings::load(path, read) {
        Ok(settings) => settings,
        Err(error) => return refuse(&error),
    };
    if check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    // Registered before any thread starts, so that no signal is lost.
    let mut signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => return fatal(&error),
    };
    let process = match start(settings) {
        Ok(process) => process,
        Err(error) => return fatal(&error),
    };
    signals.forever().next();
    stop(process);
    lines::flush();
    ExitCode::SUCCESS
}

fn refuse(error: &SettingsError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(BAD_SETTINGS)
}

fn fatal(error: &dyn Display) -> ExitCode {
    report(Event::FATAL, format_args!("{error}"));
    lines::flush();
    ExitCode::FAILURE
}
