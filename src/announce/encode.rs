//! Encoding of announcements and responses as JSON over HTTP.

use {
    super::{
        messages::{Announcement, Lease, Message},
        token::Token,
    },
    crate::{
        context::Context,
        edge::{Handler, Incoming, Outgoing},
        ring::{Rejected, Sender},
        settings::section::is_name,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, rc::Rc},
    tokio::sync::oneshot,
};

/// JSON body of an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnouncementBody {
    /// Name of the upstream, 1 to 64 letters, digits, `-` or `_`.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// IP address and port that accept requests.
    pub address: SocketAddr,
    /// Number of requests run at the same time, 1 to 65535.
    pub slots: u16,
    /// Number that increases with each restart.
    pub incarnation: u64,
    /// Token of the last response accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Number of requests of earlier homes that still run; omitted if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub inherited: Option<u16>,
    /// Number of requests running now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load: Option<u32>,
    /// Whether the upstream is leaving and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// JSON body of the response to an announcement.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Whether the responding VM is the home and may send requests.
    pub granted: bool,
    /// Value of the header `siskinstep-holder` in requests from that VM.
    pub holder: String,
    /// Token to be echoed in the next announcement.
    pub token: String,
    /// Milliseconds from the sending of a token to the expiry of the lease that it renews.
    pub lease_ms: u64,
    /// Milliseconds after which the next announcement is due.
    pub renew_ms: u64,
    /// Address of another VM to announce to from now on.
    pub home: Option<SocketAddr>,
}

/// Serves `POST /v1/announce`.
#[must_use]
pub fn handler(context: &Context, ring: Sender<Message>) -> Handler {
    let context = context.clone();
    Rc::new(move |incoming| {
        let (context, ring) = (context.clone(), ring.clone());
        Box::pin(async move { announce(&context, &ring, &incoming).await })
    })
}

async fn announce(context: &Context, ring: &Sender<Message>, incoming: &Incoming) -> Outgoing {
    if incoming.path() != b"/v1/announce" {
        return Outgoing::refusal(404, "unknown_path");
    }
    if incoming.method != "POST" {
        return Outgoing::refusal(405, "method_not_allowed");
    }
    let announcement = match decode(context, &incoming.body) {
        Ok(announcement) => announcement,
        Err(findings) => return invalid(&findings),
    };
    let (tx, rx) = oneshot::channel();
    let reply = Box::new(move |lease| {
        // The upstream may have disconnected.
        let _ = tx.send(lease);
    });
    match ring.offer(Message::Announce {
        announcement,
        reply,
    }) {
        Ok(()) => {}
        Err(Rejected::Full(_)) => return Outgoing::refusal(503, "ring_full"),
        Err(Rejected::Closed(_)) => return Outgoing::refusal(503, "stopping"),
    }
    match rx.await {
        Ok(lease) => {
            let body = serde_json::to_string(&encode(&lease)).unwrap_or_default();
            Outgoing::new(200, "application/json", body)
        }
        Err(_) => Outgoing::refusal(503, "stopping"),
    }
}

fn encode(lease: &Lease) -> LeaseBody {
    LeaseBody {
        granted: lease.granted,
        holder: lease.holder.clone(),
        token: lease.token.to_string(),
        lease_ms: lease.lease_ms,
        renew_ms: lease.renew_ms,
        home: lease.home,
    }
}

fn decode(context: &Context, body: &[u8]) -> Result<Announcement, Vec<String>> {
    let body: AnnouncementBody =
        serde_json::from_slice(body).map_err(|error| vec![error.to_string()])?;
    let mut findings = Vec::new();
    if !is_name(&body.name) {
        findings.push("name: expected 1 to 64 letters, digits, '-' or '_'".to_owned());
    }
    if body.slots == 0 {
        findings.push("slots: expected 1 to 65535".to_owned());
    }
    let service = context.topology.service(&body.service);
    if service.is_none() {
        findings.push(format!(
            "service: {:?} is not in the settings",
            body.service
        ));
    }
    match service {
        Some(service) if findings.is_empty() => Ok(Announcement {
            name: body.name,
            service,
            address: body.address,
            slots: body.slots,
            incarnation: body.incarnation,
            // A malformed token grants no lease, like the token of another home.
            token: body.token.as_deref().and_then(Token::parse),
            inherited: body.inherited,
            load: body.load,
            leaving: body.leaving,
        }),
        _ => Err(findings),
    }
}

fn invalid(findings: &[String]) -> Outgoing {
    let body = serde_json::json!({
        "title": "invalid_announcement",
        "status": 400,
        "reason": "invalid_announcement",
        "findings": findings,
    });
    Outgoing::new(400, "application/problem+json", body.to_string())
}
