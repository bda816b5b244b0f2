//! Daemon of an entry VM.

use {
    siskinstep::{
        daemon,
        edge::Secret,
        entry::{Entry, Settings},
    },
    std::{path::PathBuf, process::ExitCode},
};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs an entry VM of siskinstep.
        cmd siskinstep-entry {
            /// Settings file (JSON).
            required settings: PathBuf
            /// Check the settings and exit.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::SiskinstepEntry::from_env_or_exit();
    let path: PathBuf = flags.settings;
    daemon::run(&path, flags.check, Settings::read, start, Entry::stop)
}

fn start(settings: Settings) -> Result<Entry, String> {
    let secret = Secret::load(settings.vm.secret_file.as_ref());
    let secret = secret.map_err(|error| format!("secret_file: {error}"))?;
    Entry::start(settings, &secret).map_err(|error| error.to_string())
}
