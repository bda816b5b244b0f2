//! Log lines and counters of what operators should know of a replica.

use {
    super::{decide::Note, member::Tolerance, state::State},
    crate::observe::{Event, report},
};

/// Logs a note and returns the name of its counter.
pub(super) fn report_note(state: &State, note: Note) -> &'static str {
    let (event, counter) = match note {
        Note::Elected => (Event::LEADING, "elected"),
        Note::Deposed => (Event::DEPOSED, "deposed"),
        Note::Resigned => (Event::RESIGNED, "resigned"),
        Note::Founded => (Event::FOUNDED, "founded"),
        Note::MembersChanged => (Event::MEMBERS_CHANGED, "members_changed"),
        Note::MemberSilent(_) => (Event::MEMBER_SILENT, "member_silent"),
        Note::Tolerance(tolerance) if is_low(state, tolerance) => {
            (Event::TOLERANCE_LOW, "tolerance_low")
        }
        Note::Tolerance(_) => (Event::TOLERANCE_MET, "tolerance_met"),
        Note::OtherCluster => (Event::OTHER_CLUSTER, "other_cluster"),
        Note::Contradiction => (Event::CONTRADICTION, "contradiction"),
        Note::OldDisk => (Event::OLD_DISK, "old_disk"),
        Note::DiskFailed => (Event::DISK_FAILED, "disk_failed"),
        Note::DiskBack => (Event::DISK_BACK, "disk_back"),
    };
    let term = state.hard.term;
    match &state.disk_error {
        Some(error) => report(event, format_args!("term {term}: {error}")),
        None => report(event, format_args!("term {term}{}", detail(state, note))),
    }
    counter
}

fn is_low(state: &State, tolerance: Tolerance) -> bool {
    tolerance.losses() < state.settings.tolerated_losses
}

/// What the line of a note says besides the term.
fn detail(state: &State, note: Note) -> String {
    let settings = &state.settings;
    match note {
        Note::MembersChanged => {
            let rows = &state.members().rows;
            let names = |voter: bool| -> Vec<&str> {
                let rows = rows.iter().filter(move |row| row.voter == voter);
                rows.map(|row| row.name.as_str()).collect()
            };
            format!(", voters {:?}, learners {:?}", names(true), names(false))
        }
        Note::MemberSilent(disk) => {
            let mut members = state.members.iter().rev();
            let row = members.find_map(|(_, members)| members.with_disk(disk));
            let name = row.map_or("", |row| &row.name);
            format!(", {name:?}, nothing for {} ms", settings.silent_ms)
        }
        Note::Tolerance(tolerance) => format!(
            ", {} voters heard, quorum {}, {} losses to tolerate",
            tolerance.heard, tolerance.quorum, settings.tolerated_losses
        ),
        _ => String::new(),
    }
}
