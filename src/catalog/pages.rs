//! Pages of the catalogue as control VMs send them to their followers: small enough for a link that
//! callers fill, in a compact encoding.

use {
    super::state::Delta,
    crate::{agree::ControlVm, edge::client::Client},
    base64::{Engine, prelude::BASE64_STANDARD},
    jsonrpsee::core::ClientError,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    xxhash_rust::xxh3::xxh3_64,
};

/// Method by which a follower long-polls for the next page. The number is that of the encoding, which names no
/// fields.
pub(super) const PAGE_METHOD: &str = "catalog.page3";
/// Rows of a page: about 15 KB with upstreams, which a link of 2 Mbit/s carries in 60 ms.
const PAGE_ROWS: usize = 256;

/// What a follower asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Want {
    /// Rows to act on, from any control VM.
    Rows,
    /// Rows to serve to others, from a control VM that has the log itself.
    Copy,
    /// Only the revision, to notice that another source is behind.
    Revision,
}

/// Request of a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PageRequest {
    /// Revision of the follower's catalogue.
    pub(crate) revision: u64,
    /// Milliseconds for which the response may be held back until there are changes.
    pub(crate) hold_ms: u64,
    /// What is asked for.
    pub(crate) want: Want,
    /// Hash of the standing that the follower has.
    pub(crate) standing: u64,
}

/// Control VMs and entry VMs of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Standing {
    /// All control VMs.
    pub(crate) control: Vec<ControlVm>,
    /// Peer listener of the leader, as far as known.
    pub(crate) leader: Option<SocketAddr>,
    /// Number of ready entry VMs in each availability zone, by zone name.
    pub(crate) zones: Vec<(String, u32)>,
}

impl Standing {
    /// Hash by which a follower names the standing that it has.
    pub(crate) fn hash(&self) -> u64 {
        postcard::to_stdvec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }
}

/// Response to a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Page {
    /// Revision of the sender's catalogue; nothing is left after a page whose changes reach it.
    pub(crate) revision: u64,
    /// Changes after the follower's revision, if rows were asked for.
    pub(crate) delta: Option<Delta>,
    /// The standing, if it differs from the follower's.
    pub(crate) standing: Option<Standing>,
    /// Milliseconds for which a copy is current, if one was asked for; not known of senders of earlier versions.
    /// Outside the compact encoding, which names no fields.
    #[serde(skip)]
    pub(crate) valid_ms: Option<u64>,
}

impl Page {
    /// Number of rows of a page.
    pub(super) const ROWS: usize = PAGE_ROWS;
}

/// A page in postcard encoding, as base64 text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct EncodedPage {
    page: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    valid_ms: Option<u64>,
}

pub(super) fn encode(page: &Page) -> EncodedPage {
    let bytes = postcard::to_stdvec(page).unwrap_or_default();
    EncodedPage {
        page: BASE64_STANDARD.encode(bytes),
        valid_ms: page.valid_ms,
    }
}

pub(super) fn decode(encoded: &EncodedPage) -> Option<Page> {
    let bytes = BASE64_STANDARD.decode(&encoded.page).ok()?;
    let page: Page = postcard::from_bytes(&bytes).ok()?;
    Some(Page {
        valid_ms: encoded.valid_ms,
        ..page
    })
}

/// Polls a control VM for the next page.
///
/// # Errors
/// The control VM cannot be reached in time, has no current catalogue, or sent a malformed page.
pub(crate) async fn poll(client: &Client, request: &PageRequest) -> Result<Page, ClientError> {
    let encoded: EncodedPage = client.call(PAGE_METHOD, request).await?;
    decode(&encoded).ok_or_else(|| ClientError::Custom("page: malformed".to_owned()))
}

/// Control VMs in the order in which a follower in `zone` tries them: those of `zone` first if `near`,
/// otherwise last; `random` varies the order within each group. `seeds` are VMs that may not be listed yet.
pub(crate) fn order(
    control: &[ControlVm],
    seeds: &[SocketAddr],
    (zone, near): (&str, bool),
    random: u64,
) -> Vec<SocketAddr> {
    let unlisted = seeds.iter().filter(|seed| {
        let mut rows = control.iter();
        !rows.any(|row| row.peers == **seed)
    });
    let listed = control
        .iter()
        .map(|row| (usize::from((row.zone == zone) != near), row.peers));
    // Seeds that no control VM lists may be gone.
    let all = listed.chain(unlisted.map(|seed| (2, *seed)));
    let mut all: Vec<(usize, u64, SocketAddr)> = all
        .map(|(group, address)| {
            let score = xxh3_64(format!("{address} {random}").as_bytes());
            (group, score, address)
        })
        .collect();
    all.sort_unstable();
    all.into_iter().map(|row| row.2).collect()
}
