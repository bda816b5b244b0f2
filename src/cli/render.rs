//! Output of results as text or JSON.

use {
    crate::{
        agree::MemberStatus,
        operator::Status,
        policy::{Accepted, state::Receipt},
        spread::FleetRow,
    },
    serde::Serialize,
};

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    Text,
    Json,
}

/// Prints `result` as JSON, or as the text that `text` returns for it.
pub(super) fn print<T: Serialize>(format: Format, result: &T, text: impl FnOnce(&T) -> String) {
    match format {
        Format::Text => println!("{}", text(result)),
        Format::Json => match serde_json::to_string_pretty(result) {
            Ok(json) => println!("{json}"),
            Err(error) => eprintln!("{error}"),
        },
    }
}

pub(super) fn accepted(result: Accepted) -> String {
    format!("accepted as version {}", result.version)
}

pub(super) fn status(status: &Status) -> String {
    let mut lines = vec![format!("version {} (from {})", status.version, status.vm)];
    for shift in &status.shifts {
        let (from, to) = (&shift.from, &shift.to);
        let line = format!(
            "shift {}: {} of {} from {from} to {to}",
            shift.name, shift.amount, shift.service
        );
        lines.push(format!("{line}, at most {}", shift.cap));
    }
    for drain in &status.drains {
        lines.push(format!("drain {drain}"));
    }
    for cap in &status.caps {
        lines.push(format!(
            "cap {}: at most {} into {}",
            cap.service, cap.amount, cap.to
        ));
    }
    lines.join("\n")
}

pub(super) fn history(receipts: &[Receipt]) -> String {
    let line = |receipt: &Receipt| {
        let (id, operator) = (&receipt.command.id, &receipt.command.operator);
        match &receipt.answer {
            Ok(accepted) => format!("{id} by {operator}: version {}", accepted.version),
            Err(rejection) => format!("{id} by {operator}: refused: {rejection}"),
        }
    };
    let lines: Vec<String> = receipts.iter().map(line).collect();
    lines.join("\n")
}

pub(super) fn members(members: &[MemberStatus]) -> String {
    let line = |row: &MemberStatus| {
        let role = match (row.leads, row.voter) {
            (true, _) => "leads",
            (false, true) => "votes",
            (false, false) => "learns",
        };
        let liveness = if row.alive { "alive" } else { "silent" };
        let (name, peers, operators) = (&row.name, row.peers, row.operators);
        let behind = row.behind;
        format!("{name} peers {peers} operators {operators}: {role}, {liveness}, {behind} behind")
    };
    let lines: Vec<String> = members.iter().map(line).collect();
    lines.join("\n")
}

pub(super) fn fleet(rows: &[FleetRow]) -> String {
    let mut lines = vec![format!(
        "{:<24} {:<24} {:>9} {:>9}",
        "vm", "zone", "version", "age ms"
    )];
    for row in rows {
        let line = format!(
            "{:<24} {:<24} {:>9} {:>9}",
            row.vm, row.zone, row.version, row.age_ms
        );
        lines.push(line);
    }
    lines.join("\n")
}
