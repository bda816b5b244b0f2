//! The thread of the catalog duty on an entry VM, which long-polls two control VMs for changes.

use {
    super::{
        serve::{FOLLOW_METHOD, FollowRequest, FollowResponse},
        settings::Settings,
        state::Catalog,
    },
    crate::{
        context::Context,
        duty,
        edge::{Secret, client::Client},
        observe::{Event, report},
    },
    std::{
        cell::RefCell, io, net::SocketAddr, rc::Rc, sync::Arc, thread::JoinHandle, time::Duration,
    },
    tokio::{
        sync::{oneshot, watch},
        time,
    },
};

/// Number of control VMs that are polled concurrently, so that an unresponsive or disconnected one
/// delays no update.
const POLLERS: usize = 2;
/// Response timeout beyond the long-poll time: three round trips between distant regions.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// The catalogue and the state of the fleet as known on this VM.
#[derive(Clone, Debug)]
pub struct CatalogView {
    /// Latest catalogue received.
    pub catalog: Arc<Catalog>,
    /// Peer listeners of the control VMs.
    pub control: Arc<Vec<SocketAddr>>,
    /// Number of ready entry VMs in each availability zone, by zone name.
    pub zones: Arc<Vec<(String, u32)>>,
}

struct Duty {
    context: Context,
    settings: Settings,
    secret: Secret,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    publish: Box<dyn Fn(&CatalogView)>,
    view: RefCell<CatalogView>,
    /// Whether each poller's latest request failed; true before its first response.
    unreachable: RefCell<[bool; POLLERS]>,
}

/// Starts the duty, which calls `publish` with each changed view and exits when `stop` closes.
/// `seeds` contains the control VMs of the current settings.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    settings: Settings,
    secret: Secret,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    publish: impl Fn(&CatalogView) + Send + 'static,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("catalog", move || {
        let duty = Rc::new(Duty {
            view: RefCell::new(CatalogView {
                catalog: Arc::default(),
                control: Arc::new(settings.control.clone()),
                zones: Arc::default(),
            }),
            context,
            settings,
            secret,
            seeds,
            publish: Box::new(publish),
            unreachable: RefCell::new([true; POLLERS]),
        });
        duty::run_until(stop, async move {
            let second = tokio::task::spawn_local(Rc::clone(&duty).run(1));
            duty.run(0).await;
            // The first poller never returns; it is cancelled with the duty.
            second.abort();
        })
    })
}

impl Duty {
    async fn run(self: Rc<Self>, poller: usize) {
        let mut turn = rand::random::<u16>() as usize * POLLERS + poller;
        let mut client: Option<(SocketAddr, Client)> = None;
        loop {
            if client.is_none() {
                client = self
                    .control_vm(turn)
                    .and_then(|address| self.connect(address));
            }
            let responded = match &client {
                Some((address, client)) => {
                    let responded = self.poll(client).await;
                    self.record_outcome(poller, responded, *address);
                    responded
                }
                None => false,
            };
            if !responded {
                client = None;
                turn += 1;
                time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
            }
        }
    }

    fn connect(&self, address: SocketAddr) -> Option<(SocketAddr, Client)> {
        let hold = Duration::from_millis(self.settings.hold_ms);
        let client = Client::new(address, &self.secret, hold + RESPONSE_MARGIN).ok()?;
        Some((address, client))
    }

    /// The control VM to poll, round robin over those in the latest response and the seeds.
    fn control_vm(&self, turn: usize) -> Option<SocketAddr> {
        let mut all = self.view.borrow().control.to_vec();
        all.extend(self.seeds.borrow().iter().copied());
        all.sort_unstable();
        all.dedup();
        let at = turn.checked_rem(all.len())?;
        all.get(at).copied()
    }

    async fn poll(&self, client: &Client) -> bool {
        let revision = self.view.borrow().catalog.revision;
        let request = FollowRequest {
            revision,
            hold_ms: self.settings.hold_ms,
        };
        let Ok(response) = client.call::<FollowResponse>(FOLLOW_METHOD, &request).await else {
            self.context.metrics.count("catalog_unreachable", 1);
            return false;
        };
        self.apply(response);
        true
    }

    fn apply(&self, response: FollowResponse) {
        let mut view = self.view.borrow_mut();
        let mut changed = false;
        let is_applicable = response.delta.since <= view.catalog.revision;
        if is_applicable && response.delta.revision > view.catalog.revision {
            let version = view.catalog.version;
            changed = Arc::make_mut(&mut view.catalog).merge(response.delta);
            if view.catalog.version != version {
                let (version, revision) = (view.catalog.version, view.catalog.revision);
                report(
                    Event::CONFIG_APPLIED,
                    format_args!("version {version}, revision {revision}"),
                );
            }
        }
        if !response.control.is_empty() && *view.control != response.control {
            view.control = Arc::new(response.control);
            changed = true;
        }
        if *view.zones != response.zones {
            view.zones = Arc::new(response.zones);
            changed = true;
        }
        if changed {
            (self.publish)(&view);
        }
    }

    /// Reports the loss of the last reachable control VM, and the first response after it.
    fn record_outcome(&self, poller: usize, responded: bool, address: SocketAddr) {
        let mut unreachable = self.unreachable.borrow_mut();
        let was_unreachable = unreachable.iter().all(|failed| *failed);
        unreachable[poller] = !responded;
        let is_unreachable = unreachable.iter().all(|failed| *failed);
        if is_unreachable && !was_unreachable {
            report(Event::CONTROL_UNREACHABLE, format_args!("{address}"));
        } else if was_unreachable && !is_unreachable {
            report(Event::CONTROL_REACHED, format_args!("{address}"));
        }
    }
}
