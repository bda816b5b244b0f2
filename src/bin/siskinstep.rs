//! The operator's command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    siskinstep::cli::run()
}
