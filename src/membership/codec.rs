//! Datagrams on the wire: a code under the shared secret, then the message.

use {
    super::messages::{Datagram, Fault, Free, Kind, Member, Standing, Summary},
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

/// Bytes of a datagram at most, so that no network on the way has to fragment it.
pub(super) const MOST_BYTES: usize = 1_200;

const CODE_BYTES: usize = 16;
const DOMAIN: &[u8] = b"siskinstep membership 1";
const PARTS: u8 = 3;

/// Hash of a zone's or service's name: settings of two VMs may differ in their order.
type Tag = u32;

#[derive(Serialize, Deserialize)]
struct Wire {
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
    zone: Tag,
    members: SocketAddr,
    callers: SocketAddr,
    upstreams: SocketAddr,
    peers: SocketAddr,
    incarnation: u64,
    standing: u8,
    beat: u64,
    free: Vec<(Tag, u32)>,
    version: u64,
}

#[derive(Serialize, Deserialize)]
struct WireZone {
    zone: Tag,
    age_ms: u64,
    free: Vec<(Tag, u32)>,
    version: u64,
}

/// Names of the settings by tag, and the secret.
#[derive(Clone)]
pub(super) struct Codec {
    mac: Hmac<Sha256>,
    zones: Vec<Tag>,
    services: Vec<Tag>,
}

impl Codec {
    /// A codec under `secret` for the names of `topology`.
    pub(super) fn new(secret: &[u8], topology: &Topology) -> Option<Self> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
        mac.update(DOMAIN);
        Some(Self {
            mac,
            zones: topology.zones.iter().map(|row| tag(&row.name)).collect(),
            services: topology.services.iter().map(|row| tag(&row.name)).collect(),
        })
    }

    /// Encodes a datagram; what is too much for one is left out.
    pub(super) fn encode(&self, mut datagram: Datagram, now: Micros) -> Vec<u8> {
        loop {
            let body = postcard::to_stdvec(&self.wire(&datagram, now)).unwrap_or_default();
            if body.len() + CODE_BYTES <= MOST_BYTES || !shorten(&mut datagram) {
                let code = self.mac.clone().chain_update(&body).finalize().into_bytes();
                return [&code[..CODE_BYTES], &body].concat();
            }
        }
    }

    /// Checks and decodes a datagram that arrived at `now`.
    pub(super) fn decode(&self, bytes: &[u8], now: Micros) -> Result<Datagram, Fault> {
        let (code, body) = bytes
            .split_at_checked(CODE_BYTES)
            .ok_or(Fault::Unauthenticated)?;
        let mac = self.mac.clone().chain_update(body);
        mac.verify_truncated_left(code)
            .map_err(|_| Fault::Unauthenticated)?;
        let wire: Wire = postcard::from_bytes(body).map_err(|_| Fault::Malformed)?;
        self.datagram(wire, now)
    }

    fn wire(&self, datagram: &Datagram, now: Micros) -> Wire {
        let members = datagram.members.iter();
        let zones = datagram.zones.iter();
        Wire {
            sequence: datagram.sequence,
            kind: wire_kind(&datagram.kind),
            from: self.wire_member(&datagram.from),
            members: members.map(|member| self.wire_member(member)).collect(),
            zones: zones.map(|zone| self.wire_zone(zone, now)).collect(),
        }
    }

    fn wire_member(&self, member: &Member) -> WireMember {
        WireMember {
            name: member.name.clone(),
            zone: self.zone_tag(member.zone),
            members: member.members,
            callers: member.callers,
            upstreams: member.upstreams,
            peers: member.peers,
            incarnation: member.incarnation,
            standing: member.standing as u8,
            beat: member.beat,
            free: self.wire_free(&member.free),
            version: member.version,
        }
    }

    fn wire_zone(&self, zone: &Summary, now: Micros) -> WireZone {
        let age = now.since(zone.made).as_millis();
        WireZone {
            zone: self.zone_tag(zone.zone),
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            free: self.wire_free(&zone.free),
            version: zone.version,
        }
    }

    fn wire_free(&self, free: &[Free]) -> Vec<(Tag, u32)> {
        let tag = |free: &Free| {
            let tag = self.services.get(usize::from(free.service.0))?;
            Some((*tag, free.slots))
        };
        free.iter().filter_map(tag).collect()
    }

    fn zone_tag(&self, zone: ZoneKey) -> Tag {
        self.zones.get(usize::from(zone.0)).copied().unwrap_or(0)
    }

    fn datagram(&self, wire: Wire, now: Micros) -> Result<Datagram, Fault> {
        // News of zones that the settings here do not have yet are passed over.
        let known = |member| match self.member(member) {
            Err(Fault::UnknownZone) => None,
            other => Some(other),
        };
        Ok(Datagram {
            sequence: wire.sequence,
            kind: kind(wire.kind)?,
            from: self.member(wire.from)?,
            members: wire
                .members
                .into_iter()
                .filter_map(known)
                .collect::<Result<_, _>>()?,
            zones: wire
                .zones
                .iter()
                .filter_map(|zone| self.summary(zone, now))
                .collect(),
        })
    }

    fn member(&self, wire: WireMember) -> Result<Member, Fault> {
        if !is_name(&wire.name) {
            return Err(Fault::Malformed);
        }
        Ok(Member {
            zone: self.zone(wire.zone).ok_or(Fault::UnknownZone)?,
            standing: standing(wire.standing).ok_or(Fault::Malformed)?,
            free: self.free(&wire.free),
            name: wire.name,
            members: wire.members,
            callers: wire.callers,
            upstreams: wire.upstreams,
            peers: wire.peers,
            incarnation: wire.incarnation,
            beat: wire.beat,
            version: wire.version,
        })
    }

    fn summary(&self, wire: &WireZone, now: Micros) -> Option<Summary> {
        let age = wire.age_ms.saturating_mul(1_000);
        Some(Summary {
            zone: self.zone(wire.zone)?,
            made: Micros(now.0.saturating_sub(age)),
            free: self.free(&wire.free),
            version: wire.version,
        })
    }

    fn free(&self, wire: &[(Tag, u32)]) -> Vec<Free> {
        let free = |(tag, slots): &(Tag, u32)| {
            let at = self.services.iter().position(|known| known == tag)?;
            let service = ServiceKey(u16::try_from(at).ok()?);
            Some(Free {
                service,
                slots: *slots,
            })
        };
        let mut rows: Vec<Free> = wire.iter().filter_map(free).collect();
        rows.sort_by_key(|free| free.service);
        rows.dedup_by_key(|free| free.service);
        rows
    }

    fn zone(&self, tag: Tag) -> Option<ZoneKey> {
        let at = self.zones.iter().position(|known| *known == tag)?;
        u16::try_from(at).ok().map(ZoneKey)
    }
}

fn tag(name: &str) -> Tag {
    let [a, b, c, d, ..] = xxh3_64(name.as_bytes()).to_le_bytes();
    Tag::from_le_bytes([a, b, c, d])
}

/// Leaves out a part; whether there was one to leave out.
fn shorten(datagram: &mut Datagram) -> bool {
    let keep = datagram.members.len() * usize::from(PARTS - 1) / usize::from(PARTS);
    datagram.members.truncate(keep);
    if let Kind::Listed(next) = &mut datagram.kind {
        // The reader goes on after the last one that is still there.
        if let Some(last) = datagram.members.last() {
            next.clone_from(&last.name);
        }
        return keep > 0;
    }
    datagram.zones.pop().is_some() || keep > 0
}

fn wire_kind(kind: &Kind) -> WireKind {
    match kind.clone() {
        Kind::Ping => WireKind::Ping,
        Kind::Ack(probe) => WireKind::Ack(probe),
        Kind::Relay { target, probe } => WireKind::Relay { target, probe },
        Kind::Page(after) => WireKind::Page(after),
        Kind::Listed(next) => WireKind::Listed(next),
        Kind::Outdated => WireKind::Outdated,
    }
}

fn kind(wire: WireKind) -> Result<Kind, Fault> {
    let name = |text: String| {
        let valid = text.is_empty() || is_name(&text);
        valid.then_some(text).ok_or(Fault::Malformed)
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

fn standing(code: u8) -> Option<Standing> {
    [
        Standing::Alive,
        Standing::Suspect,
        Standing::Leaving,
        Standing::Dead,
    ]
    .into_iter()
    .find(|standing| *standing as u8 == code)
}
