//! Flags of the subcommands. `--help` works on each of them.

#![allow(missing_docs)] // The macro does not accept comments on the items that it generates.

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Controls traffic steering: sets shifts, drains and caps, and shows the configuration.
    cmd siskinstep {
        /// Operator address of a control VM, IP:PORT. Repeat for each control VM.
        repeated --control address: SocketAddr
        /// File with the shared secret (default: siskinstep.secret).
        optional --secret file: PathBuf
        /// Output format: text (default) or json.
        optional --output format: String
        /// Name of the operator (default: operator).
        optional --operator name: String
        /// Id of the command (default: random). Retry with the same id to apply it only once.
        optional --id id: String
        /// Version that the change is based on (default: the current version).
        optional --expected version: u64
        /// Validate the change without applying it.
        optional --dry-run

        /// Moves traffic of a service: creates the shift or replaces the one with that name.
        cmd shift {
            /// Name of the shift.
            required name: String
            /// Service whose traffic is moved.
            required --service name: String
            /// Source: region/NAME or zone/NAME.
            required --from place: String
            /// Destination: region/NAME or zone/NAME.
            required --to place: String
            /// Amount to move: 250permille or 40/s.
            required --amount amount: String
            /// Upper limit of the moved traffic (default: the amount).
            optional --cap amount: String
        }
        /// Removes a shift.
        cmd end-shift {
            /// Name of the shift.
            required name: String
        }
        /// Stops sending new requests to a target: upstream/NAME, vm/NAME or zone/NAME.
        cmd drain {
            /// Target to drain.
            required target: String
        }
        /// Removes a drain.
        cmd undrain {
            /// Drained target.
            required target: String
        }
        /// Limits the traffic that all shifts of a service move into a region or zone.
        cmd cap {
            /// Service whose shifts are limited.
            required --service name: String
            /// Destination: region/NAME or zone/NAME.
            required --to place: String
            /// Limit: 250permille or 40/s.
            required --amount amount: String
        }
        /// Removes a cap.
        cmd end-cap {
            /// Service of the cap.
            required --service name: String
            /// Destination of the cap: region/NAME or zone/NAME.
            required --to place: String
        }
        /// Shows the current configuration.
        cmd status {
        }
        /// Shows the current configuration version of each entry VM.
        cmd fleet {
        }
        /// Shows the latest commands with their results, newest first.
        cmd history {
            /// Maximum number of commands (default: 20).
            optional --limit count: usize
        }
        /// Shows the decisions about a request, oldest first.
        cmd explain {
            /// Name of the request, from the response header siskinstep-request.
            required request: String
            /// Admin address of the entry VM that received the request, IP:PORT.
            required --entry address: SocketAddr
        }
        /// Shows the members of the control cluster with their roles and replication lag.
        cmd members {
        }
        /// Adds a control VM, which gets a vote after it has caught up.
        cmd add-member {
            /// Name of the VM.
            required name: String
            /// Address of its listener for peers, IP:PORT.
            required --peers address: SocketAddr
            /// Address of its listener for operators, IP:PORT.
            required --operators address: SocketAddr
        }
        /// Removes a control VM permanently.
        cmd remove-member {
            /// Name of the VM.
            required name: String
        }
        /// Validates a settings file: entry FILE or control FILE.
        cmd check {
            /// Role: entry or control.
            required role: String
            /// Settings file.
            required file: PathBuf
        }
        /// Prints the table of log events.
        cmd events {
        }
        /// Generates load at a configured rate and reports latencies, and refusals by reason.
        cmd load {
            /// Load plan as JSON; the other flags add to it or override it.
            optional --plan file: PathBuf
            /// Entry VM, IP:PORT of its caller listener; repeatable.
            repeated --entry address: SocketAddr
            /// Upstream for steerings that bypass the entry VMs; repeatable.
            repeated --upstream address: SocketAddr
            /// Target selection: siskinstep (default), round_robin or least_load; several run in turn.
            repeated --steering name: String
            /// Requests to send: PATH=RATE or PATH=RATE=WORTH, rate per second; repeatable.
            repeated --kind kind: String
            /// Duration for each steering, in seconds (default: 10).
            optional --seconds count: u64
            /// Number of sending threads (default: 1).
            optional --threads count: usize
            /// Maximum number of requests in flight per thread (default: 64).
            optional --connections count: usize
        }
        /// Runs control, entry and a sample upstream on loopback and sends a request through them.
        cmd dev {
            /// Exit after the request.
            optional --once
        }
    }
}
