//! The catalogue of numbered log events. `docs/EVENTS.md` lists the same rows.

use {
    log::{Level, Metadata, Record, kv::Value},
    std::fmt::Arguments,
};

/// One row of the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, unique and never reused.
    pub code: u16,
    /// Log level.
    pub level: Level,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator should do.
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

            /// Every event, by rising code.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];
        }
    };
}

catalogue! {
    STARTED = 1001 Info "Process started", "None.";
    STOPPING = 1002 Info "Graceful shutdown began", "None.";
    STOPPED = 1003 Info "Graceful shutdown complete", "None.";
    STOP_FORCED = 1004 Warn "Shutdown limit reached with work in flight", "Raise `stop_ms` above the longest deadline.";
    FATAL = 1005 Error "Process cannot go on", "Read the reason in the line; restart after mending it.";
    RELOADED = 1006 Info "Settings were read again", "None.";
    SETTINGS_WRONG = 1007 Error "Changed settings are wrong and not taken in", "Mend the file; the last sound settings stay in force.";
    LISTENING = 1101 Info "Listener bound", "None.";
    ACCEPT_FAILED = 1102 Warn "Listener could not accept a connection", "Check the open file limit.";
    CONNECTIONS_FULL = 1103 Warn "Listener is at its connection limit", "Find the caller that holds connections, or raise `connections`.";
    UNAUTHORIZED = 1104 Warn "Peer or operator call without the shared secret", "Check `secret_file` on the calling VM.";
    UPSTREAM_JOINED = 1201 Info "Upstream announced itself", "None.";
    UPSTREAM_LAPSED = 1202 Warn "Upstream's lease lapsed", "Check the upstream and its network.";
    UPSTREAM_LEAVING = 1203 Info "Upstream is leaving", "None.";
    CONFIG_APPLIED = 1301 Info "Configuration applied", "None.";
    CONTROL_UNREACHABLE = 1302 Warn "No control VM could be reached", "Check control VMs and the network; traffic goes on with the last configuration.";
    CONTROL_REACHED = 1303 Info "A control VM answers", "None.";
    PLACED = 1310 Info "Request sent to an upstream", "None; the line says what decided it.";
    REFUSED = 1311 Warn "Request ended without an upstream's answer", "Read the reason in `docs/limits.md`; look up the request's other lines by its name.";
    ATTEMPT_FAILED = 1312 Warn "Attempt at an upstream failed", "Check the upstream if it repeats.";
    RING_FULL = 1401 Warn "Ring between two duties was full", "The VM is overloaded; add entry VMs.";
    LEADING = 2001 Info "This control VM leads", "None.";
    DEPOSED = 2002 Warn "This control VM no longer leads", "None, if another one leads soon; otherwise check the control VMs and the network.";
    FOUNDED = 2003 Info "Cluster founded", "None; once in the life of a cluster.";
    MEMBERS_CHANGED = 2004 Info "Members of the cluster changed", "None; `siskinstep members` shows them.";
    OTHER_CLUSTER = 2005 Error "Message from a control VM of another cluster", "Check `members` and addresses in the settings of both.";
    CONTRADICTION = 2006 Error "A leader contradicts a committed entry", "Keep the data folders of all control VMs and report it.";
    OLD_DISK = 2007 Warn "Data folder is older than what this disk promised", "None; it is set aside and this VM learns anew. Find out who restored it.";
    DISK_FAILED = 2008 Error "Data folder takes no writes", "Free space or replace the disk; writes are tried again.";
    DISK_BACK = 2009 Info "Data folder takes writes again", "None.";
    DISK_RENEWED = 2010 Info "This control VM starts again as a new disk", "None; it counts again once it has caught up.";
    NOT_KEPT = 2011 Warn "No `data_dir`: accepted configuration is lost when the process ends", "Set `data_dir`, except for a trial.";
    MEMBER_UP = 2101 Info "Entry VM joined or came back", "None.";
    MEMBER_DOWN = 2102 Warn "Entry VM evicted after it stopped answering", "Check the VM and its network.";
    MEMBER_LEFT = 2103 Info "Entry VM is leaving", "None.";
    MEMBER_FROZEN = 2104 Warn "This VM did not run for longer than its lease and joins again", "Find out what stopped the VM; it serves nothing until it has joined.";
    MEMBER_NAME_TAKEN = 2105 Error "Another VM uses the name of this one", "Give each entry VM its own `vm`.";
    ENTRY_SEEN = 2106 Info "Entry VM tells that it serves, or no longer does", "None.";
    ENTRY_SILENT = 2107 Warn "Entry VM is silent and no longer named to callers", "Check the VM and its network.";
    CONFIG_MISMATCH = 2111 Error "Two configurations of one version differ", "None: fetched again from control. Report it if it repeats.";
    CONFIG_FLOOR = 2112 Warn "Started without an answer of the zone or control", "Check seeds, control VMs and the network; the last known configuration serves.";
    CONFIG_DISK = 2113 Warn "Configuration could not be kept on disk", "Check `data_dir`; peers hold the configuration too.";
    LEDGER_BLANK = 2201 Warn "Ledger has no memory and does not vote yet", "None on a first start; else see `docs/claims.md`, lost disk.";
    LEDGER_VOTES = 2202 Info "Ledger votes", "None.";
    LEDGER_FAILED = 2203 Error "Ledger's disk failed, it takes no more orders", "Replace the disk, then restart the VM.";
    LEDGER_DAMAGED = 2204 Error "Ledger's file was damaged and put aside", "Check the disk; see `docs/claims.md`, lost disk.";
    LEDGER_FULL = 2205 Warn "Ledger is full and grants no new key", "Raise `ledger.keys` or `ledger.bytes`, or shorten `ledger.expiry_ms`.";
    UPSTREAM_LOST = 2211 Warn "Upstream's process was lost while it ran a request", "Check the upstream; `/poison` of the admin listener lists the request.";
    POISONED = 2212 Error "Request is refused as it crashed upstreams", "See `docs/poison.md`; lift it once the upstreams are mended.";
    POISON_LIFTED = 2213 Info "Charges for lost upstreams were lifted", "None.";
    DRAIN_BEGAN = 2301 Info "Drain began", "None.";
    DRAIN_DONE = 2302 Info "Drain complete: nothing in flight", "What was drained may be stopped once every VM says so.";
}

/// Writes an event to the log.
///
/// ```
/// use siskinstep::observe::{Event, report};
/// report(Event::STARTED, format_args!("entry-1"));
/// ```
pub fn report(event: Event, detail: Arguments<'_>) {
    note(event, &[], detail);
}

/// Logs an event with what it rests on by name, for programs that read the lines.
///
/// ```
/// use siskinstep::observe::{Event, note};
/// note(Event::REFUSED, &[("reason", "no_slot".into())], format_args!("r-1 no_slot"));
/// ```
pub fn note(event: Event, fields: &[(&str, Value<'_>)], detail: Arguments<'_>) {
    let code = format!("E{}", event.code);
    let number = [("event", Value::from(&*code))];
    let logger = log::logger();
    let metadata = Metadata::builder()
        .level(event.level)
        .target(module_path!())
        .build();
    if event.level > log::max_level() || !logger.enabled(&metadata) {
        return;
    }
    let all: Vec<(&str, Value<'_>)> = number.iter().chain(fields).cloned().collect();
    let all = &*all;
    logger.log(
        &Record::builder()
            .metadata(metadata)
            .key_values(&all)
            .args(format_args!("{code} {}: {detail}", event.meaning))
            .build(),
    );
}

/// The catalogue as the table of `docs/EVENTS.md`.
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
