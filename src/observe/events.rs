//! Catalogue of numbered log events. `docs/EVENTS.md` contains the same table.

use {
    log::{Level, Metadata, Record, kv::Value},
    std::fmt::Arguments,
};

/// A log event: one row of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event number, unique and never reused.
    pub code: u16,
    /// Log level.
    pub level: Level,
    /// What happened.
    pub meaning: &'static str,
    /// Recommended action for an operator.
    pub action: &'static str,
}

macro_rules! catalogue {
    ($($name:ident = $code:literal $level:ident $meaning:literal, $action:literal;)*) => {
        impl Event {
            $(#[doc = $meaning] pub const $name: Self = Self {
                code: $code,
                level: Level::$level,
                meaning: $meaning,
                action: $action,
            };)*

            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];
        }
    };
}

catalogue! {
    STARTED = 1001 Info "Process started", "None.";
    STOPPING = 1002 Info "Graceful shutdown began", "None.";
    STOPPED = 1003 Info "Graceful shutdown complete", "None.";
    STOP_FORCED = 1004 Warn "Shutdown time limit reached with requests in flight", "Raise `stop_ms` above the longest deadline.";
    FATAL = 1005 Error "Fatal error; the process exits", "Read the reason in the log line; restart after fixing it.";
    RELOADED = 1006 Info "Settings reloaded", "None.";
    SETTINGS_WRONG = 1007 Error "Changed settings are invalid and were rejected", "Fix the file; the last valid settings stay in effect.";
    DUTY_PANICKED = 1008 Error "A duty panicked; the process exits", "Report a bug with the place in the log line; the process is restarted.";
    LISTENING = 1101 Info "Listener bound", "None.";
    ACCEPT_FAILED = 1102 Warn "Listener could not accept a connection", "Check the open file limit.";
    CONNECTIONS_FULL = 1103 Warn "Listener is at its connection limit", "Find the caller that holds connections open, or raise `connections`.";
    UNAUTHORIZED = 1104 Warn "Call from a peer or operator without the shared secret", "Check `secret_file` on the calling VM.";
    CONNECTION_PANICKED = 1105 Error "Handling a connection panicked; only that connection was closed", "Report a bug with the place in the log line.";
    UPSTREAM_JOINED = 1201 Info "Upstream registered", "None.";
    UPSTREAM_LAPSED = 1202 Warn "Upstream's lease expired", "Check the upstream and its network.";
    UPSTREAM_LEAVING = 1203 Info "Upstream is leaving", "None.";
    CONFIG_APPLIED = 1301 Info "Configuration applied", "None.";
    CONTROL_UNREACHABLE = 1302 Warn "No control VM is reachable", "Check the control VMs and the network; traffic continues with the last configuration.";
    CONTROL_REACHED = 1303 Info "A control VM is reachable", "None.";
    CATALOG_BEHIND = 1304 Warn "Near control VM is behind a distant one; rows are polled from the distant one", "None if E1305 follows; otherwise check the control VMs of this zone.";
    CATALOG_LEVEL = 1305 Info "Near control VM is no longer behind", "None.";
    PLACED = 1310 Info "Request sent to an upstream", "None; the line gives the reasons for the choice.";
    REFUSED = 1311 Warn "Request ended without a response from an upstream", "Look up the reason in `docs/limits.md`; find the request's other lines by its ID.";
    ATTEMPT_FAILED = 1312 Warn "Attempt at an upstream failed", "Check the upstream if this repeats.";
    UPSTREAM_WITHDRAWN = 1321 Info "Upstream announced in a response that it leaves; this VM sends it no further requests", "None; a new incarnation is used again.";
    UPSTREAM_RESTING = 1322 Info "Upstream asked for no requests until a given time, or did not accept the first one after it; this VM sends it none until then", "Add capacity if this repeats.";
    UPSTREAM_PROBED = 1323 Info "One request tests whether an upstream accepts requests again", "None.";
    UPSTREAM_RETURNING = 1324 Info "Upstream accepts requests again; the rate of requests to it rises", "None.";
    UPSTREAM_RETURNED = 1325 Info "Upstream gets requests without a limit again", "None.";
    REST_INVALID = 1326 Warn "Upstream asked for no requests in an invalid form or for too long a time; this was ignored or limited", "Fix the upstream; the line has the value.";
    RING_FULL = 1401 Warn "Ring between two duties was full", "The VM is overloaded; add entry VMs.";
    LEADING = 2001 Info "This control VM became the leader", "None.";
    DEPOSED = 2002 Warn "This control VM is no longer the leader", "None if another leader is elected soon; otherwise check the control VMs and the network.";
    FOUNDED = 2003 Info "Cluster initialized", "None; happens once in the lifetime of a cluster.";
    MEMBERS_CHANGED = 2004 Info "Cluster membership changed", "None; `siskinstep members` lists the members.";
    OTHER_CLUSTER = 2005 Error "Message from a control VM of another cluster", "Check `members` and the addresses in the settings of both VMs.";
    CONTRADICTION = 2006 Error "A leader contradicts a committed log entry", "Keep the data folders of all control VMs and report a bug.";
    OLD_DISK = 2007 Warn "Data folder is older than the state that this disk has acknowledged", "None; the folder is set aside and this VM fetches its state again. Find out who restored the folder.";
    DISK_FAILED = 2008 Error "Writes to the data folder fail", "Free space or replace the disk; writes are retried.";
    DISK_BACK = 2009 Info "Writes to the data folder succeed again", "None.";
    DISK_RENEWED = 2010 Info "This control VM restarts as a new disk", "None; it counts towards quorums again once it has caught up.";
    NOT_KEPT = 2011 Warn "No `data_dir`: accepted configuration is lost when the process exits", "Set `data_dir`, except for a trial.";
    EVACUATION_ENDED = 2020 Info "Order to evacuate an availability zone or to admit it again ended", "None; the line has the result.";
    ORDER_ABANDONED = 2021 Info "Order dropped, as its caller disconnected before it was submitted", "None; the caller repeats it at another control VM.";
    ORDER_ENDED = 2022 Info "Order of an operator ended on the control VM that received it", "None; the line says where its time went.";
    ORDER_COMMITTED = 2023 Info "Order of an operator was committed by the leader", "None; the line says where its time went.";
    CURRENT = 2024 Info "This control VM's catalogue is current", "None; the line says whether it is from the log or a copy.";
    NOT_CURRENT = 2025 Warn "This control VM's catalogue may be old; it serves no followers", "None if E2024 follows; otherwise check the control VMs and the network.";
    MEMBER_SILENT = 2026 Warn "The leader removes a control VM that has been silent from the members", "None if it was replaced or comes back; otherwise check the VM and its network.";
    TOLERANCE_LOW = 2027 Warn "The control VMs tolerate fewer losses than `agree.tolerated_losses`", "None if E2028 follows; otherwise start control VMs in place of the lost ones.";
    TOLERANCE_MET = 2028 Info "The control VMs tolerate as many losses as stated again", "None.";
    RESIGNED = 2029 Info "This control VM hands leadership over before it stops", "None.";
    READ_FAILED = 2030 Warn "Read of the configuration was not answered", "None if later reads are answered, here or at other control VMs; the line says which step failed and what it waited for.";
    MEMBER_UP = 2101 Info "Entry VM joined or rejoined", "None.";
    MEMBER_DOWN = 2102 Warn "Entry VM evicted after it stopped responding", "Check the VM and its network.";
    MEMBER_LEFT = 2103 Info "Entry VM is leaving", "None.";
    MEMBER_FROZEN = 2104 Warn "This VM was suspended for longer than its lease and is rejoining", "Find out what suspended the VM; it serves no requests until it has rejoined.";
    MEMBER_NAME_TAKEN = 2105 Error "Another VM uses the name of this VM", "Give each entry VM a unique `vm`.";
    ENTRY_SEEN = 2106 Info "Entry VM reported a change of its readiness", "None.";
    ENTRY_SILENT = 2107 Warn "No beacon from an entry VM within the timeout; callers are no longer directed to it", "Check the VM and its network.";
    CONFIG_MISMATCH = 2111 Error "Two configurations of the same version differ", "None; the configuration is fetched again from a control VM. Report a bug if this repeats.";
    CONFIG_FLOOR = 2112 Warn "Started without a response from the zone or a control VM", "Check the seeds, the control VMs and the network; the last known configuration is in use.";
    CONFIG_DISK = 2113 Warn "Configuration could not be stored on disk", "Check `data_dir`; peers hold the configuration too.";
    LEDGER_BLANK = 2201 Warn "Ledger has no stored state and does not vote yet", "None on a first start; otherwise see `docs/claims.md`, lost disk.";
    LEDGER_VOTES = 2202 Info "Ledger started voting", "None.";
    LEDGER_FAILED = 2203 Error "Ledger's disk failed; the ledger accepts no more orders", "Replace the disk, then restart the VM.";
    LEDGER_DAMAGED = 2204 Error "Ledger file was corrupted and set aside", "Check the disk; see `docs/claims.md`, lost disk.";
    LEDGER_FULL = 2205 Warn "Ledger is full and grants no new keys", "Raise `ledger.keys` or `ledger.bytes`, or shorten `ledger.expiry_ms`.";
    UPSTREAM_LOST = 2211 Warn "Upstream process terminated while executing a request", "Check the upstream; `/poison` of the admin listener lists the request.";
    POISONED = 2212 Error "Request is refused because it has crashed upstreams", "See `docs/poison.md`; lift the refusal once the upstreams are fixed.";
    POISON_LIFTED = 2213 Info "Charges for terminated upstreams were lifted", "None.";
    DRAIN_BEGAN = 2301 Info "Drain started", "None.";
    DRAIN_DONE = 2302 Info "Drain complete: no requests in flight", "The drained target may be stopped once every VM reports this event.";
}

/// Logs an event without named fields.
///
/// ```
/// use siskinstep::observe::{Event, report};
/// report(Event::STARTED, format_args!("entry-1"));
/// ```
pub fn report(event: Event, detail: Arguments<'_>) {
    report_with(event, &[], detail);
}

/// Logs an event with named fields, which appear in the machine-readable format only.
///
/// ```
/// use siskinstep::observe::{Event, report_with};
/// report_with(Event::REFUSED, &[("reason", "no_slot".into())], format_args!("r-1 no_slot"));
/// ```
pub fn report_with(event: Event, fields: &[(&str, Value<'_>)], detail: Arguments<'_>) {
    let code = format!("E{}", event.code);
    let event_field = [("event", Value::from(&*code))];
    let logger = log::logger();
    let metadata = Metadata::builder()
        .level(event.level)
        .target(module_path!())
        .build();
    if event.level > log::max_level() || !logger.enabled(&metadata) {
        return;
    }
    let all_fields: Vec<(&str, Value<'_>)> = event_field.iter().chain(fields).cloned().collect();
    let all_fields = &*all_fields;
    logger.log(
        &Record::builder()
            .metadata(metadata)
            .key_values(&all_fields)
            .args(format_args!("{code} {}: {detail}", event.meaning))
            .build(),
    );
}

/// Catalogue as a Markdown table, as in `docs/EVENTS.md`.
///
/// ```
/// assert!(siskinstep::observe::events::table().contains("| E1001 |"));
/// ```
#[must_use]
pub fn table() -> String {
    let mut text = String::from("| code | level | meaning | what to do |\n|---|---|---|---|\n");
    for event in Event::ALL {
        let level = event.level.as_str().to_lowercase();
        let row = format!(
            "| E{} | {level} | {} | {} |\n",
            event.code, event.meaning, event.action
        );
        text.push_str(&row);
    }
    text
}
