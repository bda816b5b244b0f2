//! Wire format of the datagrams: a truncated HMAC under the shared secret, then the message.

use {
    super::messages::{Datagram, DropReason, FreeSlots, Kind, Member, MemberStatus, ZoneSummary},
    crate::{
        clock::Micros,
        keys::{ServiceKey, ZoneKey},
        settings::{section::is_name, topology::Topology},
    },
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum bytes of a datagram, small enough that no network on the path has to fragment it.
pub(super) const MAX_DATAGRAM_BYTES: usize = 1_200;

const MAC_BYTES: usize = 16;
const MAC_DOMAIN: &[u8] = b"siskinstep membership 1";
const REMOVAL_DIVISOR: u8 = 3;

/// Hash of a zone or service name. Names are sent as hashes rather than as indexes because the
/// settings of two VMs may list them in a different order.
type NameHash = u32;

#[derive(Serialize, Deserialize)]
struct WireDatagram {
    sequence: u64,
    kind: WireKind,
    from: WireMember,
    members: Vec<WireMember>,
    zones: Vec<WireZone>,
}

#[derive(Serialize, Deserialize)]
enum WireKind {
    Ping,
    Ack(u64),
    Relay { target: String, probe: u64 },
    Page(String),
    Listed(String),
    Outdated,
}

#[derive(Serialize, Deserialize)]
struct WireMember {
    name: String,
    zone: NameHash,
    members: SocketAddr,
    callers: SocketAddr,
    upstreams: SocketAddr,
    peers: SocketAddr,
    incarnation: u64,
    standing: u8,
    beat: u64,
    free: Vec<(NameHash, u32)>,
    version: u64,
}

#[derive(Serialize, Deserialize)]
struct WireZone {
    zone: NameHash,
    age_ms: u64,
    free: Vec<(NameHash, u32)>,
    version: u64,
}

/// Encodes and decodes datagrams: the keyed MAC and the name hashes of zones and services.
#[derive(Clone)]
pub(super) struct Codec {
    mac: Hmac<Sha256>,
    zones: Vec<NameHash>,
    services: Vec<NameHash>,
}

impl Codec {
    /// Creates a codec with the MAC key `secret` for the names of `topology`. Returns `None` if the
    /// secret cannot be used as a key.
    pub(super) fn new(secret: &[u8], topology: &Topology) -> Option<Self> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        mac.update(MAC_DOMAIN);
        Some(Self {
            mac,
            zones: topology
                .zones
                .iter()
                .map(|row| name_hash(&row.name))
                .collect(),
            services: topology
                .services
                .iter()
                .map(|row| name_hash(&row.name))
                .collect(),
        })
    }

    /// Encodes a datagram. Members and zones that exceed the maximum size are left out.
    pub(super) fn encode(&self, mut datagram: Datagram, now: Micros) -> Vec<u8> {
        loop {
            let body =
                postcard::to_stdvec(&self.encode_datagram(&datagram, now)).unwrap_or_default();
            if body.len() + MAC_BYTES <= MAX_DATAGRAM_BYTES || !remove_excess(&mut datagram) {
                let mac_bytes = self.mac.clone().chain_update(&body).finalize().into_bytes();
                return [&mac_bytes[..MAC_BYTES], &body].concat();
            }
        }
    }

    /// Authenticates and decodes a datagram that arrived at `now`.
    ///
    /// # Errors
    /// The MAC does not match, the body is malformed, or the settings lack the zone of the sender.
    pub(super) fn decode(&self, bytes: &[u8], now: Micros) -> Result<Datagram, DropReason> {
        let (mac_bytes, body) = bytes
            .split_at_checked(MAC_BYTES)
            .ok_or(DropReason::Unauthenticated)?;
        let mac = self.mac.clone().chain_update(body);
        mac.verify_truncated_left(mac_bytes)
            .map_err(|_| DropReason::Unauthenticated)?;
        let wire: WireDatagram = postcard::from_bytes(body).map_err(|_| DropReason::Malformed)?;
        self.decode_datagram(wire, now)
    }

    fn encode_datagram(&self, datagram: &Datagram, now: Micros) -> WireDatagram {
        let members = datagram.members.iter();
        let zones = datagram.zones.iter();
        WireDatagram {
            sequence: datagram.sequence,
            kind: encode_kind(&datagram.kind),
            from: self.encode_member(&datagram.from),
            members: members.map(|member| self.encode_member(member)).collect(),
            zones: zones.map(|zone| self.encode_zone(zone, now)).collect(),
        }
    }

    fn encode_member(&self, member: &Member) -> WireMember {
        WireMember {
            name: member.name.clone(),
            zone: self.zone_hash(member.zone),
            members: member.members,
            callers: member.callers,
            upstreams: member.upstreams,
            peers: member.peers,
            incarnation: member.incarnation,
            standing: member.status as u8,
            beat: member.heartbeat,
            free: self.encode_free(&member.free_slots),
            version: member.version,
        }
    }

    fn encode_zone(&self, zone: &ZoneSummary, now: Micros) -> WireZone {
        let age = now.since(zone.created).as_millis();
        WireZone {
            zone: self.zone_hash(zone.zone),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            free: self.encode_free(&zone.free_slots),
            version: zone.version,
        }
    }

    fn encode_free(&self, free: &[FreeSlots]) -> Vec<(NameHash, u32)> {
        let encode = |free: &FreeSlots| {
            let hash = self.services.get(usize::from(free.service.0))?;
            Some((*hash, free.slots))
        };
        free.iter().filter_map(encode).collect()
    }

    fn zone_hash(&self, zone: ZoneKey) -> NameHash {
        self.zones.get(usize::from(zone.0)).copied().unwrap_or(0)
    }

    fn decode_datagram(&self, wire: WireDatagram, now: Micros) -> Result<Datagram, DropReason> {
        // Skips members of zones that the local settings do not contain yet.
        let in_known_zone = |member| match self.decode_member(member) {
            Err(DropReason::UnknownZone) => None,
            other => Some(other),
        };
        Ok(Datagram {
            sequence: wire.sequence,
            kind: decode_kind(wire.kind)?,
            from: self.decode_member(wire.from)?,
            members: wire
                .members
                .into_iter()
                .filter_map(in_known_zone)
                .collect::<Result<_, _>>()?,
            zones: wire
                .zones
                .iter()
                .filter_map(|zone| self.decode_summary(zone, now))
                .collect(),
        })
    }

    fn decode_member(&self, wire: WireMember) -> Result<Member, DropReason> {
        if !is_name(&wire.name) {
            return Err(DropReason::Malformed);
        }
        Ok(Member {
            zone: self.find_zone(wire.zone).ok_or(DropReason::UnknownZone)?,
            status: decode_status(wire.standing).ok_or(DropReason::Malformed)?,
            free_slots: self.decode_free(&wire.free),
            name: wire.name,
            members: wire.members,
            callers: wire.callers,
            upstreams: wire.upstreams,
            peers: wire.peers,
            incarnation: wire.incarnation,
            heartbeat: wire.beat,
            version: wire.version,
        })
    }

    fn decode_summary(&self, wire: &WireZone, now: Micros) -> Option<ZoneSummary> {
        let age = wire.age_ms.saturating_mul(1_000);
        Some(ZoneSummary {
            zone: self.find_zone(wire.zone)?,
            created: Micros(now.0.saturating_sub(age)),
            free_slots: self.decode_free(&wire.free),
            version: wire.version,
        })
    }

    fn decode_free(&self, wire: &[(NameHash, u32)]) -> Vec<FreeSlots> {
        let decode = |(hash, slots): &(NameHash, u32)| {
            let at = self.services.iter().position(|known| known == hash)?;
            let service = ServiceKey(u16::try_from(at).ok()?);
            Some(FreeSlots {
                service,
                slots: *slots,
            })
        };
        let mut rows: Vec<FreeSlots> = wire.iter().filter_map(decode).collect();
        rows.sort_by_key(|free| free.service);
        rows.dedup_by_key(|free| free.service);
        rows
    }

    fn find_zone(&self, hash: NameHash) -> Option<ZoneKey> {
        let at = self.zones.iter().position(|known| *known == hash)?;
        u16::try_from(at).ok().map(ZoneKey)
    }
}

fn name_hash(name: &str) -> NameHash {
    let [a, b, c, d, ..] = xxh3_64(name.as_bytes()).to_le_bytes();
    NameHash::from_le_bytes([a, b, c, d])
}

/// Removes the last third of the members, and, except from a page, one zone. Returns whether
/// members remain or a zone was removed.
fn remove_excess(datagram: &mut Datagram) -> bool {
    let keep =
        datagram.members.len() * usize::from(REMOVAL_DIVISOR - 1) / usize::from(REMOVAL_DIVISOR);
    datagram.members.truncate(keep);
    if let Kind::Listed(next) = &mut datagram.kind {
        // The reader continues after the last member that remains in the page.
        if let Some(last) = datagram.members.last() {
            next.clone_from(&last.name);
        }
        return keep > 0;
    }
    datagram.zones.pop().is_some() || keep > 0
}

fn encode_kind(kind: &Kind) -> WireKind {
    match kind.clone() {
        Kind::Ping => WireKind::Ping,
        Kind::Ack(probe) => WireKind::Ack(probe),
        Kind::Relay { target, probe } => WireKind::Relay { target, probe },
        Kind::Page(after) => WireKind::Page(after),
        Kind::Listed(next) => WireKind::Listed(next),
        Kind::Outdated => WireKind::Outdated,
    }
}

fn decode_kind(wire: WireKind) -> Result<Kind, DropReason> {
    let name = |text: String| {
        let valid = text.is_empty() || is_name(&text);
        valid.then_some(text).ok_or(DropReason::Malformed)
    };
    Ok(match wire {
        WireKind::Ping => Kind::Ping,
        WireKind::Ack(probe) => Kind::Ack(probe),
        WireKind::Relay { target, probe } => Kind::Relay {
            target: name(target)?,
            probe,
        },
        WireKind::Page(after) => Kind::Page(name(after)?),
        WireKind::Listed(next) => Kind::Listed(name(next)?),
        WireKind::Outdated => Kind::Outdated,
    })
}

fn decode_status(code: u8) -> Option<MemberStatus> {
    [
        MemberStatus::Alive,
        MemberStatus::Suspect,
        MemberStatus::Leaving,
        MemberStatus::Dead,
    ]
    .into_iter()
    .find(|status| *status as u8 == code)
}
