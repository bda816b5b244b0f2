//! Tests of the membership decisions, on single states and in a simulated network.

mod fuzz;
mod net;

use {
    super::{
        codec::Codec,
        decide, merge,
        messages::{Datagram, DropReason, FreeSlots, Kind, Member, MemberStatus, ZoneSummary},
        select,
        settings::Settings,
        state::State,
    },
    crate::{
        clock::Micros,
        keys::{ServiceKey, ZoneKey},
        settings::topology::Topology,
    },
    std::net::SocketAddr,
};

const ZONES: u16 = 3;
const NOW: Micros = Micros(60_000_000);

fn topology(zones: u16) -> Topology {
    let mut topology = Topology::default();
    let names = (0..zones).map(|zone| format!("zone-{zone}")).collect();
    topology.add_region("derwent".to_owned(), names);
    topology.add_service("cellwatch".to_owned(), vec![]);
    topology.add_service("swapdesk".to_owned(), vec![]);
    topology
}

fn codec() -> Codec {
    Codec::new(b"0123456789abcdef", &topology(ZONES)).unwrap()
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + number))
}

fn member(number: u16, zone: u16) -> Member {
    Member {
        name: format!("vm-{number}"),
        zone: ZoneKey(zone),
        members: address(number),
        callers: address(number),
        upstreams: address(number),
        peers: address(number),
        incarnation: 1_000,
        status: MemberStatus::Alive,
        heartbeat: 1,
        free_slots: vec![FreeSlots {
            service: ServiceKey(1),
            slots: u32::from(number),
        }],
        version: 7,
    }
}

fn state() -> State {
    let mut state = State::new(Settings::default(), member(0, 0), NOW);
    decide::set_version(&mut state, 7);
    decide::tick(&mut state, NOW, 1);
    state
}

fn datagram(from: Member, sequence: u64, kind: Kind) -> Datagram {
    Datagram {
        sequence,
        kind,
        from,
        members: vec![],
        zones: vec![],
    }
}

#[test]
fn single_vm_serves_from_its_first_round() {
    assert!(decide::can_serve(&state()));
    assert!(decide::view(&state(), NOW).joined);
}

#[test]
fn vm_without_configuration_does_not_serve() {
    let mut state = State::new(Settings::default(), member(0, 0), NOW);
    decide::tick(&mut state, NOW, 1);
    assert!(!decide::can_serve(&state));
    decide::set_version(&mut state, 0);
    assert!(decide::can_serve(&state));
    // Nor does it after a freeze until configuration updates have been requested.
    decide::tick(&mut state, NOW.plus_millis(60_000), 1);
    decide::tick(&mut state, NOW.plus_millis(60_100), 1);
    assert!(state.joined && !decide::can_serve(&state));
}

#[test]
fn earlier_incarnation_is_rejected_and_receives_the_known_one() {
    let mut state = state();
    merge::apply_member(&mut state, member(1, 0), NOW);
    let outdated = Member {
        incarnation: 999,
        ..member(1, 0)
    };
    let rejected = decide::receive(
        &mut state,
        datagram(outdated, 1, Kind::Ping),
        address(1),
        NOW,
    );
    let dropped = rejected.unwrap_err();
    assert_eq!(dropped.reason, DropReason::Outdated);
    assert_eq!(dropped.reply[0].datagram.members, [member(1, 0)]);
    // A restarted VM whose clock was set back exceeds the incarnation known to others.
    let mut restarted = State::new(
        Settings::default(),
        Member {
            incarnation: 999,
            ..member(1, 0)
        },
        NOW,
    );
    merge::apply_member(&mut restarted, member(1, 0), NOW);
    assert!(restarted.local.incarnation > 1_000);
}

#[test]
fn replayed_datagram_is_rejected() {
    let mut state = state();
    let ping = |sequence| datagram(member(1, 0), sequence, Kind::Ping);
    assert!(decide::receive(&mut state, ping(1_000), address(1), NOW).is_ok());
    assert!(decide::receive(&mut state, ping(900), address(1), NOW).is_ok());
    let rejected = decide::receive(&mut state, ping(1), address(1), NOW);
    assert_eq!(rejected.unwrap_err().reason, DropReason::Replayed);
}

#[test]
fn datagram_with_the_local_name_is_rejected() {
    let ping = datagram(member(0, 0), 1, Kind::Ping);
    let rejected = decide::receive(&mut state(), ping, address(1), NOW);
    assert_eq!(rejected.unwrap_err().reason, DropReason::DuplicateName);
}

#[test]
fn frozen_vm_rejoins_before_it_serves() {
    let mut state = state();
    merge::apply_member(&mut state, member(1, 0), NOW);
    decide::tick(&mut state, NOW.plus_millis(500), 1);
    let (before, sequence) = (state.local.incarnation, state.sequence);
    let later = NOW.plus_millis(60_000);
    decide::tick(&mut state, later, 2);
    assert!(!decide::can_serve(&state));
    assert!(state.local.incarnation > before);
    // An acknowledgement of a ping sent before the freeze is not sufficient.
    let ack = |sequence, probe| datagram(member(1, 0), sequence, Kind::Ack(probe));
    decide::receive(&mut state, ack(1, sequence), address(1), later).unwrap();
    assert!(!decide::can_serve(&state));
    decide::set_version(&mut state, 8);
    assert!(!decide::can_serve(&state));
    let latest = state.sequence;
    decide::receive(&mut state, ack(2, latest), address(1), later).unwrap();
    assert!(decide::can_serve(&state));
    assert!(state.local.incarnation > before + 1);
}

#[test]
fn silent_member_is_pinged_indirectly_before_it_is_suspect() {
    let mut state = state();
    for number in 1..3 {
        merge::apply_member(&mut state, member(number, 0), NOW);
    }
    let mut now = NOW.plus_millis(500);
    decide::tick(&mut state, now, 1);
    now = now.plus_millis(500);
    let out = decide::tick(&mut state, now, 1);
    let relayed: Vec<_> = out
        .iter()
        .filter_map(|out| match &out.datagram.kind {
            Kind::Relay { target, probe } if target == "vm-1" => Some((out.to, *probe)),
            _ => None,
        })
        .collect();
    let [(to, probe)] = relayed[..] else {
        panic!("{relayed:?}")
    };
    assert_eq!(to, address(2));
    assert_eq!(
        state.row("vm-1").unwrap().member.status,
        MemberStatus::Alive
    );
    // The acknowledgement from the relay clears the probe; without one the member is suspect.
    let ack = datagram(member(2, 0), 1, Kind::Ack(probe));
    decide::receive(&mut state, ack, address(2), now).unwrap();
    decide::tick(&mut state, now.plus_millis(500), 1);
    assert_eq!(
        state.row("vm-1").unwrap().member.status,
        MemberStatus::Alive
    );
    for round in 2..5 {
        decide::tick(&mut state, now.plus_millis(500 * round), 1);
    }
    assert_eq!(
        state.row("vm-1").unwrap().member.status,
        MemberStatus::Suspect
    );
}

#[test]
fn removed_member_is_not_restored_by_an_update_that_reports_it_dead() {
    let mut state = state();
    let dead = Member {
        status: MemberStatus::Dead,
        ..member(1, 0)
    };
    merge::apply_member(&mut state, member(1, 0), NOW);
    merge::apply_member(&mut state, dead.clone(), NOW);
    decide::tick(&mut state, NOW.plus_millis(1_000), 1);
    assert!(state.row("vm-1").is_some());
    decide::tick(&mut state, NOW.plus_millis(3_600_000), 1);
    merge::apply_member(&mut state, dead, NOW);
    assert!(state.row("vm-1").is_none());
}

#[test]
fn evicted_and_leaving_members_are_not_in_the_view() {
    let mut state = state();
    for (number, status) in [
        MemberStatus::Alive,
        MemberStatus::Suspect,
        MemberStatus::Leaving,
    ]
    .into_iter()
    .enumerate()
    {
        let number = u16::try_from(number).unwrap() + 1;
        merge::apply_member(&mut state, member(number, 0), NOW);
        let update = Member {
            status,
            ..member(number, 0)
        };
        merge::apply_member(&mut state, update, NOW);
    }
    let names: Vec<String> = decide::view(&state, NOW)
        .rows
        .into_iter()
        .map(|row| row.name)
        .collect();
    assert_eq!(names, ["vm-0", "vm-1", "vm-2"]);
}

#[test]
fn members_of_a_zone_without_recent_summary_are_not_in_the_view() {
    let mut state = state();
    merge::apply_member(&mut state, member(1, 1), NOW);
    let visible = |state: &State, now| decide::view(state, now).rows.len();
    assert_eq!(visible(&state, NOW), 1);
    merge::apply_zone(
        &mut state,
        ZoneSummary {
            zone: ZoneKey(1),
            created: NOW,
            free_slots: vec![],
            version: 7,
        },
    );
    assert_eq!(visible(&state, NOW), 2);
    assert_eq!(visible(&state, NOW.plus_millis(10_000)), 1);
}

#[test]
fn encoded_datagram_is_bounded_and_truncated_page_resumes_after_its_last_member() {
    let long = |number: u16| Member {
        name: format!("{number:064}"),
        ..member(number, 0)
    };
    let mut page = datagram(member(0, 0), 1, Kind::Listed(String::new()));
    page.members = (0..30).map(long).collect();
    let bytes = codec().encode(page, NOW);
    assert!(bytes.len() <= super::codec::MAX_DATAGRAM_BYTES);
    let read = codec().decode(&bytes, NOW).unwrap();
    let last = read.members.last().unwrap().name.clone();
    assert!(read.members.len() < 30);
    assert_eq!(read.kind, Kind::Listed(last));
}

#[test]
fn pages_contain_every_member_once() {
    let mut state = state();
    for number in 1..40 {
        merge::apply_member(&mut state, member(number, 0), NOW);
    }
    let (mut names, mut after) = (Vec::new(), String::new());
    loop {
        let (members, next) = select::page(&state, &after);
        names.extend(members.into_iter().map(|member| member.name));
        if next.is_empty() {
            break;
        }
        after = next;
    }
    names.dedup();
    assert_eq!(names.len(), 39);
}

#[test]
fn zone_and_service_names_decode_under_settings_in_another_order() {
    let mut other = Topology::default();
    let names = ["zone-2", "zone-9", "zone-0"].map(str::to_owned).to_vec();
    other.add_region("tamar".to_owned(), names);
    other.add_service("swapdesk".to_owned(), vec![]);
    let other = Codec::new(b"0123456789abcdef", &other).unwrap();
    let bytes = codec().encode(datagram(member(1, 2), 1, Kind::Ping), NOW);
    let read = other.decode(&bytes, NOW).unwrap();
    assert_eq!(read.from.zone, ZoneKey(0));
    assert_eq!(read.from.free_slots[0].service, ServiceKey(0));
    let unknown = codec().encode(datagram(member(1, 1), 1, Kind::Ping), NOW);
    assert_eq!(
        other.decode(&unknown, NOW).unwrap_err(),
        DropReason::UnknownZone
    );
}

#[test]
fn corrupted_and_unauthenticated_datagrams_are_rejected() {
    let bytes = codec().encode(datagram(member(1, 1), 1, Kind::Ping), NOW);
    assert!(codec().decode(&bytes, NOW).is_ok());
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        let rejected = codec().decode(&damaged, NOW);
        assert_eq!(rejected.unwrap_err(), DropReason::Unauthenticated);
    }
    let foreign = Codec::new(b"another secret--", &topology(ZONES)).unwrap();
    assert_eq!(
        foreign.decode(&bytes, NOW).unwrap_err(),
        DropReason::Unauthenticated
    );
    // Arbitrary bytes never cause a panic and are never accepted without a valid MAC.
    bolero::check!()
        .with_iterations(2_000)
        .for_each(|bytes| assert!(codec().decode(bytes, NOW).is_err()));
}
