//! Daemon of a control VM.

use {
    siskinstep::{
        control::{Control, Settings},
        daemon,
        edge::Secret,
    },
    std::{path::PathBuf, process::ExitCode},
};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs a control VM of siskinstep.
        cmd siskinstep-control {
            /// Settings file (JSON).
            required settings: PathBuf
            /// Check the settings and exit.
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::SiskinstepControl::from_env_or_exit();
    let path: PathBuf = flags.settings;
    daemon::run(
        &path,
        flags.check,
        Settings::read,
        |settings| start(&settings),
        Control::stop,
    )
}

fn start(settings: &Settings) -> Result<Control, String> {
    let secret = Secret::load(settings.vm.secret_file.as_ref());
    let secret = secret.map_err(|error| format!("secret_file: {error}"))?;
    Control::start(settings, &secret).map_err(|error| error.to_string())
}
