//! Peer methods of a control VM: updates for the entry VMs that follow the catalogue, and reports
//! forwarded by other control VMs.

use {
    super::{
        decide::{has_changes, is_foreign, is_stale},
        last_reports::LastReports,
        messages::Upstream,
        pages::{self, EncodedPage, PAGE_METHOD, Page, PageRequest, Standing, Want},
        state::Delta,
    },
    crate::{
        agree::{ControlVm, Message},
        beacon::LiveEntries,
        clock::{Clock, Micros},
        edge::rpc::{self, UNAVAILABLE},
        policy::Policy,
        ring::Sender,
    },
    jsonrpsee::{RpcModule, core::RegisterMethodError, types::ErrorObjectOwned},
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time},
};

/// Method by which a follower of an earlier version long-polls for changes of the catalogue; others ask for
/// pages.
pub(super) const FOLLOW_METHOD: &str = "catalog.follow";
/// Method by which control VMs forward to each other which upstreams reported to them.
pub(super) const HEARD_METHOD: &str = "catalog.heard";

/// Time for which a change waits for others before it is sent: far below the time within which users expect
/// a change to be in force (2.5 s), also over two hops.
const COALESCE: Duration = Duration::from_millis(60);

/// Changes within that time above which further ones are awaited for longer, as after the start of a fleet.
const BUSY_CHANGES: u64 = 16;
/// That further time.
const BUSY_COALESCE: Duration = Duration::from_millis(190);

/// Upstreams that reported to a control VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct ReportedUpstreams {
    /// Name and incarnation of each.
    pub rows: Vec<(String, u64)>,
}

/// Request of a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct FollowRequest {
    /// Revision of the follower's catalogue.
    pub revision: u64,
    /// Milliseconds for which the response may be held back until there are changes.
    pub hold_ms: u64,
}

/// Response to a follower.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowResponse {
    /// Changes after the follower's revision.
    pub delta: Delta,
    /// Peer listeners of the control VMs.
    pub control: Vec<SocketAddr>,
    /// Number of ready entry VMs in each availability zone, by zone name.
    pub zones: Vec<(String, u32)>,
}

/// State that the methods and the front ends read, and the ring for orders.
#[derive(Clone, Debug)]
pub struct Source {
    /// The policy in force, which contains the catalogue.
    pub policies: watch::Receiver<Arc<Policy>>,
    /// Whether this control VM receives updates, so that its state is current.
    pub is_current: watch::Receiver<bool>,
    /// Whether it receives them by the log, not from a member that it follows.
    pub is_led: watch::Receiver<bool>,
    /// Time in microseconds on `clock` until which it does so if nothing more is heard of the leader.
    pub led_until: Arc<AtomicU64>,
    /// The process's clock.
    pub clock: Clock,
    /// Peer listeners of the members.
    pub members: watch::Receiver<Arc<Vec<SocketAddr>>>,
    /// All control VMs, in ascending order of address.
    pub control: watch::Receiver<Arc<Vec<ControlVm>>>,
    /// Peer listener of the leader, as far as known.
    pub leader: watch::Receiver<Option<SocketAddr>>,
    /// Entry VMs with a recent heartbeat.
    pub entries: watch::Receiver<Arc<LiveEntries>>,
    /// Last report of each upstream.
    pub last_reports: LastReports,
    /// Ring of the agree duty.
    pub ring: Sender<Message>,
}

impl Source {
    /// Milliseconds for which a copy of the catalogue of this control VM is current: as long as the catalogue
    /// itself is.
    fn valid_ms(&self) -> u64 {
        let until = Micros(self.led_until.load(Ordering::Relaxed));
        let left = until.since(self.clock.now()).as_millis();
        u64::try_from(left).unwrap_or(u64::MAX)
    }

    /// Records a report that this control VM received. Returns whether it must go through the log: it changes what
    /// entry VMs act on.
    #[must_use]
    pub fn record_report(&self, id: &str, upstream: &Upstream) -> bool {
        let catalog = Arc::clone(&self.policies.borrow().catalog);
        if is_foreign(&catalog, id, upstream) {
            return false;
        }
        self.last_reports.record(id, upstream.born);
        let row_ms = catalog.upstreams.get(id).map_or(0, |row| row.cold_ms);
        let reported = (upstream.born, upstream.cold_ms);
        let now = Instant::now();
        let is_cold_again = self.last_reports.record_cold(id, reported, row_ms, now);
        has_changes(&catalog, id, upstream) || (is_cold_again && !is_stale(&catalog, id, upstream))
    }
}

/// Adds the methods to the module of a peer listener.
///
/// # Errors
/// A method of the same name is registered already.
pub fn register<C: Send + Sync + 'static>(
    module: &mut RpcModule<C>,
    source: Source,
) -> Result<(), RegisterMethodError> {
    let last_reports = source.last_reports.clone();
    module.register_method(HEARD_METHOD, move |params, _, _| {
        let upstreams: ReportedUpstreams = rpc::params(&params)?;
        last_reports.record_all(upstreams.rows);
        Ok::<(), ErrorObjectOwned>(())
    })?;
    let paged = source.clone();
    module.register_async_method(PAGE_METHOD, move |params, _, _| {
        let source = paged.clone();
        async move {
            let request: PageRequest = rpc::params(&params)?;
            page(source, request).await
        }
    })?;
    module.register_async_method(FOLLOW_METHOD, move |params, _, _| {
        let source = source.clone();
        async move {
            let request: FollowRequest = rpc::params(&params)?;
            respond(source, request).await
        }
    })?;
    Ok(())
}

/// Waits until the catalogue is newer than the follower's, and then for further changes, so that a release
/// or the first reports of many upstreams take one response in place of many.
pub(super) async fn page(
    source: Source,
    request: PageRequest,
) -> Result<EncodedPage, ErrorObjectOwned> {
    let unavailable = || {
        let text = "this control VM receives no updates";
        Err(rpc::error(UNAVAILABLE, text, ()))
    };
    let mut is_served = if request.want == Want::Copy {
        source.is_led.clone()
    } else {
        source.is_current.clone()
    };
    let hold = Duration::from_millis(request.hold_ms);
    let mut policies = source.policies.clone();
    let newer = async {
        let newer = policies.wait_for(|policy| policy.catalog.revision > request.revision);
        let has_waited = newer.await.is_ok_and(|_| request.hold_ms > 0);
        if !has_waited || request.want == Want::Revision {
            return;
        }
        time::sleep(COALESCE).await;
        let revision = policies.borrow().catalog.revision;
        if revision > request.revision + BUSY_CHANGES {
            time::sleep(BUSY_COALESCE).await;
        }
    };
    tokio::select! {
        biased;
        Ok(_) = is_served.wait_for(|is_served| !is_served) => return unavailable(),
        // If the channel is closed, the response has the last catalogue.
        _ = time::timeout(hold, newer) => {}
    }
    let catalog = Arc::clone(&source.policies.borrow().catalog);
    let delta = match request.want {
        Want::Revision => None,
        Want::Copy => Some(catalog.page(request.revision, Page::ROWS)),
        Want::Rows => {
            let mut delta = catalog.page(request.revision, Page::ROWS);
            delta.drop_sources();
            Some(delta)
        }
    };
    let standing = Standing {
        control: source.control.borrow().to_vec(),
        leader: *source.leader.borrow(),
        zones: source.entries.borrow().ready_by_zone(),
    };
    let is_new = request.want != Want::Revision && standing.hash() != request.standing;
    Ok(pages::encode(&Page {
        revision: catalog.revision,
        delta,
        standing: is_new.then_some(standing),
        valid_ms: (request.want == Want::Copy).then(|| source.valid_ms()),
    }))
}

async fn respond(
    mut source: Source,
    request: FollowRequest,
) -> Result<FollowResponse, ErrorObjectOwned> {
    let hold = Duration::from_millis(request.hold_ms);
    let newer = source
        .policies
        .wait_for(|policy| policy.catalog.revision > request.revision);
    tokio::select! {
        // If the channel is closed, the response has the last catalogue.
        _ = time::timeout(hold, newer) => {}
        Ok(_) = source.is_current.wait_for(|is_current| !is_current) => {
            let text = "this control VM receives no updates";
            return Err(rpc::error(UNAVAILABLE, text, ()));
        }
    }
    let catalog = Arc::clone(&source.policies.borrow().catalog);
    let control = source.members.borrow().to_vec();
    let zones = source.entries.borrow().ready_by_zone();
    Ok(FollowResponse {
        delta: catalog.since(request.revision),
        control,
        zones,
    })
}
