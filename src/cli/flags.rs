//! The flags of each verb. `--help` works on every one.

#![allow(missing_docs)] // The macro has no place for comments on what it generates.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Steers traffic: orders shifts, drains and caps, and shows what is in force.
    cmd siskinstep {
        /// Operator address of a control VM, IP:PORT. Give one for each control VM.
        repeated --control address: SocketAddr
        /// File with the shared secret (default: siskinstep.secret).
        optional --secret file: PathBuf
        /// Output: text (default) or json.
        optional --output format: String
        /// Name of the operator (default: operator).
        optional --operator name: String
        /// Id of the command; send again with the same one to be safe.
        optional --id id: String
        /// Version that you have seen (default: the one in force).
        optional --expected version: u64
        /// Say what would happen, and change nothing.
        optional --dry-run

        /// Moves a service's traffic: creates the shift or replaces the one of that name.
        cmd shift {
            /// Name of the shift.
            required name: String
            /// Service whose traffic moves.
            required --service name: String
            /// Place it leaves: region/NAME or zone/NAME.
            required --from place: String
            /// Place it goes to: region/NAME or zone/NAME.
            required --to place: String
            /// How much: 250permille or 40/s.
            required --amount amount: String
            /// What it never exceeds (default: the amount).
            optional --cap amount: String
        }
        /// Ends a shift.
        cmd end-shift {
            /// Name of the shift.
            required name: String
        }
        /// Takes new work away: upstream/NAME, vm/NAME or zone/NAME.
        cmd drain {
            /// What to drain.
            required target: String
        }
        /// Ends a drain.
        cmd undrain {
            /// What was drained.
            required target: String
        }
        /// Limits what all shifts of a service bring into a place.
        cmd cap {
            /// Service.
            required --service name: String
            /// Place that receives: region/NAME or zone/NAME.
            required --to place: String
            /// Limit: 250permille or 40/s.
            required --amount amount: String
        }
        /// Ends a cap.
        cmd end-cap {
            /// Service.
            required --service name: String
            /// Place that receives: region/NAME or zone/NAME.
            required --to place: String
        }
        /// Shows the configuration in force.
        cmd status {
        }
        /// Shows the version in force on each entry VM.
        cmd fleet {
        }
        /// Shows the latest commands with their answers, newest first.
        cmd history {
            /// How many (default: 20).
            optional --limit count: usize
        }
        /// Shows what was decided for a request, oldest first.
        cmd explain {
            /// Name of the request, from the header siskinstep-request.
            required request: String
            /// Admin address of the entry VM that answered it, IP:PORT.
            required --entry address: SocketAddr
        }
        /// Shows the control VMs and how far each is.
        cmd members {
        }
        /// Adds a control VM; it counts once it has caught up.
        cmd add-member {
            /// Name of the VM.
            required name: String
            /// Its listener for peers, IP:PORT.
            required --peers address: SocketAddr
            /// Its listener for operators, IP:PORT.
            required --operators address: SocketAddr
        }
        /// Removes a control VM for good.
        cmd remove-member {
            /// Name of the VM.
            required name: String
        }
        /// Checks a settings file: entry FILE or control FILE.
        cmd check {
            /// Role: entry or control.
            required role: String
            /// Settings file.
            required file: PathBuf
        }
        /// Prints the catalogue of log events.
        cmd events {
        }
        /// Sends requests at stated times and reports latencies and refusals by kind.
        cmd load {
            /// Plan as JSON; the flags below then only add to it.
            optional --plan file: PathBuf
            /// Entry VM, IP:PORT of its caller listener; may be given several times.
            repeated --entry address: SocketAddr
            /// Upstream for steerings without an entry VM; may be given several times.
            repeated --upstream address: SocketAddr
            /// Who picks targets: siskinstep (default), round_robin, least_load; several run in turn.
            repeated --steering name: String
            /// What to send: PATH=RATE or PATH=RATE=WORTH, a rate a second.
            repeated --kind kind: String
            /// Seconds for each steering (default: 10).
            optional --seconds count: u64
            /// Threads that send (default: 1).
            optional --threads count: usize
            /// Requests in flight at most for each thread (default: 64).
            optional --connections count: usize
        }
        /// Runs control, entry and a sample upstream on loopback, and sends a request through them.
        cmd dev {
            /// End after the request.
            optional --once
        }
    }
}
