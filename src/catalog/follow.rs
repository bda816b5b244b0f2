//! The thread of the catalog duty on an entry VM: long-polls a near control VM for changes, and asks a
//! distant one whether the near one is behind.

use {
    super::{
        pages::{self, Page, PageRequest, Standing, Want},
        replica::Replica,
        settings::Settings,
        state::Catalog,
    },
    crate::{
        agree::ControlVm,
        context::Context,
        duty,
        edge::{Secret, client::Client},
        observe::{Event, report},
    },
    std::{
        cell::{Cell, RefCell},
        fmt::{self, Debug, Formatter},
        io,
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        thread::JoinHandle,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{oneshot, watch},
        time,
    },
};

/// Response timeout beyond the long-poll time: a page and the packets that wait on a full link.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);
/// Time for which the near control VM may be behind the distant one: two hops between control VMs.
const LAG: Duration = Duration::from_millis(200);
/// Polls of a distant control VM after which a near one is tried again.
const DISTANT_POLLS: u32 = 20;

/// The catalogue and the state of the fleet as known on this VM.
#[derive(Clone, Debug)]
pub struct CatalogView {
    /// Latest catalogue received.
    pub catalog: Arc<Catalog>,
    /// All control VMs.
    pub control: Arc<Vec<ControlVm>>,
    /// Peer listener of their leader, as far as known.
    pub leader: Option<SocketAddr>,
    /// Number of ready entry VMs in each availability zone, by zone name.
    pub zones: Arc<Vec<(String, u32)>>,
}

/// Role of one of the two pollers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Poller {
    /// Polls a control VM of the local zone for rows.
    Near,
    /// Polls one of another zone for its revision, and for rows while the near one is behind.
    Distant,
}

impl Poller {
    const ALL: [Self; 2] = [Self::Near, Self::Distant];

    fn index(self) -> usize {
        usize::from(self == Self::Distant)
    }
}

/// What was received so far, by both pollers.
#[derive(Debug, Default)]
pub(super) struct Received {
    replica: Replica,
    standing: Standing,
    standing_hash: u64,
    /// Whether anything has changed since the last publication.
    has_changed: bool,
    /// Version of the configuration that was last published.
    version: u64,
    /// Pages with rows since the last publication, and the time of the first one.
    pages: u32,
    began: Option<Instant>,
}

impl Received {
    /// The catalogue, which lacks the rows of pages that have not arrived.
    pub(super) fn catalog(&self) -> &Arc<Catalog> {
        self.replica.catalog()
    }

    /// Revision after which changes are missing.
    pub(super) fn revision(&self) -> u64 {
        self.replica.revision()
    }

    /// Applies a page. Returns whether to publish what was received. A page of the other poller may arrive between
    /// two pages of rows; it must not publish a catalogue of which only some pages have arrived.
    pub(super) fn apply(&mut self, page: Page) -> bool {
        if let Some(delta) = page.delta
            && self.replica.apply(page.revision, delta)
        {
            self.has_changed = true;
            self.pages += 1;
        }
        if let Some(standing) = page.standing {
            self.standing_hash = standing.hash();
            self.standing = standing;
            self.has_changed = true;
        }
        let is_complete = self.revision() > 0 && self.replica.is_complete();
        let publishes = self.has_changed && is_complete;
        self.has_changed &= !publishes;
        publishes
    }
}

struct Duty {
    context: Context,
    zone: String,
    settings: Settings,
    secret: Secret,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    subscriber: Subscriber,
    received: RefCell<Received>,
    /// Whether the near control VM is behind the distant one.
    is_behind: Cell<bool>,
    /// Whether each poller's latest request failed; true before its first response.
    unreachable: RefCell<[bool; Poller::ALL.len()]>,
}

/// Receiver of what the duty learns.
pub struct Subscriber {
    /// Called with each changed view.
    pub publish: Box<dyn Fn(&CatalogView) + Send>,
    /// Called when the last reachable control VM is lost, and with the first response after that or after the start.
    pub record_reachable: Box<dyn Fn(bool) + Send>,
}

impl Debug for Subscriber {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Subscriber").finish_non_exhaustive()
    }
}

/// Starts the duty, which notifies `subscriber` of changes and exits when `stop` closes.
/// `zone` is the local availability zone; `seeds` contains the control VMs of the current settings.
///
/// # Errors
/// The thread or its runtime cannot start.
pub fn spawn(
    context: Context,
    zone: String,
    settings: Settings,
    secret: Secret,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    subscriber: Subscriber,
    stop: oneshot::Receiver<()>,
) -> io::Result<JoinHandle<()>> {
    duty::spawn_local("catalog", move || {
        let duty = Rc::new(Duty {
            context,
            zone,
            settings,
            secret,
            seeds,
            subscriber,
            received: RefCell::default(),
            is_behind: Cell::default(),
            unreachable: RefCell::new([true; Poller::ALL.len()]),
        });
        duty::run_until(stop, async move {
            let distant = tokio::task::spawn_local(Rc::clone(&duty).run(Poller::Distant));
            duty.run(Poller::Near).await;
            // The first poller never returns; it is cancelled with the duty.
            distant.abort();
        })
    })
}

impl Duty {
    async fn run(self: Rc<Self>, poller: Poller) {
        let random = rand::random();
        let mut turn = 0;
        loop {
            let Some((address, client)) = self.connect(poller, turn, random) else {
                time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
                turn += 1;
                continue;
            };
            let mut polls = 0;
            let standing = self.received.borrow().standing_hash;
            let error = loop {
                let result = match poller {
                    Poller::Near => self.poll(&client, address, self.settings.hold_ms).await,
                    Poller::Distant => self.compare(&client, address).await,
                };
                self.record_outcome(poller, result.as_ref().err(), address);
                if let Err(error) = result {
                    break Some(error);
                }
                polls += 1;
                // At first only the seeds are known; they must not keep all followers.
                let has_moved = self.received.borrow().standing_hash != standing
                    && self.address(poller, 0, random) != Some(address);
                if has_moved || (turn > 0 && polls >= DISTANT_POLLS) {
                    break None;
                }
            };
            if error.is_some() {
                turn += 1;
                time::sleep(Duration::from_millis(self.settings.retry_ms)).await;
            } else {
                turn = 0;
            }
        }
    }

    /// Control VM to poll at that turn.
    fn address(&self, poller: Poller, turn: usize, random: u64) -> Option<SocketAddr> {
        let is_near = poller == Poller::Near;
        let control = &self.received.borrow().standing.control;
        let all = pages::order(control, &self.seeds.borrow(), (&self.zone, is_near), random);
        all.get(turn.checked_rem(all.len())?).copied()
    }

    fn connect(&self, poller: Poller, turn: usize, random: u64) -> Option<(SocketAddr, Client)> {
        let address = self.address(poller, turn, random)?;
        let hold = Duration::from_millis(self.settings.hold_ms);
        let client = Client::new(address, &self.secret, hold + RESPONSE_MARGIN).ok()?;
        Some((address, client))
    }

    fn request(&self, hold_ms: u64, want: Want) -> PageRequest {
        let received = self.received.borrow();
        PageRequest {
            revision: received.revision(),
            hold_ms,
            want,
            standing: received.standing_hash,
        }
    }

    /// Polls for the next page.
    async fn poll(&self, client: &Client, address: SocketAddr, hold_ms: u64) -> Result<(), String> {
        let request = self.request(hold_ms, Want::Rows);
        match pages::poll(client, &request).await {
            Ok(page) => {
                self.apply(page, address);
                Ok(())
            }
            Err(error) => {
                self.context.metrics.count("catalog_unreachable", 1);
                Err(error.to_string())
            }
        }
    }

    /// Asks a control VM for its revision. If the near one does not deliver it in time, polls this one for
    /// the rows.
    async fn compare(&self, client: &Client, address: SocketAddr) -> Result<(), String> {
        let request = self.request(self.settings.hold_ms, Want::Revision);
        let page = pages::poll(client, &request).await;
        let page = page.map_err(|error| error.to_string())?;
        if page.revision <= self.received.borrow().revision() {
            return Ok(());
        }
        time::sleep(LAG).await;
        let revision = self.received.borrow().revision();
        // At the start, either poller may be the first to receive the catalogue.
        self.report_lag(revision > 0 && revision < page.revision, || {
            format!("at revision {revision}, {address} is at {}", page.revision)
        });
        while self.received.borrow().revision() < page.revision {
            self.context.metrics.count("catalog_lagged", 1);
            self.poll(client, address, 0).await?;
        }
        Ok(())
    }

    /// Reports when the near control VM falls behind, and when it has caught up.
    fn report_lag(&self, is_behind: bool, detail: impl FnOnce() -> String) {
        if self.is_behind.replace(is_behind) == is_behind {
            return;
        }
        let event = if is_behind {
            Event::CATALOG_BEHIND
        } else {
            Event::CATALOG_LEVEL
        };
        report(event, format_args!("{}", detail()));
    }

    /// Applies a page, and publishes the view once the last page of a change has arrived.
    fn apply(&self, page: Page, address: SocketAddr) {
        let mut received = self.received.borrow_mut();
        let publishes = received.apply(page);
        if received.pages > 0 {
            received.began.get_or_insert_with(Instant::now);
        }
        if !publishes {
            return;
        }
        let took = received.began.take().map(|began| began.elapsed());
        let pages = std::mem::take(&mut received.pages);
        let catalog = Arc::clone(received.catalog());
        if catalog.version != received.version {
            let (version, revision) = (catalog.version, catalog.revision);
            received.version = version;
            report(
                Event::CONFIG_APPLIED,
                format_args!(
                    "version {version}, revision {revision}, {pages} pages in {} ms, the last from {address}",
                    took.unwrap_or_default().as_millis()
                ),
            );
        }
        (self.subscriber.publish)(&CatalogView {
            catalog,
            control: Arc::new(received.standing.control.clone()),
            leader: received.standing.leader,
            zones: Arc::new(received.standing.zones.clone()),
        });
    }

    /// Reports the loss of the last reachable control VM with its reason, and the first response after it.
    fn record_outcome(&self, poller: Poller, error: Option<&String>, address: SocketAddr) {
        let mut unreachable = self.unreachable.borrow_mut();
        let was_unreachable = unreachable.iter().all(|failed| *failed);
        unreachable[poller.index()] = error.is_some();
        let is_unreachable = unreachable.iter().all(|failed| *failed);
        if let Some(error) = error.filter(|_| is_unreachable && !was_unreachable) {
            report(
                Event::CONTROL_UNREACHABLE,
                format_args!("{address}: {error}"),
            );
            (self.subscriber.record_reachable)(false);
        } else if was_unreachable && !is_unreachable {
            report(Event::CONTROL_REACHED, format_args!("{address}"));
            (self.subscriber.record_reachable)(true);
        }
    }
}
